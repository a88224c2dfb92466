package router_test

import (
	"fmt"
	"testing"
	"time"
)

const (
	rushEnd = 60 * time.Second
	// rushSeeds is the number of simulations per figure.
	rushSeeds = 5
	// rushCapacity is the capacity of all upstreams in requests per second.
	rushCapacity = 12 * 8
)

// simulateRush offers load times the capacity: two large workspaces with 0.4 of
// it each, eight small ones with the rest. Refused callers return up to twice
// after the advised delay. It returns the number served by the end of the rush.
func simulateRush(gated bool, load float64, seed uint64, t *tally) int {
	before := t.served
	w := newSimulation(gated, seed, t)
	entries := w.simulatedEntries(bundleWith(1, ""))
	w.retry = func(c *call, after time.Duration) bool {
		if c.returns == 2 {
			return false
		}
		w.after(after, func() {
			returned := w.newCall(c.workspace)
			returned.returns = c.returns + 1
			entries[w.random.IntN(len(entries))].submit(returned)
		})
		return true
	}
	rate := func(time.Duration) float64 { return load * rushCapacity }
	w.after(time.Second, func() {
		w.arrivals(rate, rushEnd, func() {
			n := w.random.IntN(2)
			if w.random.Float64() < 0.2 {
				n = 2 + w.random.IntN(8)
			}
			c := w.newCall(fmt.Sprintf("w%d", n))
			t.askedOf[c.workspace]++
			entries[w.random.IntN(len(entries))].submit(c)
		})
	})
	w.run(rushEnd)
	goodput := t.served - before
	w.run(rushEnd + 10*time.Second)
	return goodput
}

// fairness returns the smallest served share of a small workspace's requests,
// and the ratio of the served requests of the two large workspaces.
func (t *tally) fairness() (smallShare, largeRatio float64) {
	smallShare = 1
	for i := 2; i < 10; i++ {
		w := fmt.Sprintf("w%d", i)
		smallShare = min(smallShare, float64(t.servedOf[w])/float64(t.askedOf[w]))
	}
	a, b := float64(t.servedOf["w0"]), float64(t.servedOf["w1"])
	return smallShare, min(a, b) / max(a, b)
}

// BenchmarkRush reports, in virtual time, goodput at three times the
// capacity relative to that at capacity, in the same run.
func BenchmarkRush(b *testing.B) {
	for b.Loop() {
		for gated, prefix := range map[bool]string{true: "", false: "naive-"} {
			once, thrice := newTally(), newTally()
			goodputOnce, goodputThrice := 0, 0
			for seed := range uint64(rushSeeds) {
				goodputOnce += simulateRush(gated, 1, seed, once)
				goodputThrice += simulateRush(gated, 3, seed, thrice)
			}
			small, large := thrice.fairness()
			seconds := rushSeeds * (rushEnd - time.Second).Seconds()
			b.ReportMetric(float64(goodputThrice)/float64(goodputOnce), prefix+"goodput-3x/1x")
			b.ReportMetric(float64(goodputOnce)/seconds/rushCapacity, prefix+"goodput-1x/capacity")
			b.ReportMetric(small, prefix+"small-share")
			b.ReportMetric(large, prefix+"large-ratio")
			b.ReportMetric(float64(thrice.wasted)/float64(thrice.served+thrice.wasted), prefix+"wasted-runs")
			b.ReportMetric(float64(thrice.attempts)/float64(thrice.served), prefix+"attempts/served")
		}
	}
}
