package proofs_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

// TestColdUpstreamGetsNoMoreThanItBears guards against a cold upstream that gets more
// than its limit, falls over and is cold again, so that one request after another
// fails. It restarts engines and a service several times under more traffic than they
// can handle, so that they come back cold while many callers wait, and once more while
// idle, right before a burst.
func TestColdUpstreamGetsNoMoreThanItBears(t *testing.T) {
	t.Parallel()
	d := deploy(t, topology{
		entries: 3, engines: 2, services: 1,
		engine:  func(_ int, e *imitator.Engine) { e.ColdFor = time.Second },
		service: func(_ int, s *imitator.Service) { s.ColdFor = time.Second },
	})
	f := startTraffic(t, 16, roundRobin(d.callerAddresses()))
	b := startBookings(t, 12, d, entryKeys)
	for range 3 {
		f.awaitComplete(t, 50)
		for _, v := range d.agents() {
			v.upstream.restart()
		}
		f.awaitComplete(t, 50)
		d.awaitReady()
		d.mustStayWithinLimits("restarted under load")
	}
	b.stop()
	d.burstAfterRestart(12)
	d.mustStayWithinLimits("restarted while idle")
	f.stop()
	f.mustHaveNoDefects(t, d.weights)
}

// mustStayWithinLimits checks that no upstream was overloaded.
func (d *deployment) mustStayWithinLimits(when string) {
	d.t.Helper()
	for _, v := range d.agents() {
		c := v.upstream.counts()
		must.Zero(d.t, c.FellOver, must.Sprintf("%s fell over, %s", v.id, when))
		must.LessEq(d.t, 2, c.WorstCold, must.Sprintf("%s got more than its cold limit, %s", v.id, when))
	}
}

// burstAfterRestart restarts the only service while it is idle and has many callers
// book at the same time.
func (d *deployment) burstAfterRestart(callers int) {
	d.t.Helper()
	eventually(d.t, waitTimeout, "gate limit of a warm service raised", func() bool {
		s, ok := d.services[0].status()
		return ok && s.State.Limit >= callers
	})
	d.services[0].upstream.restart()
	d.bookAll(d.t.Context(), "rush", callers)
}

// bookAll makes bookings at the same time, each tried once, and waits for all.
func (d *deployment) bookAll(ctx context.Context, name string, n int) {
	var g sync.WaitGroup
	for i := range n {
		addr := d.entries[i%len(d.entries)].callers
		g.Go(func() { book(ctx, addr, "", "", name+strconv.Itoa(i)) })
	}
	g.Wait()
}
