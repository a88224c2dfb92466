package router

import (
	"slices"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// tierIndex orders replicas by how far they are.
type tierIndex int

const (
	sameDomain tierIndex = iota
	sameRegion
	otherRegion
	tierCount
)

// poolKey names what a pool's replicas serve.
type poolKey struct {
	kind messenger.Kind
	name string
}

func keyOf(s messenger.AgentState) poolKey {
	if s.Kind == messenger.KindService {
		return poolKey{kind: s.Kind, name: s.Service}
	}
	return poolKey{kind: messenger.KindEngine, name: s.Model}
}

// pool holds the replicas of one model or service that may get new work.
type pool struct {
	tiers [tierCount]tier
	// rate is the smoothed number of requests done per second.
	rate rate
}

// tier is the replicas of a pool at one distance.
type tier struct {
	// ring holds all by their point on the hash ring, free those with room.
	ring []*replica
	free []*replica
	// load and limit are sums over the ring.
	load, limit int
}

func byPoint(p *replica, point uint64) int {
	switch {
	case p.point < point:
		return -1
	case p.point > point:
		return 1
	}
	return 0
}

func (t *tier) add(p *replica) {
	at, _ := slices.BinarySearchFunc(t.ring, p.point, byPoint)
	t.ring = slices.Insert(t.ring, at, p)
	p.counted = p.state.Limit
	t.limit += p.counted
	p.tier = t
	p.load = 0
	t.update(p)
}

func (t *tier) remove(p *replica) {
	at, _ := slices.BinarySearchFunc(t.ring, p.point, byPoint)
	for t.ring[at] != p {
		at++
	}
	t.ring = slices.Delete(t.ring, at, at+1)
	t.limit -= p.counted
	t.load -= p.load
	t.setFree(p, false)
	p.tier = nil
}

// update brings the sums and the list of free ones in line with the replica.
func (t *tier) update(p *replica) {
	n := p.estimate()
	t.load += n - p.load
	p.load = n
	t.setFree(p, p.room() > 0)
}

func (t *tier) setFree(p *replica, free bool) {
	switch {
	case free && p.free < 0:
		p.free = len(t.free)
		t.free = append(t.free, p)
	case !free && p.free >= 0:
		last := t.free[len(t.free)-1]
		t.free[p.free] = last
		last.free = p.free
		t.free = t.free[:len(t.free)-1]
		p.free = -1
	}
}

// home is the replica that a hash falls to on the ring; nil when it is empty.
func (t *tier) home(hash uint64) *replica {
	if len(t.ring) == 0 {
		return nil
	}
	at, _ := slices.BinarySearchFunc(t.ring, hash, byPoint)
	return t.ring[at%len(t.ring)]
}

// mean is the load of the tier as a part of its limit.
func (t *tier) mean() float64 {
	if t.limit == 0 {
		return 0
	}
	return float64(t.load) / float64(t.limit)
}
