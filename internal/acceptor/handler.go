package acceptor

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
)

const (
	// requestBytes is the memory of a request besides its head and its body: the buffers of its reply, and the stacks of
	// its goroutines.
	requestBytes = 64 << 10
	// retryAfterSeconds is when a client may retry a request that was refused for lack of memory.
	retryAfterSeconds = 1
)

// MemoryError reports a request for which there is not enough memory.
type MemoryError struct{}

func (e *MemoryError) Error() string {
	return "no memory for the request"
}

type connKey struct{}

// WithConn returns a context with the connection of a request.
func WithConn(ctx context.Context, c *Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection of a request; nil if it has no limits.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Handler counts the memory of requests and of their bodies, which are JSON. Requests for which there is none get the answer
// of refuse, with a Retry-After header. The body returns *MemoryError if there is none for more of it.
func Handler(next, refuse http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := ConnOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if !c.listener.startRequest(requestBytes) {
			w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
			refuse.ServeHTTP(w, r)
			return
		}
		body := &countedBody{ReadCloser: r.Body, listener: c.listener}
		defer func() { c.listener.endRequest(requestBytes + body.held.Load()) }()
		counted := *r
		counted.Body = body
		next.ServeHTTP(w, &counted)
	})
}

// Refuse answers a request for which there is no memory.
func Refuse(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, (&MemoryError{}).Error(), http.StatusServiceUnavailable)
}

// countedBody acquires memory for what is read.
type countedBody struct {
	io.ReadCloser
	listener *Listener
	// held is the memory acquired, in bytes.
	held atomic.Int64
}

// Read implements io.Reader. Errors are *MemoryError and those of the body.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n == 0 {
		return n, err
	}
	cost := JSONCost(p[:n])
	if !b.listener.acquire(cost) {
		return 0, &MemoryError{}
	}
	b.held.Add(cost)
	return n, err
}
