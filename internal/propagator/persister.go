package propagator

import (
	"context"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/localizer"
)

const (
	// writePause is between two writes. The watch of the store takes a moment to show the first one.
	writePause = 500 * time.Millisecond
	// writeTimeout bounds a write.
	writeTimeout = 2 * time.Second
)

// persister brings the store in step with the localizer, one write at a time.
type persister struct {
	store Store
	clock clock.Clock
	entry string

	writing   bool
	nextWrite time.Time
	results   chan written
	// staleSince is since when the store has an older state of a part.
	staleSince map[string]time.Time
}

// written is how a write ended.
type written struct {
	part string
	err  error
}

// persist writes one state that the store lacks. The entry that decided writes at once, others only after
// the takeover, as the one that decided may be gone.
func (s *persister) persist(ctx context.Context, known []localizer.Blame, stored map[string]localizer.Blame) {
	if len(known) == 0 && len(stored) == 0 {
		return
	}
	if s.staleSince == nil {
		s.staleSince = map[string]time.Time{}
	}
	now, found := s.clock.Now(), map[string]bool{}
	for _, b := range known {
		found[b.Part] = true
		if persisted(&b, stored) {
			delete(s.staleSince, b.Part)
			continue
		}
		if _, ok := s.staleSince[b.Part]; !ok {
			s.staleSince[b.Part] = now
		}
		if b.Entry == s.entry || now.Sub(s.staleSince[b.Part]) > takeover {
			s.write(ctx, b.Part, func(ctx context.Context) error { return s.store.PutBlame(ctx, b) })
		}
	}
	for part, b := range stored {
		if !found[part] && b.Lifted {
			s.write(ctx, part, func(ctx context.Context) error { return s.store.DropBlame(ctx, part) })
		}
	}
	for part := range s.staleSince {
		if !found[part] {
			delete(s.staleSince, part)
		}
	}
}

// persisted tells whether the store has a blame's state. One that was lifted need not be there.
func persisted(b *localizer.Blame, stored map[string]localizer.Blame) bool {
	have, ok := stored[b.Part]
	if !ok {
		return b.Lifted
	}
	return !b.Supersedes(&have)
}

func (s *persister) write(ctx context.Context, part string, write func(context.Context) error) {
	if s.writing || s.clock.Now().Before(s.nextWrite) {
		return
	}
	s.writing = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		w := written{part: part, err: write(ctx)}
		select {
		case s.results <- w:
		case <-ctx.Done():
		}
	}()
}

func (s *persister) finish(w written) {
	s.writing = false
	s.nextWrite = s.clock.Now().Add(writePause)
	if w.err != nil {
		klog.V(1).InfoS("Blame not persisted", "part", w.part, "err", w.err)
	}
}
