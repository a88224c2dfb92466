package scheduler_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// coldShare is a cold upstream's limit as entries compute it, with the figures of the rule.
func coldShare(rate float64, known int) scheduler.RateShare {
	return scheduler.RateShare{Rate: rate, Bound: 1.5*rate + 5, Sharers: max(24, known)}
}

// Guards against entries that together exceed the rate of a cold upstream without an agent.
func TestEntriesDivideColdLimit(t *testing.T) {
	c, now := newChooser()
	// 24 entries share 72 requests per second: two each.
	must.True(t, c.AllowCold("a", coldShare(72, 1)))
	must.True(t, c.AllowCold("a", coldShare(72, 1)))
	must.False(t, c.AllowCold("a", coldShare(72, 1)))
	now.Step(time.Second)
	must.True(t, c.AllowCold("a", coldShare(72, 1)))

	// They share 21 requests per second: one each in 1.7 seconds.
	must.True(t, c.AllowCold("b", coldShare(21, 1)))
	now.Step(time.Second)
	must.False(t, c.AllowCold("b", coldShare(21, 1)))
	now.Step(time.Second)
	must.True(t, c.AllowCold("b", coldShare(21, 1)))
}

// Guards against requests outside an entry's turns of a tenth of a second where there are many entries.
func TestManyEntriesSendInTurns(t *testing.T) {
	c, now := newChooser()
	var passed []time.Time
	for range 3000 {
		if c.AllowCold("a", coldShare(14, 40)) {
			passed = append(passed, now.Now())
		}
		now.Step(10 * time.Millisecond)
	}
	// Forty entries share seven requests per second: one each in 5.7 seconds, five in half a minute.
	must.SliceLen(t, 5, passed)
	for i := range passed[1:] {
		must.Between(t, 5600*time.Millisecond, passed[i+1].Sub(passed[i]), 5800*time.Millisecond)
	}
}

// coldFleet is a set of entries with one cold upstream, and the oracle's record of requests that reached it.
type coldFleet struct {
	clock     *clocktest.FakeClock
	rate      float64
	random    *rand.Rand
	entries   []*coldEntry
	arrivedAt []time.Time
}

// coldEntry is an entry, the share of the others that it counts, and until when it is suspended. A request that
// it allowed just before is sent on resumption.
type coldEntry struct {
	chooser        *scheduler.Chooser
	knownShare     float64
	suspendedUntil time.Time
	pending        int
}

func (f *coldFleet) addEntries(n int, knownShare float64) {
	for range n {
		f.entries = append(f.entries, &coldEntry{knownShare: knownShare,
			chooser: &scheduler.Chooser{Clock: f.clock, Random: rand.New(rand.NewPCG(f.random.Uint64(), 1))}})
	}
}

// step sends what all entries may send, and advances the time.
func (f *coldFleet) step(d time.Duration) {
	now := f.clock.Now()
	for _, e := range f.entries {
		for range 3 {
			if !e.chooser.AllowCold("a", coldShare(f.rate, int(e.knownShare*float64(len(f.entries))))) {
				break
			}
			e.pending++
		}
		if now.Before(e.suspendedUntil) {
			// While suspended it allows only the request in progress.
			e.pending = min(e.pending, 1)
			continue
		}
		for ; e.pending > 0; e.pending-- {
			f.arrivedAt = append(f.arrivedAt, now)
		}
	}
	f.clock.Step(d)
}

// maxWithin is the largest number of times within a span.
func maxWithin(ts []time.Time, span time.Duration) int {
	most, from := 0, 0
	for i, t := range ts {
		for t.Sub(ts[from]) >= span {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Guards against more requests per second to a cold upstream than the rule allows, which would crash it.
// Entries join, leave, are suspended with a pending request, resume together and count only a part of each
// other, while all have more requests than the upstream can take.
func TestColdLimitAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &coldFleet{clock: clocktest.NewFakeClock(time.Unix(1000, 0)), rate: rapid.Float64Range(4, 120).Draw(t, "rate"),
			random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))}
		f.addEntries(rapid.IntRange(1, 400).Draw(t, "entries"), 1)
		for range rapid.IntRange(1, 12).Draw(t, "turns") {
			n := len(f.entries)
			switch rapid.SampledFrom([]string{"join", "leave", "freeze", "disagree", "nothing"}).Draw(t, "turn") {
			case "join":
				// The others count them within one turn.
				f.addEntries(rapid.IntRange(1, max(1, n/4)).Draw(t, "joining"), 0.75)
			case "leave":
				f.random.Shuffle(n, func(i, j int) { f.entries[i], f.entries[j] = f.entries[j], f.entries[i] })
				f.entries = slices.Clip(f.entries[:max(1, n-rapid.IntRange(0, n/2).Draw(t, "leaving"))])
			case "freeze":
				until := f.clock.Now().Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				for i := range n / 8 {
					f.entries[i].suspendedUntil = until
				}
			case "disagree":
				for _, e := range f.entries {
					e.knownShare = 0.75 + f.random.Float64()/2
				}
			}
			for range 20 {
				f.step(time.Duration(rapid.IntRange(5, 120).Draw(t, "step")) * time.Millisecond)
			}
		}
		must.LessEq(t, int(1.5*f.rate+5), maxWithin(f.arrivedAt, time.Second), must.Sprintf("%d entries", len(f.entries)))
	})
}
