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

// TestMain fixes rapid's seed: the same code gets the same verdict every run.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Callers retry through other entries, answers are lost, agents are replaced or
// wake after a pause, and the ledger forgets. Were one booking run twice, two
// crews would stand before one family while another waits a week.
func TestLedgerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(ourMemory)
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		for range 300 {
			w.step(pick)
			must.Eq(t, 0, w.doubled)
			must.Eq(t, 0, w.untrue)
		}
	})
}

// A cache of the last replies is what most systems have. In the same world it
// runs bookings again that it has forgotten, and says "not run" of others.
func TestLedgerAgainstCache(t *testing.T) {
	const steps = 100_000
	run := func(m func(*world, string) memory) *world {
		w := newWorld(m)
		r := rand.New(rand.NewPCG(3, 5))
		for range steps {
			w.step(r.IntN)
		}
		t.Logf("%d runs, %d doubled, %d untrue answers, %d replays", w.ran, w.doubled, w.untrue, w.replayed)
		return w
	}
	ours, cache := run(ourMemory), run(naiveMemory)
	test.Eq(t, 0, ours.doubled)
	test.Eq(t, 0, ours.untrue)
	test.Positive(t, ours.replayed)
	test.Greater(t, 1000, ours.ran)
	test.Positive(t, cache.doubled)
	test.Positive(t, cache.untrue)
}

// A key comes from outside. Whatever it says must be refused with a typed error
// or be exactly a key that we could have written.
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
