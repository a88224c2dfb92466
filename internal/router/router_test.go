package router_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktesting "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/internal/router"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

var epoch = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

const manifest = "sha256:0000000000000000000000000000000000000000000000000000000000000001"

// threeDomains serves one model and one service in north and south of region one
// and east of region two.
func threeDomains() *bundler.Bundle {
	return &bundler.Bundle{
		Revision: 1,
		FailureDomains: []bundler.FailureDomain{
			{Name: "north", Region: "one"}, {Name: "south", Region: "one"}, {Name: "east", Region: "two"},
		},
		Models:     []bundler.Model{{Name: "rota", Version: "v1", Manifest: manifest}},
		Services:   []bundler.Service{{Name: "bookings"}},
		Workspaces: []bundler.Workspace{{Name: "farm", Models: []string{"rota"}, Services: []string{"bookings"}}},
	}
}

func newRouter(b *bundler.Bundle) (*router.Router, *clocktesting.FakePassiveClock) {
	c := clocktesting.NewFakePassiveClock(epoch)
	r := &router.Router{FailureDomain: "north", Region: "one", Clock: c, Random: rand.New(rand.NewPCG(1, 2))}
	r.SetBundle(b)
	return r, c
}

// engine is an idle open replica of the model in the given domain.
func engine(n int, domain string) messenger.AgentState {
	region := map[string]string{"north": "one", "south": "one", "east": "two"}[domain]
	return messenger.AgentState{
		ID: fmt.Sprintf("vm-%d", n), Incarnation: "a", FailureDomain: domain, Region: region,
		Kind: messenger.KindEngine, Address: netip.MustParseAddrPort("127.0.0.1:9000"), Sequence: 1,
		Gate: messenger.GateOpen, Limit: 4, Model: "rota", Version: "v1", Manifest: manifest, EngineStart: "s1",
	}
}

var modelRequest = router.Request{Workspace: "farm", Model: "rota"}

func TestPickNearestWithRoom(t *testing.T) {
	r, _ := newRouter(threeDomains())
	r.Report(engine(1, "north"))
	r.Report(engine(2, "east"))
	c, err := r.Pick(modelRequest)
	must.NoError(t, err)
	must.EqOp(t, "vm-1", c.AgentID)
	c.Done(retrier.Ran)
	c.Done(retrier.Ran)
	for range 8 {
		_, err = r.Pick(modelRequest)
		must.NoError(t, err)
	}
	_, err = r.Pick(modelRequest)
	e := wantError[*router.FullError](t, err)
	must.Positive(t, e.RetryAfter)
}

func wantError[E error](t *testing.T, err error) E {
	t.Helper()
	e, ok := errors.AsType[E](err)
	must.True(t, ok, must.Sprintf("error is %T: %v", err, err))
	return e
}
