package soaker

import (
	"math/rand/v2"
	"time"
)

const (
	// floodDuration is how long upstreams send endless bytes among the other faults, minFloodedPercent and
	// maxFloodedPercent the range of the percentage of requests affected.
	floodDuration     = 4 * time.Second
	minFloodedPercent = 10
	maxFloodedPercent = 25
	// quietFloodDelay is when they do so after all other faults have ended, when nothing else is disturbed.
	quietFloodDelay    = recovery + 300*time.Millisecond
	quietFloodDuration = 2500 * time.Millisecond
	// storeFloodDuration is how long the store sends endless bytes.
	storeFloodDuration = 1500 * time.Millisecond
)

// floodFaults makes upstreams and the store send endless bytes. They are drawn independently of all other
// faults.
func floodFaults(seed uint64, last time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, seed+5))
	first := lateWeightsUntil(last)
	within := func(lasts time.Duration) time.Duration {
		return first + time.Duration(r.Int64N(int64(last-first-lasts)))
	}
	lasts := min(floodDuration, (last-first)/2)
	share := func() int { return minFloodedPercent + r.IntN(maxFloodedPercent-minFloodedPercent) }
	return []fault{
		{At: within(lasts), For: lasts, Kind: upstreamsFlood, Amount: share()},
		{At: last + quietFloodDelay, For: quietFloodDuration, Kind: upstreamsFlood, Amount: share()},
		{At: within(storeFloodDuration), For: storeFloodDuration, Kind: storeFloods},
	}
}
