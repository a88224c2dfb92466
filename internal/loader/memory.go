package loader

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/planner"
)

// admit reserves memory for a set before its first chunk is requested. An agent that counted only
// the arrived chunks would admit two versions that don't fit together, and be killed for its memory
// use while it fetches both.
func (l *Loader) admit(s *weightSet, now time.Time) bool {
	if s.manifest.Size > l.Memory {
		l.markRefused(s)
		return false
	}
	for l.used+l.missingBytes(s) > l.Memory {
		victim := l.evictionCandidate(s)
		if victim == nil {
			l.markRefused(s)
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
		if s.chunkIndexes[d][0] == i {
			c.refs++
		}
		if c.data != nil {
			have.Set(i)
		}
	}
	s.transfer = l.newTransfer(s, now)
	s.transfer.Start(now, have)
	s.updatePeers(l.ID, l.Region, l.holders, l.holdersUpdatedAt)
	for f := range l.cancels {
		if other := l.sets[f.manifest]; other != nil {
			l.updateSharing(other, f.order.Chunk, (*planner.Transfer).Exclude)
		}
	}
	klog.V(1).InfoS("Weights admitted", "agent", l.ID, "manifest", s.digest, "bytes", s.manifest.Size, "usedBytes", l.used)
	l.notifyChanged()
	return true
}

func (l *Loader) markRefused(s *weightSet) {
	if s.refused {
		return
	}
	klog.ErrorS(nil, "Not enough memory for weights", "agent", l.ID, "manifest", s.digest, "bytes", s.manifest.Size,
		"usedBytes", l.used, "memoryBytes", l.Memory)
	s.refused = true
	l.notifyChanged()
}

// missingBytes is the memory in bytes that a set needs beyond the chunks it shares with others.
func (l *Loader) missingBytes(s *weightSet) int64 {
	var n int64
	for d, indexes := range s.chunkIndexes {
		if l.chunks[d] == nil {
			n += s.manifest.ChunkBytes(indexes[0])
		}
	}
	return n
}

// evictionCandidate selects the set to evict for s: of those not wanted any more the one first
// wanted the longest ago, else the least important one less important than s. What the engine holds
// is never selected.
func (l *Loader) evictionCandidate(s *weightSet) *weightSet {
	var oldest *weightSet
	for _, v := range l.sets {
		if v.transfer == nil || v == s || l.kept[v.digest] || slices.Contains(l.wanted, v.digest) {
			continue
		}
		if oldest == nil || v.wantedSince.Before(oldest.wantedSince) {
			oldest = v
		}
	}
	if oldest != nil {
		return oldest
	}
	for _, m := range slices.Backward(l.wanted) {
		v := l.sets[m]
		if v == s {
			return nil
		}
		if v != nil && v.transfer != nil && !l.kept[m] {
			return v
		}
	}
	return nil
}

// evict frees the memory of a set. Its manifest stays while it is wanted.
func (l *Loader) evict(s *weightSet) {
	klog.V(1).InfoS("Weights evicted", "agent", l.ID, "manifest", s.digest)
	l.stopFetches(s)
	s.transfer = nil
	for d := range s.chunkIndexes {
		c := l.chunks[d]
		c.refs--
		if c.refs == 0 {
			l.used -= c.size
			delete(l.chunks, d)
		}
	}
	if !slices.Contains(l.wanted, s.digest) {
		delete(l.sets, s.digest)
	}
	l.notifyChanged()
}
