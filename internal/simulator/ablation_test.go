package simulator_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
	"github.com/oriolecroft/oriolecroft/internal/simulator"
)

// Under an overload the slot limit is the decisive mechanism; without it engines thrash.
func TestAblationMeasuresTheSlotLimit(t *testing.T) {
	a := &simulator.Ablation{
		Loads:      []*simulator.Experiment{load(t, "base"), load(t, "lastingOverload")},
		Mechanisms: []ablator.Mechanism{ablator.SlotLimit}, First: 1, Seeds: 2,
	}
	r := a.Run(t.Context())
	must.Eq(t, []uint64{1, 2}, r.Seeds)
	must.False(t, r.Interrupted)
	steady, overload := r.Effects[0][0], r.Effects[0][1]
	must.Between(t, -0.05, steady.Mean(), 0.05)
	must.Less(t, -0.3, overload.Mean())
	overloaded := load(t, "lastingOverload")
	mean := (simulator.Run(overloaded, 1).Total.Worth() + simulator.Run(overloaded, 2).Total.Worth()) / 2
	must.InDelta(t, mean, r.Worth[1], 1e-9)
}

// Guards against a switch without an effect: each mechanism changes at least one load.
func TestEachMechanismChangesALoad(t *testing.T) {
	loads := map[ablator.Mechanism]string{
		ablator.SlotLimit: "lastingOverload", ablator.QueueingBudget: "lastingOverload", ablator.LateShare: "lastingOverload", ablator.EqualBudgets: "lastingOverload",
		ablator.ColdLimit: "fullRestart", ablator.Locality: "base", ablator.LoadFeedback: "base", ablator.TieBreaking: "base",
		ablator.FailureEjection: "fullRestart", ablator.FullBackoff: "lastingOverload", ablator.UnresponsiveBackoff: "silentVMs",
		ablator.UngrantedSends: "agentsDown", ablator.AdmissionWait: "lastingOverload", ablator.RetryJitter: "lastingOverload",
		ablator.RetryBudget: "fullRestart", ablator.LateWait: "fullRestart", ablator.UpstreamTerms: "leavers",
		ablator.PromptBlame:         "fatalPart",
		ablator.PriorityReservation: "batchSurge", ablator.UrgentQueue: "batchSurge", ablator.WorkspaceShare: "smallWorkspace",
		ablator.PriorityBudgets: "batchSurge", ablator.PriorityRetry: "batchSurge",
		ablator.PaceFeedback: "mixedPace", ablator.DeadlineAdmission: "mixedPace", ablator.PauseLimit: "mixedPace",
		ablator.StreamMove: "mixedPace", ablator.SlowStart: "slowStart",
	}
	for _, m := range ablator.All() {
		t.Run(string(m), func(t *testing.T) {
			e := load(t, loads[m])
			if m == ablator.ColdLimit {
				// The limit of the usual engines is above the number of requests that their slots admit.
				e.Engine.ColdRate = 5
			}
			with := simulator.Run(e, 1)
			e.Without = ablator.Set{m}
			without := simulator.Run(e, 1)
			must.NotEq(t, with.Total, without.Total)
		})
	}
}

// Guards against a comparison that includes seeds of which only some runs completed.
func TestInterruptedAblationListsItsSeeds(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	stop()
	a := &simulator.Ablation{Loads: []*simulator.Experiment{load(t, "base")}, Mechanisms: ablator.All(), First: 1, Seeds: 3}
	r := a.Run(ctx)
	must.True(t, r.Interrupted)
	must.SliceEmpty(t, r.Seeds)
	var out bytes.Buffer
	must.NoError(t, r.Print(&out))
	must.Eq(t, "interrupted, complete seeds: []\n", out.String())
}

func TestAblationChart(t *testing.T) {
	a := &simulator.Ablation{Loads: []*simulator.Experiment{load(t, "base")}, Mechanisms: []ablator.Mechanism{ablator.Locality}, First: 1, Seeds: 2}
	path := filepath.Join(t.TempDir(), "ablation.svg")
	must.NoError(t, a.Run(t.Context()).Chart(path))
	chart, err := os.ReadFile(path)
	must.NoError(t, err)
	must.StrContains(t, string(chart), "<svg")
	must.StrContains(t, string(chart), "locality")
}

// Guards against a load file with a misspelt field that is ignored.
func TestUnknownNamesAreReportedWithTheKnownOnes(t *testing.T) {
	for text, known := range map[string]string{
		"[engine]\nslot = 4\n":    "engine.slots",
		"without = [\"batches\"]": "slotLimit",
	} {
		path := filepath.Join(t.TempDir(), "load.toml")
		base, err := filepath.Abs(filepath.Join("..", "..", "experiments", "base.toml"))
		must.NoError(t, err)
		relative, err := filepath.Rel(filepath.Dir(path), base)
		must.NoError(t, err)
		must.NoError(t, os.WriteFile(path, []byte("base = \""+relative+"\"\n"+text), 0o600))
		_, err = simulator.Load(path)
		must.ErrorContains(t, err, known)
	}
}
