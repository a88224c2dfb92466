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
	defaultMaxEntries = 10_000
	defaultMaxBytes   = 8 << 20
	defaultRetain     = time.Hour
	defaultMaxAhead   = time.Minute
	// entryBytes is what an entry takes besides its key's text and its reply.
	entryBytes = 256
)

// Ledger is the memory of one agent incarnation of the calls it was asked to
// run. Set the exported fields before the first call; all methods may be called
// concurrently.
type Ledger struct {
	Clock clock.PassiveClock
	// Owner and Incarnation are those of the agent: other keys are never run.
	Owner, Incarnation string
	// MaxEntries and MaxBytes bound the memory; 0 means 10,000 and 8 MiB.
	MaxEntries, MaxBytes int
	// Retain is how long an ended call is kept when memory allows; 0 means an hour.
	Retain time.Duration
	// MaxAhead is how far a key's time of issue may lie ahead of Clock; 0 means a
	// minute.
	MaxAhead time.Duration

	mu      sync.Mutex
	begun   bool
	entries map[Key]*entry
	ended   endedHeap
	bytes   int
	// horizon is the latest time of issue of all keys that were forgotten.
	horizon time.Time
}

// entry is what is known of one key.
type entry struct {
	key     Key
	verdict Verdict
	endedAt time.Time
	bytes   int
	done    chan struct{}
}

func (l *Ledger) begin() {
	if l.begun {
		return
	}
	l.begun = true
	l.entries = map[Key]*entry{}
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

// identity makes equal keys equal as map keys, whatever zone or monotonic
// reading their times carry.
func identity(k Key) Key {
	k.Issued = k.Issued.UTC().Round(0)
	return k
}

// Begin asks to run the call of key k. Only the verdict Run permits it.
func (l *Ledger) Begin(k Key) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin()
	k = identity(k)
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
	return l.look(identity(k))
}

// look gives the verdict on k as things are.
func (l *Ledger) look(k Key) Verdict {
	if k.Owner != l.Owner || k.Incarnation != l.Incarnation {
		return Unknown{Reason: OtherIncarnation}
	}
	if e, ok := l.entries[k]; ok {
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
	// Making room may have moved the horizon past k itself.
	if !k.Issued.After(l.horizon) {
		return Unknown{Reason: Forgotten}
	}
	e := &entry{key: k, verdict: Running{}, bytes: entryBytes + k.size(), done: make(chan struct{})}
	l.entries[k] = e
	l.bytes += e.bytes
	return Run{}
}

// Finish keeps the reply of a call that Begin let run.
func (l *Ledger) Finish(k Key, r Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin()
	if r.size() > l.MaxBytes/2 {
		l.end(identity(k), Unknown{Reason: NotKept}, 0)
		return
	}
	l.end(identity(k), Replay{Reply: r}, r.size())
}

// Abandon ends a run in doubt: whether it took effect is not known.
func (l *Ledger) Abandon(k Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin()
	l.end(identity(k), Unknown{Reason: InDoubt}, 0)
}

// Refuse ends a call that Begin let run but that certainly never reached the
// service. Its key stays closed: a late duplicate must not run after the caller
// was told "not run" and went on with a new key.
func (l *Ledger) Refuse(k Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin()
	l.end(identity(k), Refused{}, 0)
}

// Close makes "not run" final for a key that has not been seen, and otherwise
// only looks. A caller who gave up may ask so before it books anew.
func (l *Ledger) Close(k Key) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin()
	k = identity(k)
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
	e, ok := l.entries[k]
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
	close(e.done)
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
	delete(l.entries, e.key)
	l.bytes -= e.bytes
	if e.key.Issued.After(l.horizon) {
		l.horizon = e.key.Issued
	}
}

// Wait gives the verdict on k once it does not run any more.
func (l *Ledger) Wait(ctx context.Context, k Key) (Verdict, error) {
	k = identity(k)
	l.mu.Lock()
	l.begin()
	e, ok := l.entries[k]
	l.mu.Unlock()
	if !ok {
		return l.Lookup(k), nil
	}
	select {
	case <-e.done:
		l.mu.Lock()
		defer l.mu.Unlock()
		return e.verdict, nil
	case <-ctx.Done():
		return Running{}, ctx.Err()
	}
}

// Stats gives the number of keys kept and the bytes they are counted at.
func (l *Ledger) Stats() (entries, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries), l.bytes
}

// size is the memory of the key's texts in bytes.
func (k Key) size() int {
	return len(k.Workspace) + len(k.Service) + len(k.Owner) + len(k.Incarnation) + len(k.Nonce)
}

// endedHeap has the ended call with the earliest time of issue first.
type endedHeap []*entry

func (h endedHeap) Len() int           { return len(h) }
func (h endedHeap) Less(i, j int) bool { return h[i].key.Issued.Before(h[j].key.Issued) }
func (h endedHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *endedHeap) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop is part of heap.Interface.
func (h *endedHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	*h = old[:last]
	return e
}
