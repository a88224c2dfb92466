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

// The rule: retries within a window are at most this share of the requests plus slack. The
// requests are those of the window, of the one before it or of the one half a window
// before, whichever has most.
const (
	window = 10 * time.Second
	step   = 500 * time.Millisecond
	ratio  = 0.2
	slack  = 106.0
)

// discoveryDelay is how long a new entry and the others are unaware of each other: a
// lease and the update that announces it.
const discoveryDelay = 3 * time.Second

// cluster is a set of entries that send all permitted retries, and the oracle's
// count.
type cluster struct {
	clock             *clocktesting.FakeClock
	random            *rand.Rand
	entries           []*entry
	requests, retries []int
	// discovered is how many entries are known to others.
	discovered int
}

// entry is an entry with its budget.
type entry struct {
	budget *retrier.Budget
	// knownFraction is the part of the other entries that it counts once it is
	// discovered.
	knownFraction  float64
	joined         time.Time
	suspendedUntil time.Time
}

func (c *cluster) join(n int) {
	for range n {
		s := &entry{knownFraction: 0.7 + c.random.Float64()/2, joined: c.clock.Now()}
		s.budget = &retrier.Budget{Clock: c.clock, Share: 0.9 * ratio, Floor: 0.1 * slack / window.Seconds(), Burst: 0.6 * slack,
			Sharers: func() int { return c.known(s) }, Random: c.random}
		c.entries = append(c.entries, s)
	}
}

// known is how many entries one of them counts.
func (c *cluster) known(s *entry) int {
	if c.clock.Since(s.joined) < discoveryDelay {
		return 6
	}
	return max(6, int(s.knownFraction*float64(c.discovered)+1))
}

// step gives each entry up to maxRequests requests, each retried up to twice, and advances
// the clock.
func (c *cluster) step(maxRequests int, failing bool) {
	c.discovered = 0
	for _, e := range c.entries {
		if c.clock.Since(e.joined) >= discoveryDelay {
			c.discovered++
		}
	}
	first, retried := 0, 0
	for _, e := range c.entries {
		if c.clock.Now().Before(e.suspendedUntil) {
			continue
		}
		for range c.random.IntN(maxRequests + 1) {
			e.budget.RecordFirstAttempt()
			first++
			for range 2 {
				if failing && e.budget.Take() {
					retried++
				}
			}
		}
	}
	c.requests, c.retries = append(c.requests, first), append(c.retries, retried)
	c.clock.Step(step)
}

// check compares the last window with the rule.
func (c *cluster) check(t *rapid.T) {
	const steps = int(window / step)
	end := len(c.requests)
	maxRequests := max(within(c.requests, end-steps, end), within(c.requests, end-2*steps, end-steps),
		within(c.requests, end-steps-steps/2, end-steps/2))
	retries := within(c.retries, end-steps, end)
	must.LessEq(t, int(ratio*float64(maxRequests)+slack), retries, must.Sprintf("%d entries, %d requests", len(c.entries), maxRequests))
}

func within(ns []int, from, to int) int {
	total := 0
	for _, n := range ns[max(0, from):max(0, to)] {
		total += n
	}
	return total
}

// Guards against a retry storm on failing upstreams: all entries retry at once, each by its
// own count, and must together stay within the bound of a fifth of the requests and a
// hundred more in ten seconds. Entries start, alone or all at once, end, are suspended, and
// over- or underestimate their number.
func TestEntriesTogetherStayWithinTheRetryBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{clock: clocktesting.NewFakeClock(epoch), random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
		c.join(rapid.IntRange(1, 300).Draw(t, "entries"))
		for range rapid.IntRange(1, 12).Draw(t, "turns") {
			n := len(c.entries)
			switch rapid.SampledFrom([]string{"join", "leave", "restart", "freeze", "nothing"}).Draw(t, "turn") {
			case "join":
				c.join(rapid.IntRange(1, max(1, n/2)).Draw(t, "joining"))
			case "leave":
				c.entries = c.entries[rapid.IntRange(0, n/2).Draw(t, "leaving"):]
			case "restart":
				restarted := rapid.IntRange(1, n).Draw(t, "restarting")
				c.entries = c.entries[restarted:]
				c.join(restarted)
			case "freeze":
				for i := range n / 3 {
					c.entries[i].suspendedUntil = c.clock.Now().Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "halves")) * step)
				}
			}
			maxRequests, failing := rapid.IntRange(0, 12).Draw(t, "requests"), rapid.Bool().Draw(t, "failing")
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				c.step(maxRequests, failing)
				c.check(t)
			}
		}
	})
}
