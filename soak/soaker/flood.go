package soaker

import (
	"math/rand/v2"
	"time"
)

const (
	// floodsFor is how long upstreams send endless bytes among the other faults, leastFlooded and
	// mostFlooded the range of the percentage of requests affected.
	floodsFor    = 4 * time.Second
	leastFlooded = 10
	mostFlooded  = 25
	// calmFloods is when they do so after all other faults have ended, when nothing else is disturbed.
	calmFloods    = recovery + 300*time.Millisecond
	calmFloodsFor = 2500 * time.Millisecond
	// storeFloodsFor is how long the store sends endless bytes.
	storeFloodsFor = 1500 * time.Millisecond
)

// floods makes upstreams and the store send endless bytes. They are drawn independently of all other
// faults.
func floods(seed uint64, last time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, seed+5))
	first := lateWeightsUntil(last)
	within := func(lasts time.Duration) time.Duration {
		return first + time.Duration(r.Int64N(int64(last-first-lasts)))
	}
	lasts := min(floodsFor, (last-first)/2)
	share := func() int { return leastFlooded + r.IntN(mostFlooded-leastFlooded) }
	return []fault{
		{At: within(lasts), For: lasts, Kind: upstreamsFlood, Amount: share()},
		{At: last + calmFloods, For: calmFloodsFor, Kind: upstreamsFlood, Amount: share()},
		{At: within(storeFloodsFor), For: storeFloodsFor, Kind: storeFloods},
	}
}
