package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oriolecroft/oriolecroft/platform/standin"
)

const (
	// slowCallers callers read slowly for slowDuration and request answers of longAnswer bytes, which
	// exceed the kernel buffers on the path.
	slowCallers  = 8
	slowDuration = 3500 * time.Millisecond
	longAnswer   = 48 << 20
	// slowLimit is how long they wait, and readStall how long every second one reads nothing: the
	// upstream has cut the reply by then, which the entry detects once there is space for the
	// preceding bytes.
	slowLimit = 3400 * time.Millisecond
	readStall = 2200 * time.Millisecond
	// expectedEvents is the number of events that a caller expects in a long stream.
	expectedEvents = 16
	// quietSlowDelay is when they start after all other faults.
	quietSlowDelay = 7 * time.Second
)

// slowReaderFaults makes callers read slowly at some time among the faults and in the recovery, when nothing
// else is disturbed. It is drawn independently of all other faults.
func slowReaderFaults(seed uint64, last time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, seed+6))
	first := lateWeightsUntil(last)
	lasts := min(slowDuration, (last-first)/2)
	at := first + time.Duration(r.Int64N(int64(last-first-lasts)))
	return []fault{{At: at, For: lasts, Kind: callersSlow}, {At: last + quietSlowDelay, For: slowDuration, Kind: callersSlow}}
}

// readSlowly makes callers read slowly for a time.
func (w *deployment) readSlowly(f fault) {
	ctx, cancel := context.WithTimeout(w.running, f.For)
	defer cancel()
	var all sync.WaitGroup
	for i := range slowCallers {
		c := w.newCaller(callers + burstCallers + i)
		all.Go(func() { c.runWith(ctx, c.drawSlow) })
	}
	all.Wait()
}

// drawSlow draws a request whose long answer is read slowly.
func (c *caller) drawSlow() *standin.Request {
	q := c.newRequest()
	prefix := []string{lookPrefix, publicPrefix, draftPrefix}[c.random.IntN(3)]
	c.setPath(q, prefix)
	q.Path += fmt.Sprintf("&bytes=%d", longAnswer)
	if prefix == draftPrefix {
		// The hint lets the stream end in time, as it would if it were read.
		q.Prompt, q.Events, q.Hint = 100, longAnswer/standin.LongEvent, expectedEvents
	}
	q.Limit = slowLimit
	if q.Drips = c.random.IntN(2) == 0; !q.Drips {
		q.Stalls = readStall
	}
	return q
}
