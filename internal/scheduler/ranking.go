package scheduler

import (
	"container/heap"
	"time"
)

// Ranking gives candidates one after the other, the most promising first.
type Ranking struct{ left scores }

// Next gives the position of the next candidate in the list that was ranked; false when there
// is none left.
func (r *Ranking) Next() (int, bool) {
	if len(r.left) == 0 {
		return 0, false
	}
	first := r.left[0].index
	last := len(r.left) - 1
	r.left[0] = r.left[last]
	r.left = r.left[:last]
	if last > 0 {
		heap.Fix(&r.left, 0)
	}
	return first, true
}

// Left is how many candidates are still to come.
func (r *Ranking) Left() int { return len(r.left) }

// addUnknown has candidates of unknown load cost as much as one of average load.
func (r *Ranking) addUnknown(mean time.Duration) {
	for i := range r.left {
		if r.left[i].unknown {
			r.left[i].cost += mean
		}
	}
}

// scored is a candidate's place in the order.
type scored struct {
	index            int
	avoided, unknown bool
	cost             time.Duration
}

// scores are a heap. Those that are avoided come last.
type scores []scored

func (s scores) Len() int { return len(s) }

func (s scores) Less(i, j int) bool {
	if s[i].avoided != s[j].avoided {
		return s[j].avoided
	}
	return s[i].cost < s[j].cost
}

func (s scores) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *scores) Push(x any) { *s = append(*s, x.(scored)) }

// Pop implements heap.Interface.
func (s *scores) Pop() any {
	last := len(*s) - 1
	x := (*s)[last]
	*s = (*s)[:last]
	return x
}
