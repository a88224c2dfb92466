// Package drainer serves HTTP requests and stops without dropping any that has arrived.
//
// http.Server.Shutdown is not enough for that. Once it has started, net/http closes a connection without an answer after it
// has read a request on it, and closing the listener resets the connections that were not accepted yet. A process that has
// stalled does both to requests that have waited for as long as the stall. And the kernel resets a connection that is closed
// while data of the client's waits to be read, or arrives later, and drops what the client hasn't received of its reply.
package drainer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/connector"
)

const (
	// UnreadTimeout is how long a new connection may stay without a request while the server drains, and how long a
	// request's header may take. Some clients send a stray line end that starts no request.
	UnreadTimeout = time.Second
	// pollInterval is the interval between checks of the connections while the server drains.
	pollInterval = 10 * time.Millisecond
	// acceptInterval is the interval between checks whether connections wait to be accepted.
	acceptInterval = time.Millisecond
)

// Server serves the requests of an http.Server. Set the exported fields before Serve; the server's own handler of
// connection states and its ConnContext are replaced. The connections of an acceptor.Listener stay within its limits.
type Server struct {
	HTTP     *http.Server
	Listener net.Listener
	// WriteTimeout bounds each write to a client, unless a handler has set a deadline; 0 for no bound.
	WriteTimeout time.Duration

	// closesConnections is set once clients are asked to close their connections.
	closesConnections atomic.Bool
	draining          atomic.Bool
	// stopped is set once no more connections are accepted.
	stopped atomic.Bool
	// closing is set once all connections are to be closed at once.
	closing atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Serve serves requests until the listener is closed, and returns the error of its Accept.
func (s *Server) Serve() error {
	defer s.stopped.Store(true)
	handler := s.HTTP.Handler
	s.HTTP.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.closesConnections.Load() {
			w.Header().Set("Connection", "close")
		}
		serveWithinLimits(handler, w, r)
	})
	s.HTTP.ConnState = s.setState
	s.HTTP.ConnContext = withLimits
	return s.HTTP.Serve(listener{Listener: s.Listener, server: s})
}

// AskToClose asks clients to close their connections, with each answer from now on.
func (s *Server) AskToClose() { s.closesConnections.Store(true) }

// Draining reports whether Drain was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// Drain accepts the connections that are waiting, closes the listener, and closes each connection once all requests on it
// are answered. It returns the context's error if that ends before; the listener stays open if connections are waiting.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.AskToClose()
	for connector.HasPending(s.Listener) {
		if !wait(ctx, acceptInterval) {
			return ctx.Err()
		}
	}
	// It is closed already if this is another call.
	_ = s.Listener.Close()
	for {
		// The last connection may have been accepted but not be tracked yet.
		stopped := s.stopped.Load()
		if s.closeUnused() == 0 && stopped {
			return nil
		}
		if !wait(ctx, pollInterval) {
			return ctx.Err()
		}
	}
}

// Close closes the listener and all connections, also those with requests.
func (s *Server) Close() error {
	s.closing.Store(true)
	return s.HTTP.Close()
}

// closeUnused closes the connections without a request, and returns how many are still open. A connection on which a
// request is waiting to be read stays open until it is answered.
func (s *Server) closeUnused() (open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.conns {
		c.closeIfUnused(now)
	}
	return len(s.conns)
}

// Open returns the number of open connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// track adds a connection that was accepted.
func (s *Server) track(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
	s.conns[c] = struct{}{}
}

// setState records a connection's state, as reported by http.Server.
func (s *Server) setState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	c.setState(state, time.Now())
	if state == http.StateClosed || state == http.StateHijacked {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}
}

// wait waits for a time and reports whether the context is still active.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
