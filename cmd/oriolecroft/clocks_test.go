package main_test

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	main "github.com/oriolecroft/oriolecroft/cmd/oriolecroft"
	"github.com/oriolecroft/oriolecroft/internal/stager"
	"github.com/oriolecroft/oriolecroft/internal/syncer"
	"github.com/oriolecroft/oriolecroft/internal/timekeeper"
	"github.com/oriolecroft/oriolecroft/platform"
	"github.com/oriolecroft/oriolecroft/platform/standin"
)

// A VM is suspended, and a part of its daemon tells ages by the steady clock, which stands
// still meanwhile. What it believed before looks new when the VM wakes: callers get replies
// from weights that operators have replaced, or are denied routes that were added. Nothing
// is seen of the wrong clock until then.
func TestDaemonsTellAgesByTheCountingClock(t *testing.T) {
	store := standin.NewStore()
	t.Cleanup(store.Close)
	front, side := freshLoopback(), freshLoopback()
	roles := []struct{ name, ip, part string }{
		{"entry", front, fmt.Sprintf(entryPart, front)},
		{"agent", side, "app = \"" + side + ":8080\"\nservice = \"llm\""},
	}
	for _, r := range roles {
		t.Run(r.name, func(t *testing.T) {
			text := fmt.Sprintf(settingsText(r.name+"-1", r.ip, store.Address()), r.part)
			t.Setenv(platform.SettingsVariable, writeSettings(t, t.TempDir(), "settings.toml", text))
			parts, reg, err := main.Parts(t.Context(), r.name)
			must.NoError(t, err)
			counts(t, reg.Clock)
			told := 0
			for _, part := range parts {
				switch p := part.(type) {
				case *syncer.Syncer:
					counts(t, p.Clock)
					told++
				case *stager.Stager:
					counts(t, p.Clock)
					counts(t, p.Ledger.Clock)
					told++
				}
			}
			want := map[string]int{"entry": 1, "agent": 2}
			must.Eq(t, want[r.name], told, must.Sprint("parts that tell ages"))
		})
	}
}

// firstFresh and freshCount are the numbers of loopback addresses that are used in turn.
const (
	firstFresh = 11
	freshCount = 200
)

var freshTaken atomic.Int32

// freshLoopback is an address on which nothing that an earlier run started still listens.
func freshLoopback() string { return loopback(firstFresh + int(freshTaken.Add(1))%freshCount) }

// counts checks that a clock is the one that counts suspended time.
func counts(t *testing.T, c clock.PassiveClock) {
	t.Helper()
	_, counting := c.(*timekeeper.Clock)
	must.True(t, counting, must.Sprintf("%T", c))
}
