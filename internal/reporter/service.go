// Package reporter is the HTTP interface for operators: status, metrics and health. It also
// holds the small services that both daemons run under suture.
package reporter

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/thejerf/suture/v4"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"
)

// LogEvents logs the events of the supervisor.
func LogEvents(e suture.Event) {
	klog.InfoS("Supervisor", "event", e.String())
}

// RunUntil runs a daemon's parts until the context ends, then calls drain while they still
// run, and stops them.
func RunUntil(ctx context.Context, parts *suture.Supervisor, drain func(context.Context)) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := parts.ServeBackground(work)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	drain(work)
	stop()
	err := <-done
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Web is an HTTP server as a suture service. Its listener outlives restarts.
type Web struct {
	Name     string
	Listener net.Listener
	Handler  http.Handler
	// Grace is how long running requests may take once the context has ended.
	Grace time.Duration
	// AnswerTimeout bounds writing a response to a client that reads slowly; 0 for no bound.
	AnswerTimeout time.Duration
}

// readHeaderTimeout closes a connection whose client opens it and sends nothing.
const readHeaderTimeout = 10 * time.Second

// maxHeader bounds a request's header, in bytes. A request to an agent may hold an order with a caller's header.
const maxHeader = 256 << 10

// Serve serves requests until the context ends.
func (w *Web) Serve(ctx context.Context) error {
	s := &http.Server{Handler: w.Handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeader, WriteTimeout: w.AnswerTimeout}
	finished := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(finished)
		grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.Grace)
		defer cancel()
		if err := s.Shutdown(grace); err != nil {
			s.Close()
		}
	})
	err := s.Serve(w.Listener)
	if stop() {
		return err
	}
	<-finished
	if errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return err
}

func (w *Web) String() string { return w.Name }

// Every returns a service that calls do at once and at each tick. A tick during a call is
// dropped.
func Every(name string, c clock.WithTicker, interval time.Duration, do func(context.Context)) suture.Service {
	return &periodic{name: name, clock: c, interval: interval, do: do}
}

type periodic struct {
	name     string
	clock    clock.WithTicker
	interval time.Duration
	do       func(context.Context)
}

func (p *periodic) Serve(ctx context.Context) error {
	t := p.clock.NewTicker(p.interval)
	defer t.Stop()
	for {
		p.do(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C():
		}
	}
}

func (p *periodic) String() string { return p.name }
