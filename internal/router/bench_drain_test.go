package router_test

import (
	"slices"
	"testing"
	"time"

	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

const (
	drainAt  = 20 * time.Second
	returnAt = 60 * time.Second
	drainEnd = 120 * time.Second
)

// offeredRate is 0.92 of the capacity of two domains; while the third is cold,
// 0.95 of the two and its cold slots, so that these are needed.
func offeredRate(elapsed time.Duration) float64 {
	if elapsed >= returnAt+2*time.Second && elapsed < returnAt+coldFor {
		return 0.95 * (8*8 + 4*2)
	}
	return 0.92 * 8 * 8
}

// drainSeeds is the number of simulations per figure: with few, single bursts of
// arrivals dominate the result.
const drainSeeds = 20

// simulateDrain drains south under load and lets it return cold.
func simulateDrain(gated bool, seed uint64, t *tally) {
	w := newSimulation(gated, seed, t)
	b := bundleWith(1, "")
	entries := w.simulatedEntries(b)
	roll := func(b *bundler.Bundle, drained bool) {
		w.setDrained("south", drained)
		for _, s := range entries {
			w.after(time.Duration(w.random.Int64N(int64(time.Second))), func() { s.setBundle(b) })
		}
	}
	w.after(drainAt, func() { roll(bundleWith(2, "south"), true) })
	w.after(returnAt, func() { roll(bundleWith(3, ""), false) })
	w.after(time.Second, func() {
		w.arrivals(offeredRate, drainEnd, func() {
			entries[w.random.IntN(len(entries))].submit(w.newCall(b.Workspaces[w.random.IntN(10)].Name))
		})
	})
	w.run(returnAt - time.Second)
	t.lastInDomain = max(t.lastInDomain, w.lastWorkIn("south").Sub(epoch.Add(drainAt)))
	w.run(drainEnd + 10*time.Second)
}

func (w *simulation) simulatedEntries(b *bundler.Bundle) []simulatedEntry {
	if w.gated {
		return w.newEntries(9, b)
	}
	var entries []simulatedEntry
	for i := range 9 {
		entries = append(entries, &naiveEntry{sim: w, bundle: b, turn: i})
	}
	return entries
}

func (w *simulation) lastWorkIn(domain string) time.Time {
	var last time.Time
	for _, u := range w.upstreams {
		if u.state.FailureDomain == domain && u.lastWork.After(last) {
			last = u.lastWork
		}
	}
	return last
}

func newTally() *tally { return &tally{servedOf: map[string]int{}, askedOf: map[string]int{}} }

// metrics reports the results with a prefix.
func (t *tally) metrics(b *testing.B, prefix string) {
	slices.Sort(t.latency)
	quantile := func(q float64) float64 { return t.latency[int(q*float64(len(t.latency)-1))].Seconds() }
	b.ReportMetric(float64(t.served)/float64(t.served+t.refused+t.lost), prefix+"served/offered")
	b.ReportMetric(quantile(0.5), prefix+"p50-s")
	b.ReportMetric(quantile(0.99), prefix+"p99-s")
	b.ReportMetric(float64(t.refused), prefix+"refused")
	b.ReportMetric(float64(t.lost), prefix+"lost")
	b.ReportMetric(float64(t.attempts)/float64(t.served), prefix+"attempts/served")
	b.ReportMetric(float64(t.worstCold), prefix+"worst-cold")
	b.ReportMetric(float64(t.crashes), prefix+"fell")
}

// BenchmarkServiceDuringDrain reports, in virtual time, the service while a
// domain is drained and returns cold near capacity (cold limit 2).
func BenchmarkServiceDuringDrain(b *testing.B) {
	for b.Loop() {
		for gated, prefix := range map[bool]string{true: "", false: "naive-"} {
			t := newTally()
			for seed := range uint64(drainSeeds) {
				simulateDrain(gated, seed, t)
			}
			t.metrics(b, prefix)
			b.ReportMetric(t.lastInDomain.Seconds(), prefix+"last-work-s")
		}
	}
}
