package router

import "slices"

// ring holds replicas in the order of their points for consistent hashing: a
// prefix has the same home for all entries of a region, and adding or removing a
// replica moves only the adjacent prefixes.
type ring []*replica

func byPoint(p *replica, point uint64) int {
	switch {
	case p.ringPoint < point:
		return -1
	case p.ringPoint > point:
		return 1
	}
	return 0
}

func (g *ring) add(p *replica) {
	i, _ := slices.BinarySearchFunc(*g, p.ringPoint, byPoint)
	*g = slices.Insert(*g, i, p)
}

func (g *ring) remove(p *replica) {
	i, _ := slices.BinarySearchFunc(*g, p.ringPoint, byPoint)
	for (*g)[i] != p {
		i++
	}
	*g = slices.Delete(*g, i, i+1)
}

// home is the replica for a hash; nil if the ring is empty.
func (g ring) home(hash uint64) *replica {
	if len(g) == 0 {
		return nil
	}
	i, _ := slices.BinarySearchFunc(g, hash, byPoint)
	return g[i%len(g)]
}
