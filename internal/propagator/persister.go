package propagator

import (
	"context"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/localizer"
)

const (
	// writePause is the pause between two writes, in which the watch of the store can show the first one.
	writePause = 500 * time.Millisecond
	// writeTimeout bounds one write to the store.
	writeTimeout = 2 * time.Second
)

// persister writes the localizer's state to the store, one write at a time.
type persister struct {
	store Store
	clock clock.Clock
	entry string

	writing   bool
	nextWrite time.Time
	results   chan writeResult
	// staleSince holds the time since which the store has an older state of a part.
	staleSince map[string]time.Time
}

// writeResult is the result of a write.
type writeResult struct {
	part string
	err  error
}

// persist writes one state that the store lacks. The entry that decided writes at once, others only after
// takeoverDelay in case that entry is down.
func (s *persister) persist(ctx context.Context, known []localizer.Blame, stored map[string]localizer.Blame) {
	if len(known) == 0 && len(stored) == 0 {
		return
	}
	if s.staleSince == nil {
		s.staleSince = map[string]time.Time{}
	}
	now, knownParts := s.clock.Now(), map[string]bool{}
	for _, b := range known {
		knownParts[b.Part] = true
		if isPersisted(&b, stored) {
			delete(s.staleSince, b.Part)
			continue
		}
		if _, ok := s.staleSince[b.Part]; !ok {
			s.staleSince[b.Part] = now
		}
		if b.Entry == s.entry || now.Sub(s.staleSince[b.Part]) > takeoverDelay {
			s.write(ctx, b.Part, func(ctx context.Context) error { return s.store.PutBlame(ctx, b) })
		}
	}
	for part, b := range stored {
		if !knownParts[part] && b.Lifted {
			s.write(ctx, part, func(ctx context.Context) error { return s.store.DropBlame(ctx, part) })
		}
	}
	for part := range s.staleSince {
		if !knownParts[part] {
			delete(s.staleSince, part)
		}
	}
}

// isPersisted reports whether the store has a blame's state. A lifted blame need not be stored.
func isPersisted(b *localizer.Blame, stored map[string]localizer.Blame) bool {
	existing, ok := stored[b.Part]
	if !ok {
		return b.Lifted
	}
	return !b.Supersedes(&existing)
}

func (s *persister) write(ctx context.Context, part string, write func(context.Context) error) {
	if s.writing || s.clock.Now().Before(s.nextWrite) {
		return
	}
	s.writing = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		w := writeResult{part: part, err: write(ctx)}
		select {
		case s.results <- w:
		case <-ctx.Done():
		}
	}()
}

func (s *persister) finish(w writeResult) {
	s.writing = false
	s.nextWrite = s.clock.Now().Add(writePause)
	if w.err != nil {
		klog.V(1).InfoS("Blame not persisted", "part", w.part, "err", w.err)
	}
}
