package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/admitter"
	"github.com/oriolecroft/oriolecroft/internal/driver"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// holdEvery is how often the gate's holds are worked out anew. They only shorten
// what entries learn late: each request is checked against the bundle by itself.
const holdEvery = 50 * time.Millisecond

// listedFor is how long an entry's word counts that the platform lists this VM as
// leaving; entries repeat it with each answer.
const listedFor = 3 * time.Second

// stamp is a time that is set and read by different goroutines.
type stamp struct {
	nanos atomic.Int64
}

func (s *stamp) set(t time.Time) { s.nanos.Store(t.UnixNano()) }

func (s *stamp) within(now time.Time, d time.Duration) bool {
	at := s.nanos.Load()
	return at != 0 && now.Sub(time.Unix(0, at)) < d
}

// hold puts the gate's holds in line with the bundle and its freshness.
func (a *Agent) hold(context.Context) {
	b, _ := a.State.Current()
	a.holdIf(admitter.Booting, b == nil)
	a.holdIf(admitter.StaleBundle, a.State.MayServe() != nil)
	a.holdIf(admitter.Drained, b != nil && !a.placed(b))
	a.holdIf(admitter.ListedLeaving, a.listed.within(a.Clock.Now(), listedFor))
	a.holdIf(admitter.Unproven, b == nil || !a.proven(b))
}

func (a *Agent) holdIf(r admitter.Reason, closed bool) {
	if closed {
		a.Gate.Close(r)
		return
	}
	a.Gate.Open(r)
}

// placed tells whether the bundle gives this agent any new work.
func (a *Agent) placed(b *bundler.Bundle) bool {
	if _, ok := a.Upstream.(*driver.Engine); !ok {
		s, ok := b.Service(a.Service)
		return ok && b.Serves(s.FailureDomains, a.FailureDomain)
	}
	h, ok := a.proof.get()
	if !ok || h.Model == "" {
		return b.Serves(nil, a.FailureDomain)
	}
	m, ok := b.Model(h.Model)
	return ok && b.Serves(m.FailureDomains, a.FailureDomain)
}

// proven tells whether the upstream holds what it may serve: for an engine the
// weights of the bundle in force or, while a bundle rolls, those that this very
// agent served under the one before.
func (a *Agent) proven(b *bundler.Bundle) bool {
	h, ok := a.proof.get()
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
