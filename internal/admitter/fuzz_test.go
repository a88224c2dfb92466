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

// TestMain fixes rapid's seed, so that results are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Guards against overloading a cold upstream, which would fail with all its
// requests. The upstream restarts, turns cold, hangs and warms up at any
// moment; the agent receives this late and out of order.
func TestGateAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		for range 300 {
			must.NoError(t, w.step(pick))
			must.LessEq(t, coldLimit, w.maxColdLoad)
		}
	})
}

// run performs n steps of a world from a fixed seed.
func run(t *testing.T, w *world, n int) *world {
	t.Helper()
	r := rand.New(rand.NewPCG(7, 11))
	for range n {
		must.NoError(t, w.step(r.IntN))
	}
	return w
}

// A gate that trusts its last probe until the next one sends a full load to an
// upstream that was restarted in between. Running it through the same steps
// shows that they reach that case.
func TestGateAgainstNaiveGate(t *testing.T) {
	const steps = 100_000
	realWorld, naiveWorld := run(t, newWorld(), steps), run(t, newNaiveWorld(), steps)
	t.Logf("maximum load on a cold upstream with a limit of %d: real gate %d, naive gate %d; admitted: real %d, naive %d",
		coldLimit, realWorld.maxColdLoad, naiveWorld.maxColdLoad, realWorld.admitted, naiveWorld.admitted)
	test.LessEq(t, coldLimit, realWorld.maxColdLoad)
	test.Eq(t, warmLimit, naiveWorld.maxColdLoad)
	test.Greater(t, naiveWorld.admitted/2, realWorld.admitted)
}
