package loader

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/planner"
)

// admit gives a set its room in memory before the first chunk is asked for. An
// agent that only counted what has arrived would admit two versions that don't
// fit together, and be killed for its memory in the middle of both.
func (l *Loader) admit(s *set, now time.Time) bool {
	if s.manifest.Size > l.Memory {
		l.refuse(s)
		return false
	}
	for l.used+l.lacking(s) > l.Memory {
		victim := l.victim(s)
		if victim == nil {
			l.refuse(s)
			return false
		}
		l.evict(victim)
	}
	s.refused = false
	have := planner.NewBitmap(len(s.manifest.Chunks))
	for i, d := range s.manifest.Chunks {
		c := l.chunks[d]
		if c == nil {
			c = &chunk{size: s.manifest.ChunkBytes(i)}
			l.chunks[d] = c
			l.used += c.size
		}
		if s.places[d][0] == i {
			c.refs++
		}
		if c.data != nil {
			have.Set(i)
		}
	}
	s.transfer = l.newTransfer(s, now)
	s.transfer.Start(now, have)
	s.learn(l.ID, l.Region, l.holders, l.reportedAt)
	for f := range l.cancels {
		if other := l.sets[f.manifest]; other != nil {
			l.share(other, f.order.Chunk, (*planner.Transfer).Exclude)
		}
	}
	klog.V(1).InfoS("Weights admitted", "agent", l.ID, "manifest", s.digest, "bytes", s.manifest.Size, "usedBytes", l.used)
	l.announce()
	return true
}

func (l *Loader) refuse(s *set) {
	if s.refused {
		return
	}
	klog.ErrorS(nil, "No room for weights", "agent", l.ID, "manifest", s.digest, "bytes", s.manifest.Size,
		"usedBytes", l.used, "memoryBytes", l.Memory)
	s.refused = true
	l.announce()
}

// lacking is the room in bytes that a set needs beyond what others hold already.
func (l *Loader) lacking(s *set) int64 {
	var n int64
	for d, at := range s.places {
		if l.chunks[d] == nil {
			n += s.manifest.ChunkBytes(at[0])
		}
	}
	return n
}

// victim picks the set to evict for s: of those no longer wanted the one wanted
// longest ago, else the least important one less important than s. What the
// engine holds is never picked.
func (l *Loader) victim(s *set) *set {
	var oldest *set
	for _, v := range l.sets {
		if v.transfer == nil || v == s || l.keep[v.digest] || slices.Contains(l.want, v.digest) {
			continue
		}
		if oldest == nil || v.since.Before(oldest.since) {
			oldest = v
		}
	}
	if oldest != nil {
		return oldest
	}
	for _, m := range slices.Backward(l.want) {
		v := l.sets[m]
		if v == s {
			return nil
		}
		if v != nil && v.transfer != nil && !l.keep[m] {
			return v
		}
	}
	return nil
}

// evict gives up the room of a set. Its manifest stays while it is wanted.
func (l *Loader) evict(s *set) {
	klog.V(1).InfoS("Weights evicted", "agent", l.ID, "manifest", s.digest)
	l.stop(s)
	s.transfer = nil
	for d := range s.places {
		c := l.chunks[d]
		c.refs--
		if c.refs == 0 {
			l.used -= c.size
			delete(l.chunks, d)
		}
	}
	if !slices.Contains(l.want, s.digest) {
		delete(l.sets, s.digest)
	}
	l.announce()
}
