package scheduler

import (
	"container/heap"
	"time"
)

// Ranking returns candidates one at a time, the most promising first.
type Ranking struct{ remaining candidateHeap }

// Next returns the index of the next candidate in the ranked list; false if none is left.
func (r *Ranking) Next() (int, bool) {
	if len(r.remaining) == 0 {
		return 0, false
	}
	first := r.remaining[0].index
	last := len(r.remaining) - 1
	r.remaining[0] = r.remaining[last]
	r.remaining = r.remaining[:last]
	if last > 0 {
		heap.Fix(&r.remaining, 0)
	}
	return first, true
}

// Left is how many candidates remain.
func (r *Ranking) Left() int { return len(r.remaining) }

// setUnknownLoads gives candidates of unknown load the mean cost of the known loads.
func (r *Ranking) setUnknownLoads(mean time.Duration) {
	for i := range r.remaining {
		if r.remaining[i].unknown {
			r.remaining[i].cost += mean
		}
	}
}

// rankedCandidate is a candidate with its sort key.
type rankedCandidate struct {
	index            int
	avoided, unknown bool
	cost             time.Duration
}

// candidateHeap is a heap by cost, with avoided candidates last.
type candidateHeap []rankedCandidate

func (s candidateHeap) Len() int { return len(s) }

func (s candidateHeap) Less(i, j int) bool {
	if s[i].avoided != s[j].avoided {
		return s[j].avoided
	}
	return s[i].cost < s[j].cost
}

func (s candidateHeap) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *candidateHeap) Push(x any) { *s = append(*s, x.(rankedCandidate)) }

// Pop implements heap.Interface.
func (s *candidateHeap) Pop() any {
	last := len(*s) - 1
	x := (*s)[last]
	*s = (*s)[:last]
	return x
}
