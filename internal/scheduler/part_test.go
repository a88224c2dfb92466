package scheduler_test

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// holder is an entry: how many places it has taken, how many entries it counts, and whether
// it stands still, as it neither takes nor gives back then.
type holder struct {
	held, counts int
	frozen       bool
}

// Agents are silent, or an upstream has none, and entries take places or connections there
// by their own count. They come and go, stand still, and count some three quarters of each
// other to a quarter too many. More than the upstream bears is refused or, with connections,
// reset, and the users of those requests come back or are told that nobody knows.
func TestPartsAgainstOracle(t *testing.T) {
	const share = 0.75
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 500).Draw(t, "limit")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		entries := make([]*holder, rapid.IntRange(1, 400).Draw(t, "entries"))
		for i := range entries {
			entries[i] = &holder{}
		}
		// before is what those that were there had, when entries joined last.
		before := 0
		for range rapid.IntRange(1, 20).Draw(t, "turns") {
			switch rapid.SampledFrom([]string{"join", "leave", "freeze", "end", "end", "nothing"}).Draw(t, "turn") {
			case "join":
				before = held(entries)
				for range rapid.IntRange(1, len(entries)).Draw(t, "joining") {
					entries = append(entries, &holder{})
				}
			case "leave":
				// What a killed entry had at an upstream ends with it.
				entries = entries[rapid.IntRange(0, len(entries)-1).Draw(t, "leaving"):]
			case "freeze":
				for _, e := range entries {
					e.frozen = random.IntN(8) == 0
				}
			case "end":
				before = 0
				for _, e := range entries {
					e.frozen, e.held = false, 0
				}
			}
			for _, e := range entries {
				e.counts = max(1, int((share+random.Float64()/2)*float64(len(entries))+1))
				for !e.frozen && e.held < scheduler.Part(limit, share, e.counts) && random.IntN(20) > 0 {
					e.held++
				}
			}
			// Entries that join get their part at once, and the others give up what is too much
			// as their requests end.
			must.LessEq(t, max(limit, len(entries))+before, held(entries), must.Sprintf("%d entries, limit %d", len(entries), limit))
		}
	})
}

func held(entries []*holder) int {
	n := 0
	for _, e := range entries {
		n += e.held
	}
	return n
}
