package relayer

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/singleflight"
	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
	"github.com/oriolecroft/oriolecroft/internal/connector"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// survivedEvents is after how many events of a reply its upstream has survived the request: one that is
// crashed by a request ends as it begins to write.
const survivedEvents = 3

// Prober finds out whether an upstream's process is gone.
type Prober interface {
	// Refuses calls then once it is known whether nothing listens at an address any more.
	Refuses(a netip.AddrPort, then func(refused bool))
}

// NetworkProber connects to the address once for all who ask at the same time. The zero value is ready
// for use.
type NetworkProber struct{ calls singleflight.Group }

// Refuses implements Prober.
func (p *NetworkProber) Refuses(a netip.AddrPort, then func(refused bool)) {
	go func() {
		refused, _, _ := p.calls.Do(a.String(), func() (any, error) { return refuses(a), nil })
		then(refused.(bool))
	}()
}

func refuses(a netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := connector.Dial(ctx, a)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// EventPassed counts an event of the reply that the present attempt gets.
func (l *Relayer) EventPassed(j *Job) {
	if j.events == 0 {
		j.firstEventAt = l.Clock.Now()
	}
	j.delivered++
	if j.events++; j.events == survivedEvents {
		l.noteSurvived(j)
	}
}

// noteSurvived notes that the upstream has survived the begin of the present attempt's reply.
func (l *Relayer) noteSurvived(j *Job) {
	if l.Localizer == nil || len(j.Parts) == 0 {
		return
	}
	began := j.firstEventAt
	if began.IsZero() {
		began = l.Clock.Now()
	}
	l.Localizer.ReplyStarted(j.SharedParts(), l.Localizer.Clock.Now().Add(-l.Clock.Since(began)))
}

// noteCut finds out whether a failed attempt was cut by a crash of its upstream. Upstreams that are well
// reset connections too, and so do links.
func (l *Relayer) noteCut(j *Job, place *Placement, err error, events int) {
	if l.Prober == nil || len(j.Parts) == 0 || !isCut(err) || l.Placer.terms(place.Upstream).Leaving {
		return
	}
	c := cut{upstream: place.Upstream.Upstream, request: j.ID, events: events, parts: j.SharedParts(), at: l.Registrar.Clock.Now()}
	l.Prober.Refuses(c.upstream.Address, func(refused bool) {
		if refused {
			l.noteCrash(c, "connection refused")
			return
		}
		l.cuts.add(c)
	})
}

// noteCrash takes a cut for that of a crash.
func (l *Relayer) noteCrash(c cut, evidence string) {
	l.count("crashes")
	klog.InfoS("Request cut by a crash of its upstream", "request", c.request, "upstream", c.upstream.ID, "events", c.events,
		"parts", c.parts, "evidence", evidence, "ago", l.Registrar.Clock.Since(c.at))
	if c.events < survivedEvents {
		l.Localizer.Crashed(c.upstream.ID, c.parts, c.at)
	}
}

const (
	// restartWithin is how soon after a cut the record of a new start may come that shows it to be a crash,
	// and maxCuts how many cuts wait for one.
	restartWithin = 5 * time.Second
	maxCuts       = 256
)

// cut is a request that was cut by its upstream's end of the connection. At is by the registrar's clock.
type cut struct {
	upstream registrar.Upstream
	request  string
	events   int
	parts    []string
	at       time.Time
}

// cuts are those of which it isn't known whether their upstream has crashed: something listens at its
// address, which may be its next start already.
type cuts struct {
	mu      sync.Mutex
	waiting []cut
}

func (s *cuts) add(c cut) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == maxCuts {
		s.waiting = s.waiting[1:]
	}
	s.waiting = append(s.waiting, c)
}

// SweepCuts looks whether the upstreams of cut requests have started again. It should be called several
// times a second.
func (l *Relayer) SweepCuts() {
	view := l.Registrar.View()
	if view == nil {
		return
	}
	l.cuts.mu.Lock()
	waiting := l.cuts.waiting
	l.cuts.waiting = nil
	l.cuts.mu.Unlock()
	for _, c := range waiting {
		switch {
		case startedAgain(view, c.upstream):
			l.noteCrash(c, "started again")
		case l.Registrar.Clock.Since(c.at) < restartWithin:
			l.cuts.add(c)
		}
	}
}

// startedAgain tells whether another start of an upstream is known.
func startedAgain(view *registrar.View, u registrar.Upstream) bool {
	return slices.ContainsFunc(view.Service(u.Service), func(v *registrar.UpstreamView) bool {
		return v.Address == u.Address && v.StartedAt.After(u.StartedAt)
	})
}

// checkParts refuses a request with a part that crashes upstreams. Errors are *localizer.BlamedError.
func (l *Relayer) checkParts(j *Job) error { return l.checkPartsOf(j.Request, j.failed) }

// checkPartsOf is checkParts for a request of which an attempt has failed, or none.
func (l *Relayer) checkPartsOf(r Request, failed bool) error {
	if l.Placer.Without.Has(ablator.PromptBlame) {
		return nil
	}
	id := r.ID
	if failed {
		id = ""
	}
	return l.Localizer.Check(id, r.SharedParts())
}

// blamed tells whether a part of the prompt is blamed: the request may be a trial, which one upstream gets.
func (c *call) blamed() bool {
	return !c.Placer.Without.Has(ablator.PromptBlame) && c.Localizer.AnyBlamed(c.SharedParts())
}

// isCut tells whether the upstream's end of the connection ended an attempt.
func isCut(err error) bool {
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		return false
	}
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
