package drainer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/oriolecroft/oriolecroft/internal/acceptor"
)

// withLimits adds the limited connection of requests to their context.
func withLimits(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*conn); ok {
		return acceptor.WithConn(ctx, c.limited)
	}
	return ctx
}

// serveWithinLimits serves a request whose connection is kept open from the end of its body on.
func serveWithinLimits(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	c := acceptor.ConnOf(r.Context())
	switch {
	case c == nil:
	case r.ContentLength == 0:
		abortIfClosed(c.StartRequest())
	default:
		abortIfClosed(c.StartBody())
		withBody := *r
		withBody.Body = &body{ReadCloser: r.Body, conn: c, remaining: r.ContentLength}
		r = &withBody
	}
	handler.ServeHTTP(w, r)
}

// abortIfClosed ends a request whose connection was closed before it began, so that it doesn't run.
func abortIfClosed(err error) {
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// body is the body of a request, whose connection may be closed until all of it was received.
type body struct {
	io.ReadCloser
	conn *acceptor.Conn
	// remaining is how many bytes are still to be received; negative if that is unknown.
	remaining int64
	received  bool
}

// Read implements io.Reader. Errors are *acceptor.ClosedError and those of the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.remaining > 0 {
		b.remaining -= int64(n)
	}
	if b.received || b.remaining != 0 && !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := b.conn.StartRequest(); err != nil {
		return 0, err
	}
	b.received = true
	return n, err
}
