package retrier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktesting "k8s.io/utils/clock/testing"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// The rule: retries within a window are at most this share of the requests, and so many
// besides. The requests are those of the window, of the one before it or of the one half a
// window before, whichever has most.
const (
	window = 10 * time.Second
	step   = 500 * time.Millisecond
	ratio  = 0.2
	slack  = 106.0
)

// unknownFor is how long an entry that starts knows nobody, and nobody knows it: a lease
// and the news of it.
const unknownFor = 3 * time.Second

// fleet is entries that retry all they may, and the oracle's count.
type fleet struct {
	clock             *clocktesting.FakeClock
	random            *rand.Rand
	entries           []*sharer
	requests, retries []int
	// settled is how many entries are known to others.
	settled int
}

// sharer is an entry.
type sharer struct {
	budget *retrier.Budget
	// knows is the part of the others that it knows once it is known.
	knows  float64
	joined time.Time
	frozen time.Time
}

func (f *fleet) join(n int) {
	for range n {
		s := &sharer{knows: 0.7 + f.random.Float64()/2, joined: f.clock.Now()}
		s.budget = &retrier.Budget{Clock: f.clock, Share: 0.9 * ratio, Floor: 0.1 * slack / window.Seconds(), Burst: 0.6 * slack,
			Sharers: func() int { return f.known(s) }, Random: f.random}
		f.entries = append(f.entries, s)
	}
}

// known is how many entries one of them counts.
func (f *fleet) known(s *sharer) int {
	if f.clock.Since(s.joined) < unknownFor {
		return 6
	}
	return max(6, int(s.knows*float64(f.settled)+1))
}

// step has each entry take requests, up to most and each retried up to twice, and goes on.
func (f *fleet) step(most int, failing bool) {
	f.settled = 0
	for _, e := range f.entries {
		if f.clock.Since(e.joined) >= unknownFor {
			f.settled++
		}
	}
	first, again := 0, 0
	for _, e := range f.entries {
		if f.clock.Now().Before(e.frozen) {
			continue
		}
		for range f.random.IntN(most + 1) {
			e.budget.First()
			first++
			for range 2 {
				if failing && e.budget.Take() {
					again++
				}
			}
		}
	}
	f.requests, f.retries = append(f.requests, first), append(f.retries, again)
	f.clock.Step(step)
}

// check holds the last window against the rule.
func (f *fleet) check(t *rapid.T) {
	const steps = int(window / step)
	end := len(f.requests)
	most := max(within(f.requests, end-steps, end), within(f.requests, end-2*steps, end-steps),
		within(f.requests, end-steps-steps/2, end-steps/2))
	got := within(f.retries, end-steps, end)
	must.LessEq(t, int(ratio*float64(most)+slack), got, must.Sprintf("%d entries, %d requests", len(f.entries), most))
}

func within(ns []int, from, to int) int {
	total := 0
	for _, n := range ns[max(0, from):max(0, to)] {
		total += n
	}
	return total
}

// Upstreams fail and all entries retry at the same moment, each by its own count. Entries
// start, alone or all at once, end and stand still, and believe that there are fewer or more
// of them than there are. Together they must stay within the bound: a fifth of the requests
// and a hundred more in ten seconds. More would be a storm on upstreams that have trouble
// already.
func TestEntriesTogetherStayWithinTheRetryBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{clock: clocktesting.NewFakeClock(epoch), random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
		f.join(rapid.IntRange(1, 300).Draw(t, "entries"))
		for range rapid.IntRange(1, 12).Draw(t, "turns") {
			n := len(f.entries)
			switch rapid.SampledFrom([]string{"join", "leave", "restart", "freeze", "nothing"}).Draw(t, "turn") {
			case "join":
				f.join(rapid.IntRange(1, max(1, n/2)).Draw(t, "joining"))
			case "leave":
				f.entries = f.entries[rapid.IntRange(0, n/2).Draw(t, "leaving"):]
			case "restart":
				again := rapid.IntRange(1, n).Draw(t, "restarting")
				f.entries = f.entries[again:]
				f.join(again)
			case "freeze":
				for i := range n / 3 {
					f.entries[i].frozen = f.clock.Now().Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "halves")) * step)
				}
			}
			most, failing := rapid.IntRange(0, 12).Draw(t, "requests"), rapid.Bool().Draw(t, "failing")
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				f.step(most, failing)
				f.check(t)
			}
		}
	})
}
