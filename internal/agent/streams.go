package agent

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/admitter"
	"github.com/oriolecroft/oriolecroft/internal/driver"
)

const (
	// cancelTimeout bounds the request to an engine to cancel a stream.
	cancelTimeout = time.Second
	// streamHoldTime is how long a stream whose entry disconnected goes on, so that its
	// caller can resume it through another entry.
	streamHoldTime = 6 * time.Second
)

// streams holds the streams that the engine runs for this agent. When an entry dies,
// its caller may still need the rest of a reply, which an engine that stopped at once
// would not complete. So the stream goes on for a while, and keeps its slot at the
// gate since the engine is busy with it.
type streams struct {
	agent *Agent

	mu   sync.Mutex
	byID map[string]*runningStream
}

// runningStream is one stream at the engine, read by at most one relay.
type runningStream struct {
	id        string
	ticket    *admitter.Ticket
	startedAt time.Time
	// stopRelay ends the relay that reads the stream; nil without one.
	stopRelay context.CancelFunc
	// holdTimer ends the stream unless a relay resumes it.
	holdTimer clock.Timer
	// callerLeft is set once an entry reported that the caller left.
	callerLeft bool
}

func newStreams(a *Agent) *streams {
	return &streams{agent: a, byID: map[string]*runningStream{}}
}

// add registers a stream that has passed the gate.
func (s *streams) add(id string, t *admitter.Ticket, stop context.CancelFunc) *runningStream {
	r := &runningStream{id: id, ticket: t, startedAt: s.agent.Clock.Now(), stopRelay: stop}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[id] = r
	return r
}

// takeOver hands a stream, with its slot at the gate, to a relay that resumes it. A
// relay that still reads it is stopped: its entry is partitioned or suspended.
func (s *streams) takeOver(id string, stop context.CancelFunc) (*runningStream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.byID[id]
	if old == nil || old.callerLeft {
		return nil, false
	}
	if old.holdTimer != nil {
		old.holdTimer.Stop()
	}
	if old.stopRelay != nil {
		old.stopRelay()
	}
	r := &runningStream{id: id, ticket: old.ticket, startedAt: old.startedAt, stopRelay: stop}
	s.byID[id] = r
	return r, true
}

// finish removes a stream that its relay has ended, unless another relay has taken
// the stream over.
func (s *streams) finish(r *runningStream, o admitter.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[r.id] != r {
		return
	}
	delete(s.byID, r.id)
	r.ticket.Done(admitter.Result{Outcome: o, Latency: s.agent.Clock.Since(r.startedAt)})
}

// abandon handles the loss of the entry: the stream is held for a while, or ended
// at once when its caller left.
func (s *streams) abandon(r *runningStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[r.id] != r {
		return
	}
	r.stopRelay = nil
	holdTime := streamHoldTime
	if r.callerLeft {
		holdTime = 0
	}
	r.holdTimer = s.agent.Clock.AfterFunc(holdTime, func() { s.expire(r) })
}

// expire cancels an unread stream at the engine, which would go on generating beyond
// what the gate counts.
func (s *streams) expire(r *runningStream) {
	s.mu.Lock()
	current := s.byID[r.id] == r
	s.mu.Unlock()
	if !current {
		return
	}
	e, ok := s.agent.Upstream.(*driver.Engine)
	if ok {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := e.Cancel(ctx, r.id); err != nil {
			klog.V(1).InfoS("Cancel failed", "stream", r.id, "err", err)
		}
	}
	s.finish(r, admitter.Cancelled)
}

// cancel ends a stream whose caller left.
func (s *streams) cancel(id string) {
	s.mu.Lock()
	r := s.byID[id]
	if r == nil {
		s.mu.Unlock()
		return
	}
	r.callerLeft = true
	wasHeld := r.holdTimer != nil && r.holdTimer.Stop()
	if r.stopRelay != nil {
		r.stopRelay()
	}
	s.mu.Unlock()
	if wasHeld {
		s.expire(r)
	}
}
