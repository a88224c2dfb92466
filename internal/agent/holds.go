package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/admitter"
	"github.com/oriolecroft/oriolecroft/internal/driver"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// holdInterval is how often the gate's holds are updated. They only give entries
// earlier notice: each request is checked against the bundle by itself.
const holdInterval = 50 * time.Millisecond

// listedTTL is how long a report by an entry that the platform lists this VM as
// leaving stays valid; entries repeat it with each answer.
const listedTTL = 3 * time.Second

// atomicTime is a time that several goroutines set and read.
type atomicTime struct {
	nanos atomic.Int64
}

func (a *atomicTime) set(t time.Time) { a.nanos.Store(t.UnixNano()) }

func (a *atomicTime) within(now time.Time, d time.Duration) bool {
	nanos := a.nanos.Load()
	return nanos != 0 && now.Sub(time.Unix(0, nanos)) < d
}

// updateHolds aligns the gate's holds with the bundle and its freshness.
func (a *Agent) updateHolds(context.Context) {
	b, _ := a.State.Current()
	a.setHold(admitter.Booting, b == nil)
	a.setHold(admitter.StaleBundle, a.State.MayServe() != nil)
	a.setHold(admitter.Drained, b != nil && !a.isPlaced(b))
	a.setHold(admitter.ListedLeaving, a.lastListed.within(a.Clock.Now(), listedTTL))
	a.setHold(admitter.Unproven, b == nil || !a.isProven(b))
}

func (a *Agent) setHold(r admitter.Reason, closed bool) {
	if closed {
		a.Gate.Close(r)
		return
	}
	a.Gate.Open(r)
}

// isPlaced reports whether the bundle gives this agent any new work.
func (a *Agent) isPlaced(b *bundler.Bundle) bool {
	if _, ok := a.Upstream.(*driver.Engine); !ok {
		s, ok := b.Service(a.Service)
		return ok && b.Serves(s.FailureDomains, a.FailureDomain)
	}
	h, ok := a.health.get()
	if !ok || h.Model == "" {
		return b.Serves(nil, a.FailureDomain)
	}
	m, ok := b.Model(h.Model)
	return ok && b.Serves(m.FailureDomains, a.FailureDomain)
}

// isProven reports whether the upstream holds what it may serve: for an engine the
// weights of the bundle in force or, during a rollout, those that this very agent
// served under the previous bundle.
func (a *Agent) isProven(b *bundler.Bundle) bool {
	h, ok := a.health.get()
	if !ok {
		return false
	}
	if _, ok := a.Upstream.(*driver.Engine); !ok {
		return true
	}
	m, ok := b.Model(h.Model)
	if !ok {
		return false
	}
	return a.switcher.servable(m, h.Manifest)
}
