// Package reporter is the HTTP interface for operators: status, metrics and health. It also
// holds the small services that both daemons run under suture.
package reporter

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/acceptor"
	"github.com/oriolecroft/oriolecroft/internal/drainer"
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

// Web is an HTTP server as a suture service. Set the exported fields before Serve.
type Web struct {
	Name     string
	Listener net.Listener
	Handler  http.Handler
	// Refuse answers requests for which there is no memory; nil for a plain answer.
	Refuse http.Handler
	// Grace is how long running requests may take once the context has ended.
	Grace time.Duration
	// AnswerTimeout bounds writing a response to a client that reads slowly; 0 for no bound.
	AnswerTimeout time.Duration
	// WriteTimeout bounds each write to a client that doesn't read; 0 for defaultWriteTimeout.
	WriteTimeout time.Duration

	server atomic.Pointer[drainer.Server]
}

// readHeaderTimeout closes a connection whose client opens it and sends nothing.
const readHeaderTimeout = 10 * time.Second

// maxHeader bounds a request's header, in bytes. A request to an agent may hold an order with a caller's header.
const maxHeader = 256 << 10

// defaultWriteTimeout bounds a write to a client. The kernel never ends a connection whose client keeps it open and
// doesn't read.
const defaultWriteTimeout = 30 * time.Second

// Serve serves requests until the context ends.
func (w *Web) Serve(ctx context.Context) error {
	refuse := w.Refuse
	if refuse == nil {
		refuse = http.HandlerFunc(acceptor.Refuse)
	}
	writeTimeout := w.WriteTimeout
	if writeTimeout == 0 {
		writeTimeout = defaultWriteTimeout
	}
	s := &drainer.Server{Listener: w.Listener, WriteTimeout: writeTimeout, HTTP: &http.Server{
		Handler: acceptor.Handler(w.Handler, refuse), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeader, WriteTimeout: w.AnswerTimeout,
	}}
	w.server.Store(s)
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	select {
	case err := <-served:
		if !s.Draining() {
			return err
		}
		<-ctx.Done()
	case <-ctx.Done():
	}
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.Grace)
	defer cancel()
	if err := s.Drain(grace); err != nil {
		s.Close()
	}
	return ctx.Err()
}

// Drain stops accepting connections and returns once the requests that have arrived are answered, or with the context's
// error. Serve goes on until its own context ends, so that other services may run for these requests.
func (w *Web) Drain(ctx context.Context) error {
	s := w.server.Load()
	if s == nil {
		return nil
	}
	return s.Drain(ctx)
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
