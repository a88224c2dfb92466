package informer

import (
	"context"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/localizer"
)

const (
	// putPause is between two attempts to write to a store that did not take the first one.
	putPause = 500 * time.Millisecond
	// putTimeout bounds an attempt.
	putTimeout = 2 * time.Second
)

// keeper has the store hold what the localizer knows, one write at a time.
type keeper struct {
	store Store
	clock clock.Clock
	entry string

	busy    bool
	from    time.Time
	results chan kept
	// differs is since when the store has something else on a part.
	differs map[string]time.Time
}

// kept is how a write ended.
type kept struct {
	part string
	err  error
}

// keep writes the first part on which the store has something else. Who decided writes at once, the others
// only if the store still lacks it after a while: the one that decided may be gone.
func (k *keeper) keep(ctx context.Context, known []localizer.Blame, stored map[string]localizer.Blame) {
	if len(known) == 0 && len(stored) == 0 {
		return
	}
	now := k.clock.Now()
	if k.differs == nil {
		k.differs = map[string]time.Time{}
	}
	found := map[string]bool{}
	for _, b := range known {
		found[b.Part] = true
		s, ok := stored[b.Part]
		if ok && s.Epoch == b.Epoch && s.Lifted == b.Lifted && s.Trials >= b.Trials || b.Lifted && !ok {
			delete(k.differs, b.Part)
			continue
		}
		since, ok := k.differs[b.Part]
		if !ok {
			since = now
			k.differs[b.Part] = now
		}
		if b.Entry == k.entry || now.Sub(since) > othersWrite {
			k.write(ctx, b.Part, func(ctx context.Context) error { return k.store.PutBlame(ctx, b) })
		}
	}
	for part, s := range stored {
		// Nobody knows it any more but the store.
		if !found[part] && s.Lifted {
			k.write(ctx, part, func(ctx context.Context) error { return k.store.DropBlame(ctx, part) })
		}
	}
	for part := range k.differs {
		if !found[part] {
			delete(k.differs, part)
		}
	}
}

func (k *keeper) write(ctx context.Context, part string, write func(context.Context) error) {
	if k.busy || k.clock.Now().Before(k.from) {
		return
	}
	k.busy = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, putTimeout)
		defer cancel()
		r := kept{part: part, err: write(ctx)}
		select {
		case k.results <- r:
		case <-ctx.Done():
		}
	}()
}

func (k *keeper) note(r kept) {
	k.busy = false
	// The store's own news of a write take a moment too.
	k.from = k.clock.Now().Add(putPause)
	if r.err != nil {
		klog.V(1).InfoS("Blame not kept in the store", "part", r.part, "err", r.err)
	}
}
