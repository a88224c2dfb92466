package relayer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/oriolecroft/oriolecroft/internal/acceptor"
	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
)

const (
	// requestBytes is the memory of a request besides its body and its reply: the buffers of two
	// connections, an event reader and, for about half of it, the stacks of its goroutines.
	requestBytes = 64 << 10
	// uncountedReply is how much of a plain reply is read without being counted, in bytes: it is
	// part of requestBytes.
	uncountedReply = 4 << 10
)

// MemoryError reports data that doesn't fit into the memory for requests.
type MemoryError struct {
	What  string
	Bytes int64
}

func (e *MemoryError) Error() string {
	return fmt.Sprintf("no memory for %s of %d bytes", e.What, e.Bytes)
}

// account counts the memory of one request. It is shared by the request's handler and each
// goroutine that writes the body to an upstream. Nil is unbounded.
type account struct {
	memory *acceptor.Limits
	held   atomic.Int64
	users  atomic.Int32
}

// openAccount returns an account that its first user must close; nil without limits.
func openAccount(memory *acceptor.Limits) *account {
	if memory == nil {
		return nil
	}
	a := &account{memory: memory}
	a.users.Add(1)
	return a
}

// addUser adds a user.
func (a *account) addUser() {
	if a != nil {
		a.users.Add(1)
	}
}

// close releases all memory once the last user has closed the account.
func (a *account) close() {
	if a != nil && a.users.Add(-1) == 0 {
		a.release(a.held.Load())
	}
}

// acquire reports whether this many more bytes are available, and counts them.
func (a *account) acquire(bytes int64) bool {
	if a == nil {
		return true
	}
	if !a.memory.Acquire(bytes) {
		return false
	}
	a.held.Add(bytes)
	return true
}

func (a *account) release(bytes int64) {
	if a != nil && bytes > 0 {
		a.held.Add(-bytes)
		a.memory.Release(bytes)
	}
}

// admitMemory acquires the memory that each request needs, or refuses it.
func (c *call) admitMemory() bool {
	// Each attempt writes a copy of the header.
	return c.acquireMemory("a request", requestBytes+acceptor.HeaderCost(c.httpRequest.Header))
}

// acquireMemory acquires memory, or refuses the request, which hasn't been sent to any upstream.
func (c *call) acquireMemory(what string, bytes int64) bool {
	if c.account.acquire(bytes) {
		return true
	}
	c.refuseMemory(&MemoryError{What: what, Bytes: bytes})
	return false
}

func (c *call) refuseMemory(err *MemoryError) {
	c.refuse(&RefusedError{Reason: err.Error(), RetryAfter: defaultRetryAfter})
}

// bodySource returns a reader of a caller's body; one of unknown length acquires memory as it
// reads.
func (c *call) bodySource(limit int64) io.Reader {
	// MaxBytesReader needs the server's own writer to close the connection after a body that is too
	// long.
	body := http.MaxBytesReader(c.writer.ResponseWriter, c.httpRequest.Body, limit)
	if c.httpRequest.ContentLength >= 0 {
		return body
	}
	return &countedReader{source: body, account: c.account}
}

// countedReader acquires memory for all that it reads.
type countedReader struct {
	source  io.Reader
	account *account
}

// Read implements io.Reader. Errors are *MemoryError and those of the source.
func (r *countedReader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b)
	// A buffer grows to twice its content.
	if needed := 2 * int64(n); n > 0 && !r.account.acquire(needed) {
		return 0, &MemoryError{What: "more of a body", Bytes: needed}
	}
	return n, err
}

// acquire acquires memory that is released when the exchange ends.
func (x *exchange) acquire(bytes int64) bool {
	if !x.account.acquire(bytes) {
		return false
	}
	x.retainedBytes.Add(bytes)
	return true
}

func (x *exchange) releaseMemory() { x.account.release(x.retainedBytes.Swap(0)) }

// readReplyStart reads a plain reply whole, or its start if it is longer than maxBufferedReply or than
// the available memory.
func (x *exchange) readReplyStart(body *bodyreader.Reader) (start []byte, ended bool, err error) {
	start = make([]byte, 0, uncountedReply)
	for {
		n, err := body.Read(start[len(start):cap(start)])
		x.onStart()
		start = start[:len(start)+n]
		switch {
		case errors.Is(err, io.EOF):
			return start, true, nil
		case err != nil:
			return start, false, err
		case len(start) < cap(start):
			continue
		}
		size := min(2*cap(start), maxBufferedReply)
		if size == cap(start) || !x.acquire(int64(size)) {
			return start, false, nil
		}
		longer := make([]byte, len(start), size)
		copy(longer, start)
		if len(start) > uncountedReply {
			x.retainedBytes.Add(-int64(len(start)))
			x.account.release(int64(len(start)))
		}
		start = longer
	}
}

// failedForMemory reports whether an attempt ended for lack of memory for its reply.
func failedForMemory(err error) bool {
	var full *bodyreader.MemoryError
	return errors.As(err, &full)
}

// copyBufferPool holds buffers for replies that are passed on as they arrive.
var copyBufferPool = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// copyBufferSize is in bytes. Half of io.Copy's buffer is as fast on loopback and counts half as
// much.
const copyBufferSize = 16 << 10

// copyRemaining passes on the rest of a plain reply as it arrives.
func (c *call) copyRemaining(body *bodyreader.Reader) error {
	buffer := copyBufferPool.Get().(*[copyBufferSize]byte)
	defer copyBufferPool.Put(buffer)
	_, err := io.CopyBuffer(c.response, body, buffer[:])
	return err
}
