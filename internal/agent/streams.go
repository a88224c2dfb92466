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
	// cancelTimeout bounds the word to an engine that a stream is not wanted.
	cancelTimeout = time.Second
	// holdStream is how long a stream whose entry vanished goes on, so that its
	// caller can read on through another entry.
	holdStream = 6 * time.Second
)

// streams are those that the engine runs for this agent. When an entry dies, its
// caller may still want the rest of a reply; were the engine told to stop at
// once, that caller would be left with half an answer. So the stream goes on for
// a while, and keeps its place at the gate since the engine is busy with it.
type streams struct {
	agent *Agent

	mu   sync.Mutex
	byID map[string]*running
}

// running is one stream at the engine, read by at most one relay.
type running struct {
	id     string
	ticket *admitter.Ticket
	began  time.Time
	// stop ends the relay that reads it; nil while nobody does.
	stop context.CancelFunc
	// timer ends the stream when nobody came to read on.
	timer clock.Timer
	// unwanted is set once an entry said that the caller left.
	unwanted bool
}

func newStreams(a *Agent) *streams {
	return &streams{agent: a, byID: map[string]*running{}}
}

// add notes a stream that has passed the gate.
func (s *streams) add(id string, t *admitter.Ticket, stop context.CancelFunc) *running {
	r := &running{id: id, ticket: t, began: s.agent.Clock.Now(), stop: stop}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[id] = r
	return r
}

// take hands a stream on to a relay that resumes it, with its place at the gate.
// A relay that still reads it is stopped: its entry is cut off or frozen.
func (s *streams) take(id string, stop context.CancelFunc) (*running, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.byID[id]
	if old == nil || old.unwanted {
		return nil, false
	}
	if old.timer != nil {
		old.timer.Stop()
	}
	if old.stop != nil {
		old.stop()
	}
	r := &running{id: id, ticket: old.ticket, began: old.began, stop: stop}
	s.byID[id] = r
	return r, true
}

// end notes that a relay is done with its stream. A relay whose stream was taken
// over has no say in it any more.
func (s *streams) end(r *running, o admitter.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[r.id] != r {
		return
	}
	delete(s.byID, r.id)
	r.ticket.Done(admitter.Result{Outcome: o, Latency: s.agent.Clock.Since(r.began)})
}

// abandon notes that the entry is gone: the stream is held for a while, or ended
// at once when nobody wants it.
func (s *streams) abandon(r *running) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[r.id] != r {
		return
	}
	r.stop = nil
	wait := holdStream
	if r.unwanted {
		wait = 0
	}
	r.timer = s.agent.Clock.AfterFunc(wait, func() { s.expire(r) })
}

// expire tells the engine to stop what nobody reads: it would go on generating,
// beyond what the gate counts.
func (s *streams) expire(r *running) {
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
	s.end(r, admitter.Cancelled)
}

// cancel is an entry's word that the caller left.
func (s *streams) cancel(id string) {
	s.mu.Lock()
	r := s.byID[id]
	if r == nil {
		s.mu.Unlock()
		return
	}
	r.unwanted = true
	held := r.timer != nil && r.timer.Stop()
	if r.stop != nil {
		r.stop()
	}
	s.mu.Unlock()
	if held {
		s.expire(r)
	}
}
