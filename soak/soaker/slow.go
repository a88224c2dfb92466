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
	// slowCallers read slowly for slowFor, and ask for answers of longAnswer bytes: more than the kernel buffers on
	// their way take.
	slowCallers = 8
	slowFor     = 3500 * time.Millisecond
	longAnswer  = 48 << 20
	// slowLimit is how long they wait, and stalls how long one in two reads nothing: the upstream has cut the reply by
	// then, which the entry sees once there is room for what came before.
	slowLimit = 3400 * time.Millisecond
	stalls    = 2200 * time.Millisecond
	// usualHint is how many events a caller expects of a long stream.
	usualHint = 16
	// calmSlowness is when they come after all other faults.
	calmSlowness = 7 * time.Second
)

// slowness has callers read slowly at some time of the faults, and in the recovery, when nothing else is disturbed. It is
// drawn apart from all other faults.
func slowness(seed uint64, last time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, seed+6))
	first := lateWeightsUntil(last)
	lasts := min(slowFor, (last-first)/2)
	at := first + time.Duration(r.Int64N(int64(last-first-lasts)))
	return []fault{{At: at, For: lasts, Kind: callersSlow}, {At: last + calmSlowness, For: slowFor, Kind: callersSlow}}
}

// readSlowly has callers read slowly for a time.
func (w *world) readSlowly(f fault) {
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
	c.address(q, prefix)
	q.Path += fmt.Sprintf("&bytes=%d", longAnswer)
	if prefix == draftPrefix {
		// By the hint it ends in time, as it would if it were read.
		q.Prompt, q.Events, q.Hint = 100, longAnswer/standin.LongEvent, usualHint
	}
	q.Limit = slowLimit
	if q.Drips = c.random.IntN(2) == 0; !q.Drips {
		q.Stalls = stalls
	}
	return q
}
