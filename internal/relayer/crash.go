package relayer

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"os"
	"syscall"

	"golang.org/x/sync/singleflight"
	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/connector"
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
		j.begunAt = l.Clock.Now()
	}
	if j.events++; j.events == survivedEvents {
		l.noteSurvived(j)
	}
}

// noteSurvived notes that the upstream has survived the begin of the present attempt's reply.
func (l *Relayer) noteSurvived(j *Job) {
	if l.Localizer == nil || len(j.Parts) == 0 {
		return
	}
	began := j.begunAt
	if began.IsZero() {
		began = l.Clock.Now()
	}
	l.Localizer.Began(j.SharedParts(), l.Localizer.Clock.Now().Add(-l.Clock.Since(began)))
}

// noteCut finds out whether a failed attempt was cut by a crash of its upstream. Upstreams that are well
// reset connections too, and so do links.
func (l *Relayer) noteCut(j *Job, place *Place, err error) {
	if l.Prober == nil || len(j.Parts) == 0 || !isCut(err) || l.Placer.terms(place.Upstream).Leaving {
		return
	}
	u, request, events, parts := place.Upstream, j.ID, j.events, j.SharedParts()
	l.Prober.Refuses(u.Address, func(refused bool) {
		if !refused {
			return
		}
		l.count("crashes")
		klog.InfoS("Request cut by a crash of its upstream", "request", request, "upstream", u.ID, "events", events, "parts", parts)
		if events < survivedEvents {
			l.Localizer.Crashed(u.ID, parts)
		}
	})
}

// checkParts refuses a request with a part that crashes upstreams. Errors are *localizer.BlamedError.
func (l *Relayer) checkParts(j *Job) error {
	request := j.ID
	if j.failed {
		request = ""
	}
	return l.Localizer.Check(request, j.SharedParts())
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
