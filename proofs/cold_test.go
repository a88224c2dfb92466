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

// TestColdUpstreamGetsNoMoreThanItBears restarts engines and a service in the
// middle of more traffic than they bear, several times over, so that they come
// back cold while many callers wait, and once more while nothing runs there,
// right before a rush. A cold upstream that gets more than its limit falls over
// and is cold once more; a user sees one failed draft after another.
func TestColdUpstreamGetsNoMoreThanItBears(t *testing.T) {
	t.Parallel()
	d := deploy(t, shape{
		entries: 3, engines: 2, services: 1,
		engine:  func(_ int, e *imitator.Engine) { e.ColdFor = time.Second },
		service: func(_ int, s *imitator.Service) { s.ColdFor = time.Second },
	})
	f := startTraffic(t, 16, inTurn(d.callers()))
	b := startBookings(t, 12, d, minted)
	for range 3 {
		f.moves(t, 50)
		for _, v := range d.agents() {
			v.upstream.restart()
		}
		f.moves(t, 50)
		d.awaitReady()
		d.mustBear("restarted under load")
	}
	b.stop()
	d.rushAfterRestart(12)
	d.mustBear("restarted while idle")
	f.stop()
	f.mustBeHonest(t, d.weights)
}

// mustBear checks that no upstream had more than it bears.
func (d *deployment) mustBear(when string) {
	d.t.Helper()
	for _, v := range d.agents() {
		c := v.upstream.counts()
		must.Zero(d.t, c.FellOver, must.Sprintf("%s fell over, %s", v.id, when))
		must.LessEq(d.t, 2, c.WorstCold, must.Sprintf("%s had more than a cold one bears, %s", v.id, when))
	}
}

// rushAfterRestart restarts the only service while nothing runs there and has
// many callers book in the same instant.
func (d *deployment) rushAfterRestart(callers int) {
	d.t.Helper()
	eventually(d.t, patience, "gate of a warm service wide", func() bool {
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
		at := d.entries[i%len(d.entries)].callers
		g.Go(func() { book(ctx, at, "", "", name+strconv.Itoa(i)) })
	}
	g.Wait()
}
