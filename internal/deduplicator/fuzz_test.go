package deduplicator_test

import (
	"errors"
	"flag"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/deduplicator"
)

// TestMain fixes rapid's seed, so that results are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Callers retry through other entries, replies are lost, agents are replaced or
// resume after a pause, and the ledger evicts keys. If one booking ran twice, two
// crews would be sent to one family while another waits a week.
func TestLedgerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(newLedgerUnderTest)
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		for range 300 {
			w.randomStep(pick)
			must.Eq(t, 0, w.repeated)
			must.Eq(t, 0, w.wrong)
		}
	})
}

// Compares the ledger with a common cache of the last replies. In the same simulation
// the cache repeats bookings that it has evicted, and reports "not run" for others.
func TestLedgerAgainstLRUCache(t *testing.T) {
	const steps = 100_000
	simulate := func(m func(*simulation, string) callLedger) *simulation {
		w := newSimulation(m)
		r := rand.New(rand.NewPCG(3, 5))
		for range steps {
			w.randomStep(r.IntN)
		}
		t.Logf("%d runs, %d repeated, %d wrong answers, %d replays", w.ran, w.repeated, w.wrong, w.replayed)
		return w
	}
	ledger, cache := simulate(newLedgerUnderTest), simulate(newLRULedger)
	test.Eq(t, 0, ledger.repeated)
	test.Eq(t, 0, ledger.wrong)
	test.Positive(t, ledger.replayed)
	test.Greater(t, 1000, ledger.ran)
	test.Positive(t, cache.repeated)
	test.Positive(t, cache.wrong)
}

// Keys come from outside. Any text must either be rejected with a typed error
// or be exactly a key that the system could have issued.
func FuzzParseKey(f *testing.F) {
	f.Add(newKey("n", epoch).String())
	f.Add("v1.e30")
	f.Add("v1.eyJ3b3Jrc3BhY2UiOiIifQ")
	f.Add("friday-swap-7")
	f.Fuzz(func(t *testing.T, text string) {
		k, err := deduplicator.ParseKey(text)
		if err != nil {
			var e *deduplicator.KeyError
			must.True(t, errors.As(err, &e))
			return
		}
		must.Eq(t, text, k.String())
		must.NoError(t, k.Validate())
	})
}
