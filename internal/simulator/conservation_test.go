package simulator_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/simulator"
)

// Engines crash, are partitioned, slow down and lose their weights in any order, repeatedly
// and overlapping, under loads of all sizes. Each request must end exactly once, and the tables
// must count each once; a lost request would improve every figure.
func TestEachRequestEndsOnce(t *testing.T) {
	base := load(t, "base")
	rapid.Check(t, func(t *rapid.T) {
		e := *base
		e.Length = 4 * time.Second
		e.Callers.Ignoring = rapid.Float64Range(0, 1).Draw(t, "ignoring")
		e.Surges = []simulator.Surge{{At: time.Second, Lasts: 2 * time.Second, Factor: rapid.Float64Range(0.1, 4).Draw(t, "factor")}}
		for range rapid.IntRange(0, 5).Draw(t, "faults") {
			e.Faults = append(e.Faults, simulator.Fault{
				Fault: rapid.SampledFrom([]string{simulator.FaultCrash, simulator.FaultSilent, simulator.FaultSlow, simulator.FaultNoWeights, simulator.FaultPause}).Draw(t, "fault"),
				At:    time.Duration(rapid.IntRange(0, 4000).Draw(t, "at")) * time.Millisecond,
				Lasts: time.Duration(rapid.IntRange(0, 3000).Draw(t, "lasts")) * time.Millisecond,
				Share: rapid.Float64Range(0.05, 1).Draw(t, "share"), Pace: rapid.Float64Range(1.1, 20).Draw(t, "pace"),
				FailureDomain: rapid.SampledFrom([]string{"", "north", "south"}).Draw(t, "failureDomain"),
			})
		}
		r := simulator.Run(&e, rapid.Uint64().Draw(t, "seed"))
		for _, q := range r.Requests {
			must.Eq(t, 1, q.Ends)
		}
		must.Zero(t, r.ColdExcess)
		sum := func(s simulator.Row) int { return s.InTime + s.Late + s.Refused + s.Failed }
		must.Eq(t, len(r.Requests), r.Total.Asked)
		must.Eq(t, r.Total.Asked, sum(r.Total))
		for _, table := range append(r.Tables, simulator.Table{By: "second", Rows: r.Seconds}) {
			asked := 0
			for _, row := range table.Rows {
				must.Eq(t, row.Asked, sum(row))
				asked += row.Asked
			}
			must.Eq(t, r.Total.Asked, asked, must.Sprint(table.By))
		}
	})
}

func TestPrint(t *testing.T) {
	e := load(t, "base")
	e.Length = 5 * time.Second
	var b bytes.Buffer
	must.NoError(t, simulator.Print(&b, []*simulator.Report{simulator.Run(e, 1), simulator.Run(e, 2)}))
	for _, text := range []string{"steady load", "refused again", "draft", "largest tenth", "south", "small", "callers a second over 5s"} {
		must.StrContains(t, b.String(), text)
	}
}

// Guards against a misspelt field that is ignored, so that another load than the intended one runs.
func TestFaultsOfAFileAreReported(t *testing.T) {
	for text, problem := range map[string]string{
		"size = \"3s\"": "unknown field size",
		"[[surges]]\nkind = \"poem\"\natOnce = 3":                 "unknown kind",
		"[[faults]]\nfault = \"fire\"":                            "unknown fault",
		"[[faults]]\nfault = \"crash\"\nfailureDomain = \"moon\"": "unknown failure domain",
		"[[faults]]\nfault = \"slow\"":                            "pace",
		"length = \"0s\"":                                         "length is missing",
		"[engine]\nslots = 0":                                     "engine needs",
		"[[kinds]]\nname = \"x\"":                                 "prompt, answer and timeout",
		"[[failureDomains]]\nname = \"north\"\nentries = 0":       "no entries or no engines",
		"length = 3 apples":                                       "not read",
	} {
		dir := t.TempDir()
		base, err := os.ReadFile(filepath.Join("..", "..", "experiments", "base.toml"))
		must.NoError(t, err)
		must.NoError(t, os.WriteFile(filepath.Join(dir, "base.toml"), base, 0o600))
		path := filepath.Join(dir, "load.toml")
		must.NoError(t, os.WriteFile(path, []byte("base = \"base.toml\"\n"+text+"\n"), 0o600))
		_, err = simulator.Load(path)
		var file *simulator.FileError
		must.True(t, errors.As(err, &file), must.Sprint(text))
		must.True(t, strings.Contains(err.Error(), problem), must.Sprintf("%v; want %s", err, problem))
	}
}
