package deduplicator

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"k8s.io/utils/clock"
)

// Defaults for the fields of Ledger.
const (
	defaultMaxEntries = 50_000
	defaultMaxBytes   = 16 << 20
	defaultRetain     = time.Hour
	defaultMaxAhead   = time.Minute
	// entryBytes is the memory of an entry without its reply; BenchmarkLedgerMemory
	// measures it.
	entryBytes = 200
)

// Ledger records the calls that one agent incarnation was asked to
// run. Set the exported fields before the first call; all methods may be called
// concurrently.
type Ledger struct {
	Clock clock.PassiveClock
	// Owner and Incarnation are those of the agent: other keys are never run.
	Owner, Incarnation string
	// MaxEntries and MaxBytes bound the memory; 0 means 50,000 and 16 MiB.
	MaxEntries, MaxBytes int
	// Retain is how long an ended call is kept if memory allows; 0 means an hour.
	Retain time.Duration
	// MaxAhead is how far a key's time of issue may be ahead of Clock; 0 means a
	// minute.
	MaxAhead time.Duration

	mu          sync.Mutex
	initialized bool
	entries     map[keyDigest]*entry
	ended       endedHeap
	bytes       int
	// horizon is the latest time of issue of all evicted keys.
	horizon time.Time
}

// entry is the state of one key.
type entry struct {
	digest  keyDigest
	issued  time.Time
	outcome Outcome
	endedAt time.Time
	bytes   int
	// done is created by the first waiter and closed when the call has ended.
	done chan struct{}
}

func (l *Ledger) initialize() {
	if l.initialized {
		return
	}
	l.initialized = true
	l.entries = map[keyDigest]*entry{}
	if l.MaxEntries <= 0 {
		l.MaxEntries = defaultMaxEntries
	}
	if l.MaxBytes <= 0 {
		l.MaxBytes = defaultMaxBytes
	}
	if l.Retain <= 0 {
		l.Retain = defaultRetain
	}
	if l.MaxAhead <= 0 {
		l.MaxAhead = defaultMaxAhead
	}
}

// Begin requests to run the call of key k. Only the outcome Run permits it.
func (l *Ledger) Begin(k Key) Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	v := l.outcomeOf(k)
	if _, ok := v.(Unseen); !ok {
		return v
	}
	return l.addRunning(k)
}

// Lookup returns the outcome of k without starting it.
func (l *Ledger) Lookup(k Key) Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	return l.outcomeOf(k)
}

// outcomeOf returns the current outcome of k.
func (l *Ledger) outcomeOf(k Key) Outcome {
	if k.Owner != l.Owner || k.Incarnation != l.Incarnation {
		return Unknown{Reason: OtherIncarnation}
	}
	if e, ok := l.entries[digestKey(k)]; ok {
		return e.outcome
	}
	// An evicted key would look like one never seen, and its call would run a
	// second time: the customer would get two bookings. No evicted key was issued
	// after the horizon, so any key beyond it has never been seen.
	if !k.Issued.After(l.horizon) {
		return Unknown{Reason: Evicted}
	}
	// Evicting a key from far ahead would move the horizon there, and every
	// call until then would be answered with Unknown.
	if k.Issued.After(l.Clock.Now().Add(l.MaxAhead)) {
		return Unknown{Reason: FromFuture}
	}
	return Unseen{}
}

// addRunning records that k runs, if the ledger has space for it.
func (l *Ledger) addRunning(k Key) Outcome {
	if !l.evict(len(l.entries) + 1) {
		return Unknown{Reason: LedgerFull}
	}
	e := &entry{digest: digestKey(k), issued: k.Issued.Round(0), outcome: Running{}, bytes: entryBytes}
	l.entries[e.digest] = e
	l.bytes += e.bytes
	return Run{}
}

// Finish stores the reply of a call that Begin permitted.
func (l *Ledger) Finish(k Key, r Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	if r.size() > l.MaxBytes/2 {
		l.end(k, Unknown{Reason: ReplyNotKept}, 0)
		return
	}
	l.end(k, Replay{Reply: r}, r.size())
}

// Abandon ends a run in doubt: whether it took effect is not known.
func (l *Ledger) Abandon(k Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	l.end(k, Unknown{Reason: InDoubt}, 0)
}

// Refuse ends a call that Begin permitted but that certainly never reached the
// service. Its key stays closed: a late duplicate must not run after the caller
// has received "not run" and continued with a new key.
func (l *Ledger) Refuse(k Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	l.end(k, Refused{}, 0)
}

// Close makes "not run" final for a key that has not been seen, and otherwise only returns
// the outcome. A caller that gave up may close its key before it books with a new one.
func (l *Ledger) Close(k Key) Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	v := l.outcomeOf(k)
	if _, ok := v.(Unseen); !ok {
		return v
	}
	if _, ok := l.addRunning(k).(Run); !ok {
		return Unknown{Reason: LedgerFull}
	}
	l.end(k, Refused{}, 0)
	return Refused{}
}

// end sets the final outcome of a running entry.
func (l *Ledger) end(k Key, v Outcome, bytes int) {
	e, ok := l.entries[digestKey(k)]
	if !ok {
		return
	}
	if _, ok := e.outcome.(Running); !ok {
		return
	}
	e.outcome = v
	e.endedAt = l.Clock.Now()
	e.bytes += bytes
	l.bytes += bytes
	if e.done != nil {
		close(e.done)
	}
	heap.Push(&l.ended, e)
	l.evict(len(l.entries))
}

// evict removes ended calls, those issued first, while the given number of
// entries or the bytes exceed the limits, or the first has been kept for Retain.
func (l *Ledger) evict(entries int) bool {
	added := entries - len(l.entries)
	for len(l.ended) > 0 {
		over := len(l.entries)+added > l.MaxEntries || l.bytes > l.MaxBytes
		expired := l.Clock.Since(l.ended[0].endedAt) >= l.Retain
		if !over && !expired {
			break
		}
		l.evictEntry(heap.Pop(&l.ended).(*entry))
	}
	return len(l.entries)+added <= l.MaxEntries
}

func (l *Ledger) evictEntry(e *entry) {
	delete(l.entries, e.digest)
	l.bytes -= e.bytes
	if e.issued.After(l.horizon) {
		l.horizon = e.issued
	}
}

// Wait returns the outcome of k after its run has ended.
func (l *Ledger) Wait(ctx context.Context, k Key) (Outcome, error) {
	e, done := l.runningEntry(k)
	if e == nil {
		return l.Lookup(k), nil
	}
	select {
	case <-done:
	case <-ctx.Done():
		return Running{}, ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return e.outcome, nil
}

// runningEntry returns the entry of a running call and the channel that is closed
// when it ends; nil if it does not run.
func (l *Ledger) runningEntry(k Key) (*entry, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	e, ok := l.entries[digestKey(k)]
	if !ok {
		return nil, nil
	}
	if _, ok := e.outcome.(Running); !ok {
		return nil, nil
	}
	if e.done == nil {
		e.done = make(chan struct{})
	}
	return e, e.done
}

// Stats returns the number of keys and their estimated memory in bytes.
func (l *Ledger) Stats() (entries, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries), l.bytes
}
