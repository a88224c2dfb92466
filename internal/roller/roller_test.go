package roller_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	testclock "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/roller"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

var next = bundler.Model{Name: "rota", Version: "v2", Manifest: "new"}

func engine(n, running int) messenger.AgentState {
	return messenger.AgentState{
		ID: fmt.Sprintf("vm-%d", n), Kind: messenger.KindEngine, Gate: messenger.GateOpen,
		Model: "rota", Version: "v1", Manifest: "old", Limit: 10, Running: running,
	}
}

// grantPermits counts the permits that n engines get when all request one at once.
func grantPermits(r *roller.Roller, n, running int) int {
	for i := range n {
		r.Report(engine(i, running))
	}
	count := 0
	for i := range n {
		if r.Permit(engine(i, running), next) {
			count++
		}
	}
	return count
}

func TestPermitsByLoad(t *testing.T) {
	cases := []struct {
		name             string
		engines, running int
		want             int
	}{
		{"full load keeps three quarters", 12, 9, 3},
		{"no load keeps half", 12, 0, 6},
		{"half load keeps what carries it", 12, 4, 4},
		{"one of few always may", 2, 10, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &roller.Roller{Clock: testclock.NewFakePassiveClock(time.Unix(0, 0))}
			must.Eq(t, c.want, grantPermits(r, c.engines, c.running))
		})
	}
}

// An agent is suspended while it has a permit. The next version would wait for it for half
// a minute on engines that have its weights in memory.
func TestUnresponsiveAgentDoesNotBlockTheRoll(t *testing.T) {
	c := testclock.NewFakeClock(time.Unix(0, 0))
	r := &roller.Roller{Clock: c}
	for i := range 3 {
		r.Report(engine(i, 9))
	}
	must.True(t, r.Permit(engine(0, 9), next))
	must.False(t, r.Permit(engine(1, 9), next))
	c.Step(6 * time.Second)
	r.Report(engine(1, 9))
	r.Report(engine(2, 9))
	must.True(t, r.Permit(engine(1, 9), next))
}

// A newer version supersedes the permitted one while the engine switches, and the engine
// loads the newer one. Its permit would keep the others from switching until it expires.
func TestPermitEndsWhenNewerVersionIsLoaded(t *testing.T) {
	r := &roller.Roller{Clock: testclock.NewFakePassiveClock(time.Unix(0, 0))}
	must.Eq(t, 1, grantPermits(r, 3, 9))
	back := engine(0, 0)
	back.Manifest = "newer"
	r.Report(back)
	must.True(t, r.Permit(engine(1, 9), bundler.Model{Name: "rota", Version: "v3", Manifest: "newer"}))
}

// Only an adapter changes, while the model's own weights stay. Every engine has to be
// reloaded nevertheless; if all were permitted at once, no replica would be left to serve
// the model.
func TestAdaptersRollAFewAtATime(t *testing.T) {
	r := &roller.Roller{Clock: testclock.NewFakePassiveClock(time.Unix(0, 0))}
	withAdapter := bundler.Model{
		Name: "rota", Version: "v1", Manifest: "old",
		Adapters: []bundler.Adapter{{Name: "shed", Version: "s1", Manifest: "adapter"}},
	}
	for i := range 12 {
		r.Report(engine(i, 9))
	}
	count := 0
	for i := range 12 {
		if r.Permit(engine(i, 9), withAdapter) {
			count++
		}
	}
	must.Eq(t, 3, count)
}
