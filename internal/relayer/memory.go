package relayer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/semaphore"

	"github.com/rcrowley/go-metrics"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
)

const (
	// requestBytes is what a request holds besides its body and its reply: the buffers of two connections, an event
	// reader and, for about half of it, the stacks of its goroutines.
	requestBytes = 64 << 10
	// unkeptReply is how much of a plain reply is read without being counted, in bytes: it is part of requestBytes.
	unkeptReply = 4 << 10
)

// Memory bounds what all requests of an entry hold at once: bodies, replies that are kept whole, long events and
// buffers. Set the exported fields before use; nil is no bound. It is safe for concurrent use.
type Memory struct {
	// Bytes is the bound.
	Bytes int64
	// Metrics has the counters memory.held, in bytes, and memory.refused.
	Metrics metrics.Registry

	once sync.Once
	free *semaphore.Weighted
}

// MemoryError reports something that doesn't fit into the memory for requests.
type MemoryError struct {
	What  string
	Bytes int64
}

func (e *MemoryError) Error() string {
	return fmt.Sprintf("no memory for %s of %d bytes", e.What, e.Bytes)
}

func (m *Memory) take(bytes int64) bool {
	m.once.Do(func() { m.free = semaphore.NewWeighted(m.Bytes) })
	if !m.free.TryAcquire(bytes) {
		metrics.GetOrRegisterCounter("memory.refused", m.Metrics).Inc(1)
		return false
	}
	metrics.GetOrRegisterCounter("memory.held", m.Metrics).Inc(bytes)
	return true
}

func (m *Memory) release(bytes int64) {
	m.free.Release(bytes)
	metrics.GetOrRegisterCounter("memory.held", m.Metrics).Dec(bytes)
}

// account is what one request holds of the memory. Its handler uses it, and each goroutine that writes the body to
// an upstream. Nil holds without a bound.
type account struct {
	memory *Memory
	held   atomic.Int64
	users  atomic.Int32
}

// open gives an account that its first user has to close.
func (m *Memory) open() *account {
	if m == nil {
		return nil
	}
	a := &account{memory: m}
	a.users.Add(1)
	return a
}

// share adds a user.
func (a *account) share() {
	if a != nil {
		a.users.Add(1)
	}
}

// close gives everything back once its last user has closed the account.
func (a *account) close() {
	if a != nil && a.users.Add(-1) == 0 {
		a.release(a.held.Load())
	}
}

// take tells whether so many more bytes may be held.
func (a *account) take(bytes int64) bool {
	if a == nil {
		return true
	}
	if !a.memory.take(bytes) {
		return false
	}
	a.held.Add(bytes)
	return true
}

func (a *account) release(bytes int64) {
	if a != nil && bytes > 0 {
		a.held.Add(-bytes)
		a.memory.release(bytes)
	}
}

// admitMemory takes the memory that each request needs, or refuses it.
func (c *call) admitMemory() bool {
	return c.takeMemory("a request", requestBytes)
}

// takeMemory takes memory, or refuses the request, which hasn't been sent to any upstream.
func (c *call) takeMemory(what string, bytes int64) bool {
	if c.account.take(bytes) {
		return true
	}
	c.refuseMemory(&MemoryError{What: what, Bytes: bytes})
	return false
}

func (c *call) refuseMemory(err *MemoryError) {
	c.refuse(&RefusedError{Reason: err.Error(), RetryAfter: busyRetry})
}

// bodySource reads a caller's body, and takes memory for one whose length isn't known as it comes.
func (c *call) bodySource(limit int64) io.Reader {
	// The server's own writer learns that the connection has to close behind a body that is too long.
	body := http.MaxBytesReader(c.out.ResponseWriter, c.r.Body, limit)
	if c.r.ContentLength >= 0 {
		return body
	}
	return &countedReader{from: body, account: c.account}
}

// countedReader takes memory for all that it reads.
type countedReader struct {
	from    io.Reader
	account *account
}

// Read implements io.Reader. Errors are *MemoryError and those of the reader.
func (r *countedReader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b)
	// A buffer grows to twice of what it holds.
	if needed := 2 * int64(n); n > 0 && !r.account.take(needed) {
		return 0, &MemoryError{What: "more of a body", Bytes: needed}
	}
	return n, err
}

// take takes memory that is given back when the exchange ends.
func (x *exchange) take(bytes int64) bool {
	if !x.account.take(bytes) {
		return false
	}
	x.kept.Add(bytes)
	return true
}

func (x *exchange) releaseMemory() { x.account.release(x.kept.Swap(0)) }

// readStart reads a plain reply whole, or its start if it is longer than bufferedReply or than the memory allows.
func (x *exchange) readStart(body *bodyreader.Reader) (start []byte, ended bool, err error) {
	start = make([]byte, 0, unkeptReply)
	for {
		n, err := body.Read(start[len(start):cap(start)])
		start = start[:len(start)+n]
		switch {
		case errors.Is(err, io.EOF):
			return start, true, nil
		case err != nil:
			return start, false, err
		case len(start) < cap(start):
			continue
		}
		size := min(2*cap(start), bufferedReply)
		if size == cap(start) || !x.take(int64(size)) {
			return start, false, nil
		}
		longer := make([]byte, len(start), size)
		copy(longer, start)
		if len(start) > unkeptReply {
			x.kept.Add(-int64(len(start)))
			x.account.release(int64(len(start)))
		}
		start = longer
	}
}

// endsForMemory tells whether an attempt ended as there was no memory for its reply.
func endsForMemory(err error) bool {
	var full *bodyreader.MemoryError
	return errors.As(err, &full)
}

// copyBuffers are for replies that are passed on while they come.
var copyBuffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// copyBuffer is in bytes. Half of what io.Copy takes is as fast on loopback and counts twice less.
const copyBuffer = 16 << 10

// copyRest passes the rest of a plain reply on as it comes.
func (c *call) copyRest(body *bodyreader.Reader) error {
	buffer := copyBuffers.Get().(*[copyBuffer]byte)
	defer copyBuffers.Put(buffer)
	_, err := io.CopyBuffer(c.w, body, buffer[:])
	return err
}
