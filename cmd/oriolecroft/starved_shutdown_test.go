package main_test

import (
	"context"
	"fmt"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/platform/standin"
)

const (
	// lossSlack is how long after it was sent a request may be lost to the close of its connection.
	lossSlack = 200 * time.Millisecond
	// shortWork is how long the service works on a request that ends well within the grace.
	shortWork = 30 * time.Millisecond
	// firstStarvedHost is the first loopback host of the test, which uses two for each case.
	firstStarvedHost = 230
	// firstCutHost is the same for requests that are cut.
	firstCutHost = 246
	// keptConnections is the number of callers that send several requests on a connection.
	keptConnections = 30
	// changeInterval is the time between two changes of route table and settings.
	changeInterval = 40 * time.Millisecond
)

// lostRequest is a request whose connection was closed without an answer.
type lostRequest struct {
	id    string
	after time.Duration
}

// lossRecorder records the requests without an answer. It is safe for concurrent use.
type lossRecorder struct {
	entry *stoppingEntry

	mu       sync.Mutex
	answered int
	lost     []lostRequest
}

// send sends a request on a connection and reports whether that can be used again.
func (r *lossRecorder) send(c *standin.Connection, id string) (reusable bool) {
	sentAt := time.Now()
	reply := c.Send(&standin.Request{ID: id, Host: "h", Path: "/book/", Body: "slot", Limit: 6 * time.Second})
	r.mu.Lock()
	defer r.mu.Unlock()
	switch after := time.Since(sentAt); {
	case reply.Status != 0 && reply.Whole:
		r.answered++
	case !reply.Expired:
		r.lost = append(r.lost, lostRequest{id, after})
	}
	return !reply.Closes
}

// sendOnNew sends a request on a connection of its own.
func (r *lossRecorder) sendOnNew(ctx context.Context, id string) {
	c, err := standin.Dial(ctx, r.entry.address)
	if err != nil {
		return
	}
	defer c.Close()
	r.send(c, id)
}

// sendOnKept sends requests on a connection until the entry closes it, and then on the next one.
func (r *lossRecorder) sendOnKept(ctx context.Context, caller int) {
	for n := 0; ctx.Err() == nil; {
		c, err := standin.Dial(ctx, r.entry.address)
		if err != nil {
			time.Sleep(stopRequestInterval)
			continue
		}
		for open := true; open && ctx.Err() == nil && !c.IsClosed(); n++ {
			open = r.send(c, fmt.Sprintf("kept-%d-%d", caller, n))
			time.Sleep(time.Duration(20+(37*caller+53*n)%400) * time.Millisecond)
		}
		c.Close()
	}
}

// starve lets a process run for a time, stops it for another one, and so on until the context ends.
func starve(ctx context.Context, p *os.Process, runs, stops time.Duration) {
	for ctx.Err() == nil {
		// A process that has ended gets no signal.
		_ = p.Signal(syscall.SIGSTOP)
		time.Sleep(stops)
		_ = p.Signal(syscall.SIGCONT)
		time.Sleep(runs)
	}
}

// changeAll writes route tables and has the settings read again until the context ends.
func (e *stoppingEntry) changeAll(ctx context.Context) {
	for version := firstTable + 1; ctx.Err() == nil; version++ {
		e.putTable(version)
		// A process that has ended gets no signal.
		_ = e.daemon.Process.Signal(syscall.SIGHUP)
		time.Sleep(changeInterval)
	}
}

// starvation is how an entry is starved: it runs for a time and is stopped for another one, in turn, from a time on.
type starvation struct {
	name              string
	runs, stops, from time.Duration
	// changes adds changes of route tables and settings.
	changes bool
}

// stopStarved stops an entry while it is starved and gets requests, on which its service works for a time.
func stopStarved(t *testing.T, host int, work time.Duration, e starvation) (*lossRecorder, syscall.WaitStatus) {
	t.Helper()
	r := &lossRecorder{entry: startStoppingEntry(t, host, work)}
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for n := range keptConnections {
		callers.Go(func() { r.sendOnKept(ctx, n) })
	}
	callers.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			callers.Go(func() { r.sendOnNew(ctx, fmt.Sprintf("new-%d", n)) })
			time.Sleep(10 * time.Millisecond)
		}
	})
	if e.changes {
		go r.entry.changeAll(ctx)
	}
	time.Sleep(500*time.Millisecond + e.from)
	if e.stops > 0 {
		go starve(ctx, r.entry.daemon.Process, e.runs, e.stops)
	}
	time.Sleep(200*time.Millisecond - e.from/2)
	status := r.entry.stop(t, []stopEvent{{0, syscall.SIGTERM}})
	cancel()
	callers.Wait()
	return r, status
}

// Guards against requests that a stopping entry drops, unread or unanswered, because it got no processor time while they
// waited, also while route tables and settings change.
func TestStarvedEntryAnswersRequestsThatWaited(t *testing.T) {
	for i, e := range []starvation{
		{"not starved", 0, 0, 0, false},
		{"not starved, with changes", 0, 0, 0, true},
		{"300 ms", 40 * time.Millisecond, 300 * time.Millisecond, 0, false},
		{"300 ms, later, with changes", 40 * time.Millisecond, 300 * time.Millisecond, 110 * time.Millisecond, true},
		{"600 ms", 30 * time.Millisecond, 600 * time.Millisecond, 0, false},
		{"600 ms, later", 30 * time.Millisecond, 600 * time.Millisecond, 320 * time.Millisecond, false},
	} {
		t.Run(e.name, func(t *testing.T) {
			t.Parallel()
			r, status := stopStarved(t, firstStarvedHost+2*i, shortWork, e)
			must.True(t, status.Exited(), must.Sprintf("%v", status.Signal()))
			must.GreaterEq(t, leastAnswered, r.answered)
			for _, l := range r.lost {
				t.Logf("%s ended without an answer after %v", l.id, l.after)
				must.False(t, r.entry.arrived[l.id], must.Sprint(l.id, " reached the service"))
				must.LessEq(t, lossSlack, l.after, must.Sprint(l.id))
			}
		})
	}
}

// Guards against requests without an answer as an entry that got no processor time is killed before it has cut them.
func TestStarvedEntryCutsRequestsBeforeItIsKilled(t *testing.T) {
	for i, e := range []starvation{
		{"300 ms", 40 * time.Millisecond, 300 * time.Millisecond, 0, false},
		{"600 ms", 30 * time.Millisecond, 600 * time.Millisecond, 0, false},
		{"600 ms, later", 30 * time.Millisecond, 600 * time.Millisecond, 320 * time.Millisecond, false},
		{"90 ms", 10 * time.Millisecond, 90 * time.Millisecond, 0, false},
	} {
		t.Run(e.name, func(t *testing.T) {
			t.Parallel()
			r, status := stopStarved(t, firstCutHost+2*i, slowWork, e)
			lost := 0
			for _, l := range r.lost {
				if r.entry.arrived[l.id] {
					lost++
				}
			}
			t.Logf("%v, %d answered, %d lost at the service", status, r.answered, lost)
			must.Zero(t, lost)
			must.True(t, status.Exited(), must.Sprintf("%v", status.Signal()))
		})
	}
}
