package admitter_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestMain fixes rapid's seed: the same code gets the same verdict every run.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// An upstream restarts, turns cold, hangs and warms up at any moment, and the
// agent hears of it late and out of order. Were the gate wrong once, a cold
// upstream would get more than it bears and fall over with all it was doing.
func TestGateAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		for range 300 {
			must.NoError(t, w.step(pick))
			must.LessEq(t, coldLimit, w.worst)
		}
	})
}

// run drives a world through n steps from a fixed seed.
func run(t *testing.T, w *world, n int) *world {
	t.Helper()
	r := rand.New(rand.NewPCG(7, 11))
	for range n {
		must.NoError(t, w.step(r.IntN))
	}
	return w
}

// A gate that trusts its last probe until the next one sends a full load to an
// upstream that was restarted in between. It stands beside ours in the same
// world, to show that the steps do reach that case.
func TestGateAgainstTrustingGate(t *testing.T) {
	const steps = 100_000
	ours, trusting := run(t, newWorld(), steps), run(t, newNaiveWorld(), steps)
	t.Logf("worst load on a cold upstream that bears %d: ours %d, trusting %d; let through: ours %d, trusting %d",
		coldLimit, ours.worst, trusting.worst, ours.admitted, trusting.admitted)
	test.LessEq(t, coldLimit, ours.worst)
	test.Eq(t, warmLimit, trusting.worst)
	test.Greater(t, trusting.admitted/2, ours.admitted)
}
