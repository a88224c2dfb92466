package scheduler_test

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// slotHolder is an entry: its slots, the number of entries that it counts, and whether it is suspended, so that
// it neither takes nor frees slots.
type slotHolder struct {
	held, countedEntries int
	suspended            bool
}

// Guards against entries that together take more slots or connections than an upstream has while agents are
// unresponsive or absent. Entries join, leave, are suspended, and count between three quarters of each other
// and a quarter too many. The excess is refused or, with connections, reset, and those requests return or have
// an unknown outcome.
func TestEntryQuotasAgainstOracle(t *testing.T) {
	const share = 0.75
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 500).Draw(t, "limit")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		entries := make([]*slotHolder, rapid.IntRange(1, 400).Draw(t, "entries"))
		for i := range entries {
			entries[i] = &slotHolder{}
		}
		// heldBeforeJoin is what all entries held when others last joined.
		heldBeforeJoin := 0
		for range rapid.IntRange(1, 20).Draw(t, "turns") {
			switch rapid.SampledFrom([]string{"join", "leave", "freeze", "end", "end", "nothing"}).Draw(t, "turn") {
			case "join":
				heldBeforeJoin = heldSlots(entries)
				for range rapid.IntRange(1, len(entries)).Draw(t, "joining") {
					entries = append(entries, &slotHolder{})
				}
			case "leave":
				// The slots of a killed entry end with it.
				entries = entries[rapid.IntRange(0, len(entries)-1).Draw(t, "leaving"):]
			case "freeze":
				for _, e := range entries {
					e.suspended = random.IntN(8) == 0
				}
			case "end":
				heldBeforeJoin = 0
				for _, e := range entries {
					e.suspended, e.held = false, 0
				}
			}
			for _, e := range entries {
				e.countedEntries = max(1, int((share+random.Float64()/2)*float64(len(entries))+1))
				for !e.suspended && e.held < scheduler.EntryQuota(limit, share, e.countedEntries) && random.IntN(20) > 0 {
					e.held++
				}
			}
			// Entries that join get their quota at once, and the others release the excess as their requests
			// end.
			must.LessEq(t, max(limit, len(entries))+heldBeforeJoin, heldSlots(entries), must.Sprintf("%d entries, limit %d", len(entries), limit))
		}
	})
}

func heldSlots(entries []*slotHolder) int {
	n := 0
	for _, e := range entries {
		n += e.held
	}
	return n
}
