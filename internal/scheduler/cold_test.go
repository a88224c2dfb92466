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

// share is a cold upstream's limit as entries take it, with the rule's figures.
func share(rate float64, known int) scheduler.RateShare {
	return scheduler.RateShare{Rate: rate, Bound: 1.5*rate + 5, Sharers: max(24, known)}
}

// Entries divide what a cold upstream without an agent bears.
func TestColdUpstreamWithoutAgent(t *testing.T) {
	c, now := newChooser()
	// 24 entries share 72 a second: two each.
	must.True(t, c.ColdPass("a", share(72, 1)))
	must.True(t, c.ColdPass("a", share(72, 1)))
	must.False(t, c.ColdPass("a", share(72, 1)))
	now.Step(time.Second)
	must.True(t, c.ColdPass("a", share(72, 1)))

	// They share 21 a second: each one in 1.7 seconds.
	must.True(t, c.ColdPass("b", share(21, 1)))
	now.Step(time.Second)
	must.False(t, c.ColdPass("b", share(21, 1)))
	now.Step(time.Second)
	must.True(t, c.ColdPass("b", share(21, 1)))
}

// Where there are many entries each sends one request in a window of a tenth of a second,
// and none outside.
func TestManyEntriesSendByWindows(t *testing.T) {
	c, now := newChooser()
	var passed []time.Time
	for range 3000 {
		if c.ColdPass("a", share(14, 40)) {
			passed = append(passed, now.Now())
		}
		now.Step(10 * time.Millisecond)
	}
	// Forty entries share seven a second: each one in 5.7 seconds, five in half a minute.
	must.SliceLen(t, 5, passed)
	for i := range passed[1:] {
		must.Between(t, 5600*time.Millisecond, passed[i+1].Sub(passed[i]), 5800*time.Millisecond)
	}
}

// coldFleet is entries before one cold upstream, and the oracle's count of what reached it.
type coldFleet struct {
	clock   *clocktest.FakeClock
	rate    float64
	random  *rand.Rand
	entries []*coldEntry
	arrived []time.Time
}

// coldEntry is an entry, the share of the others that it knows, and until when it stands
// still. A request that it let through just before goes out when it wakes.
type coldEntry struct {
	chooser *scheduler.Chooser
	knows   float64
	frozen  time.Time
	held    int
}

func (f *coldFleet) join(n int, knows float64) {
	for range n {
		f.entries = append(f.entries, &coldEntry{knows: knows,
			chooser: &scheduler.Chooser{Clock: f.clock, Random: rand.New(rand.NewPCG(f.random.Uint64(), 1))}})
	}
}

// step lets all entries send as much as they may, and goes on in time.
func (f *coldFleet) step(d time.Duration) {
	now := f.clock.Now()
	for _, e := range f.entries {
		for range 3 {
			if !e.chooser.ColdPass("a", share(f.rate, int(e.knows*float64(len(f.entries))))) {
				break
			}
			e.held++
		}
		if now.Before(e.frozen) {
			// Only what was under way is let through while it stands still.
			e.held = min(e.held, 1)
			continue
		}
		for ; e.held > 0; e.held-- {
			f.arrived = append(f.arrived, now)
		}
	}
	f.clock.Step(d)
}

// mostWithin is the largest number of moments within a span.
func mostWithin(ts []time.Time, span time.Duration) int {
	most, from := 0, 0
	for i, t := range ts {
		for t.Sub(ts[from]) >= span {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Entries come and go, stand still with a request in hand and wake together, and know only
// a part of each other, while all have more requests for one cold upstream than it bears.
// With more in a second than the rule allows it falls over, and users' requests with it.
func TestColdLimitAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &coldFleet{clock: clocktest.NewFakeClock(time.Unix(1000, 0)), rate: rapid.Float64Range(4, 120).Draw(t, "rate"),
			random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))}
		f.join(rapid.IntRange(1, 400).Draw(t, "entries"), 1)
		for range rapid.IntRange(1, 12).Draw(t, "turns") {
			n := len(f.entries)
			switch rapid.SampledFrom([]string{"join", "leave", "freeze", "disagree", "nothing"}).Draw(t, "turn") {
			case "join":
				// The others know of them within one turn.
				f.join(rapid.IntRange(1, max(1, n/4)).Draw(t, "joining"), 0.75)
			case "leave":
				f.random.Shuffle(n, func(i, j int) { f.entries[i], f.entries[j] = f.entries[j], f.entries[i] })
				f.entries = slices.Clip(f.entries[:max(1, n-rapid.IntRange(0, n/2).Draw(t, "leaving"))])
			case "freeze":
				until := f.clock.Now().Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				for i := range n / 8 {
					f.entries[i].frozen = until
				}
			case "disagree":
				for _, e := range f.entries {
					e.knows = 0.75 + f.random.Float64()/2
				}
			}
			for range 20 {
				f.step(time.Duration(rapid.IntRange(5, 120).Draw(t, "step")) * time.Millisecond)
			}
		}
		must.LessEq(t, int(1.5*f.rate+5), mostWithin(f.arrived, time.Second), must.Sprintf("%d entries", len(f.entries)))
	})
}
