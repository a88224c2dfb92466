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

// minSurvivedEvents is the number of events of a reply after which its upstream has survived the request: an
// upstream that a request crashes ends as it starts to write.
const minSurvivedEvents = 3

// Prober finds out whether an upstream's process has ended.
type Prober interface {
	// CheckRefused calls then once it is known whether an address refuses connections as nothing listens there.
	CheckRefused(a netip.AddrPort, then func(refused bool))
}

// NetworkProber connects to an address once for all concurrent checks of it. The zero value is ready for use.
type NetworkProber struct{ calls singleflight.Group }

// CheckRefused implements Prober.
func (p *NetworkProber) CheckRefused(a netip.AddrPort, then func(refused bool)) {
	go func() {
		refused, _, _ := p.calls.Do(a.String(), func() (any, error) { return connectionRefused(a), nil })
		then(refused.(bool))
	}()
}

func connectionRefused(a netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := connector.Dial(ctx, a)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// CountEvent counts an event of the current attempt's reply.
func (l *Relayer) CountEvent(j *Job) {
	if j.events == 0 {
		j.firstEventAt = l.Clock.Now()
	}
	j.delivered++
	if j.events++; j.events == minSurvivedEvents {
		l.reportSurvived(j)
	}
}

// reportSurvived reports that the upstream has survived the start of the current attempt's reply.
func (l *Relayer) reportSurvived(j *Job) {
	if l.Localizer == nil || len(j.Parts) == 0 {
		return
	}
	start := j.firstEventAt
	if start.IsZero() {
		start = l.Clock.Now()
	}
	l.Localizer.ReplyStarted(j.SharedParts(), l.Localizer.Clock.Now().Add(-l.Clock.Since(start)))
}

// investigateCut finds out whether a failed attempt was cut by a crash of its upstream. Working upstreams reset
// connections too, and so do links.
func (l *Relayer) investigateCut(j *Job, place *Placement, err error, events int) {
	if l.Prober == nil || len(j.Parts) == 0 || !isConnectionCut(err) || l.Placer.terms(place.Upstream).Leaving {
		return
	}
	c := cutRequest{upstream: place.Upstream.Upstream, request: j.ID, events: events, parts: j.SharedParts(), cutAt: l.Registrar.Clock.Now()}
	l.Prober.CheckRefused(c.upstream.Address, func(refused bool) {
		if refused {
			l.recordCrash(c, "connection refused")
			return
		}
		l.cuts.add(c)
	})
}

// recordCrash attributes a cut to a crash.
func (l *Relayer) recordCrash(c cutRequest, evidence string) {
	l.count("crashes")
	klog.InfoS("Request cut by a crash of its upstream", "request", c.request, "upstream", c.upstream.ID, "events", c.events,
		"parts", c.parts, "evidence", evidence, "ago", l.Registrar.Clock.Since(c.cutAt))
	if c.events < minSurvivedEvents {
		l.Localizer.Crashed(c.upstream.ID, c.parts, c.cutAt)
	}
}

const (
	// restartWindow is how soon after a cut the record of a new start must arrive to show a crash, and
	// maxPendingCuts how many cuts wait for one.
	restartWindow  = 5 * time.Second
	maxPendingCuts = 256
)

// cutRequest is a request cut by its upstream's end of the connection. cutAt is by the registrar's clock.
type cutRequest struct {
	upstream registrar.Upstream
	request  string
	events   int
	parts    []string
	cutAt    time.Time
}

// pendingCuts are cuts whose upstream may or may not have crashed: something listens at its address, which may
// be its next start already.
type pendingCuts struct {
	mu      sync.Mutex
	pending []cutRequest
}

func (s *pendingCuts) add(c cutRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == maxPendingCuts {
		s.pending = s.pending[1:]
	}
	s.pending = append(s.pending, c)
}

// CheckCutRequests checks whether the upstreams of cut requests have restarted. Call it several times a second.
func (l *Relayer) CheckCutRequests() {
	view := l.Registrar.View()
	if view == nil {
		return
	}
	l.cuts.mu.Lock()
	pending := l.cuts.pending
	l.cuts.pending = nil
	l.cuts.mu.Unlock()
	for _, c := range pending {
		switch {
		case hasRestarted(view, c.upstream):
			l.recordCrash(c, "started again")
		case l.Registrar.Clock.Since(c.cutAt) < restartWindow:
			l.cuts.add(c)
		}
	}
}

// hasRestarted reports whether another start of an upstream is known.
func hasRestarted(view *registrar.View, u registrar.Upstream) bool {
	return slices.ContainsFunc(view.Service(u.Service), func(v *registrar.UpstreamView) bool {
		return v.Address == u.Address && v.StartedAt.After(u.StartedAt)
	})
}

// checkParts refuses a request with a part that crashes upstreams. Errors are *localizer.BlamedError.
func (l *Relayer) checkParts(j *Job) error { return l.checkPartsOf(j.Request, j.failed) }

// checkPartsOf is checkParts for any request; failed reports whether an attempt has failed.
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

// hasBlamedPart reports whether a part of the prompt is blamed: the request may be a trial, for one upstream.
func (c *call) hasBlamedPart() bool {
	return !c.Placer.Without.Has(ablator.PromptBlame) && c.Localizer.AnyBlamed(c.SharedParts())
}

// isConnectionCut reports whether the upstream's end of the connection ended an attempt.
func isConnectionCut(err error) bool {
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
