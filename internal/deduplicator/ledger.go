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
	// entryBytes is what an entry takes besides its reply; BenchmarkLedgerMemory
	// measures it.
	entryBytes = 200
)

// Ledger is the memory of one agent incarnation of the calls it was asked to
// run. Set the exported fields before the first call; all methods may be called
// concurrently.
type Ledger struct {
	Clock clock.PassiveClock
	// Owner and Incarnation are those of the agent: other keys are never run.
	Owner, Incarnation string
	// MaxEntries and MaxBytes bound the memory; 0 means 50,000 and 16 MiB.
	MaxEntries, MaxBytes int
	// Retain is how long an ended call is kept when memory allows; 0 means an hour.
	Retain time.Duration
	// MaxAhead is how far a key's time of issue may lie ahead of Clock; 0 means a
	// minute.
	MaxAhead time.Duration

	mu      sync.Mutex
	begun   bool
	entries map[name]*entry
	ended   endedHeap
	bytes   int
	// horizon is the latest time of issue of all keys that were forgotten.
	horizon time.Time
}

// entry is what is known of one key.
type entry struct {
	name    name
	issued  time.Time
	verdict Verdict
	endedAt time.Time
	bytes   int
	// done is made by the first that waits, and closed when the call has ended.
	done chan struct{}
}

func (l *Ledger) begin() {
	if l.begun {
		return
	}
	l.begun = true
	l.entries = map[name]*entry{}
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

// Begin asks to run the call of key k. Only the verdict Run permits it.
func (l *Ledger) Begin(k Key) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin()
	v := l.look(k)
	if _, ok := v.(Unseen); !ok {
		return v
	}
	return l.start(k)
}

// Lookup says what became of k and starts nothing.
func (l *Ledger) Lookup(k Key) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin()
	return l.look(k)
}

// look gives the verdict on k as things are.
func (l *Ledger) look(k Key) Verdict {
	if k.Owner != l.Owner || k.Incarnation != l.Incarnation {
		return Unknown{Reason: OtherIncarnation}
	}
	if e, ok := l.entries[nameOf(k)]; ok {
		return e.verdict
	}
	// A forgotten key would look like one never seen, and its call would run a
	// second time: the customer finds two bookings. No forgotten key was issued
	// after the horizon, so what is past it has truly not been seen.
	if !k.Issued.After(l.horizon) {
		return Unknown{Reason: Forgotten}
	}
	// Forgetting a key from far ahead would move the horizon there, and every
	// call until then would be answered with Unknown.
	if k.Issued.After(l.Clock.Now().Add(l.MaxAhead)) {
		return Unknown{Reason: FromFuture}
	}
	return Unseen{}
}

// start notes that k runs, if there is room to remember it.
func (l *Ledger) start(k Key) Verdict {
	if !l.room(len(l.entries) + 1) {
		return Unknown{Reason: Overrun}
	}
	e := &entry{name: nameOf(k), issued: k.Issued.Round(0), verdict: Running{}, bytes: entryBytes}
	l.entries[e.name] = e
	l.bytes += e.bytes
	return Run{}
}

// Finish keeps the reply of a call that Begin let run.
func (l *Ledger) Finish(k Key, r Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin()
	if r.size() > l.MaxBytes/2 {
		l.end(k, Unknown{Reason: NotKept}, 0)
		return
	}
	l.end(k, Replay{Reply: r}, r.size())
}

// Abandon ends a run in doubt: whether it took effect is not known.
func (l *Ledger) Abandon(k Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin()
	l.end(k, Unknown{Reason: InDoubt}, 0)
}

// Refuse ends a call that Begin let run but that certainly never reached the
// service. Its key stays closed: a late duplicate must not run after the caller
// was told "not run" and went on with a new key.
func (l *Ledger) Refuse(k Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin()
	l.end(k, Refused{}, 0)
}

// Close makes "not run" final for a key that has not been seen, and otherwise
// only looks. A caller who gave up may ask so before it books anew.
func (l *Ledger) Close(k Key) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin()
	v := l.look(k)
	if _, ok := v.(Unseen); !ok {
		return v
	}
	if _, ok := l.start(k).(Run); !ok {
		return Unknown{Reason: Overrun}
	}
	l.end(k, Refused{}, 0)
	return Refused{}
}

// end gives a running entry its last verdict.
func (l *Ledger) end(k Key, v Verdict, bytes int) {
	e, ok := l.entries[nameOf(k)]
	if !ok {
		return
	}
	if _, ok := e.verdict.(Running); !ok {
		return
	}
	e.verdict = v
	e.endedAt = l.Clock.Now()
	e.bytes += bytes
	l.bytes += bytes
	if e.done != nil {
		close(e.done)
	}
	heap.Push(&l.ended, e)
	l.room(len(l.entries))
}

// room forgets ended calls, those issued first, until the given number of
// entries and the bytes are within bounds, and those kept long enough.
func (l *Ledger) room(entries int) bool {
	extra := entries - len(l.entries)
	for len(l.ended) > 0 {
		over := len(l.entries)+extra > l.MaxEntries || l.bytes > l.MaxBytes
		old := l.Clock.Since(l.ended[0].endedAt) >= l.Retain
		if !over && !old {
			break
		}
		l.forget(heap.Pop(&l.ended).(*entry))
	}
	return len(l.entries)+extra <= l.MaxEntries
}

func (l *Ledger) forget(e *entry) {
	delete(l.entries, e.name)
	l.bytes -= e.bytes
	if e.issued.After(l.horizon) {
		l.horizon = e.issued
	}
}

// Wait gives the verdict on k once it does not run any more.
func (l *Ledger) Wait(ctx context.Context, k Key) (Verdict, error) {
	e, done := l.waiting(k)
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
	return e.verdict, nil
}

// waiting gives the entry of a call that runs and the channel that is closed
// when it ends; nil when it does not run.
func (l *Ledger) waiting(k Key) (*entry, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin()
	e, ok := l.entries[nameOf(k)]
	if !ok {
		return nil, nil
	}
	if _, ok := e.verdict.(Running); !ok {
		return nil, nil
	}
	if e.done == nil {
		e.done = make(chan struct{})
	}
	return e, e.done
}

// Stats gives the number of keys kept and the bytes they are counted at.
func (l *Ledger) Stats() (entries, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries), l.bytes
}
