package simulator_test

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/simulator"
)

// TestMain keeps the logs of thousands of requests out of the tests' output, and fixes
// rapid's seed, so that each run gives the same result.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	klog.SetLogger(klog.Logger{})
	os.Exit(m.Run())
}

func load(t *testing.T, name string) *simulator.Experiment {
	t.Helper()
	e, err := simulator.Load(filepath.Join("..", "..", "experiments", name+".toml"))
	must.NoError(t, err)
	return e
}

func play(t *testing.T, name string) *simulator.Report {
	t.Helper()
	r := simulator.Run(load(t, name), 1)
	t.Logf("%s: worth %.3f of %d; %+v, beyond the bound of cold engines %d", r.Experiment.Name, r.Total.Worth(), r.Total.Asked, r.Total, r.ColdExcess)
	for _, q := range r.Requests {
		must.Eq(t, 1, q.Ends, must.Sprintf("request %d", q.Number))
		must.NotEq(t, simulator.Open, q.Outcome)
	}
	return r
}

// The same seed must give the same report, so that two runs differ only by what was changed
// between them.
func TestSameSeedSameReport(t *testing.T) {
	for _, name := range []string{"base", "halfGone", "repeatAtOnce"} {
		a, b := play(t, name), play(t, name)
		must.True(t, reflect.DeepEqual(a.Requests, b.Requests))
		must.Eq(t, a.Total, b.Total)
		must.NotEq(t, a.Total, simulator.Run(a.Experiment, 2).Total)
	}
}

// Two versions of a decision are compared under the same callers; otherwise a difference
// between draws looks like a gain.
func TestSameSeedSameCallers(t *testing.T) {
	few := load(t, "base")
	many := load(t, "base")
	many.Faults = []simulator.Fault{{Fault: simulator.FaultCrash, At: 5 * time.Second, Share: 0.5}}
	a, b := simulator.Run(few, 3).Requests, simulator.Run(many, 3).Requests
	must.Eq(t, len(a), len(b))
	for i := range a {
		must.Eq(t, a[i].At, b[i].At)
		must.Eq(t, a[i].Prompt, b[i].Prompt)
		must.Eq(t, a[i].Owed, b[i].Owed)
	}
}
