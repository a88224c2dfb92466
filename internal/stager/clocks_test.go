package stager_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
	"github.com/oriolecroft/oriolecroft/internal/stager"
)

// One part of an agent has a clock that counts suspended time, and another has one that doesn't.
// Their times are decades apart: old weights would serve forever, or nothing would, without any
// error in the logs.
func TestPartsWithDifferentClocksAreRefused(t *testing.T) {
	counting, steady := clocktest.NewFakeClock(time.Unix(7, 0)), clocktest.NewFakeClock(time.Unix(1e9, 0))
	for part, s := range map[string]*stager.Stager{
		"registrar": {Registrar: &registrar.Registrar{Clock: steady}, Ledger: &scheduler.Ledger{Clock: counting}, Clock: counting},
		"ledger":    {Registrar: &registrar.Registrar{Clock: counting}, Ledger: &scheduler.Ledger{Clock: steady}, Clock: counting},
	} {
		var refused *stager.ClockMismatchError
		must.True(t, errors.As(s.Serve(context.Background()), &refused))
		must.Eq(t, part, refused.Part)
	}
}
