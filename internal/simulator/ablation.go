package simulator

import (
	"context"
	"math"
	"runtime"
	"slices"
	"sync"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
)

// Ablation runs loads with all mechanisms and again with one of them switched off, over the
// same seeds. Set the exported fields before Run.
type Ablation struct {
	Loads      []*Experiment
	Mechanisms []ablator.Mechanism
	// First is the first of Seeds seeds.
	First uint64
	Seeds int
}

// Effect is the effect of switching off a mechanism under a load: the differences in worth, one a
// seed, without the mechanism less with it.
type Effect []float64

// Mean returns the mean difference.
func (e Effect) Mean() float64 {
	sum := 0.0
	for _, d := range e {
		sum += d
	}
	return sum / max(1, float64(len(e)))
}

// Deviation returns the standard deviation of the differences over the seeds; 0 for a single one.
func (e Effect) Deviation() float64 {
	if len(e) < 2 {
		return 0
	}
	mean, squares := e.Mean(), 0.0
	for _, d := range e {
		squares += (d - mean) * (d - mean)
	}
	return math.Sqrt(squares / float64(len(e)-1))
}

// AblationReport is the result of an ablation.
type AblationReport struct {
	Loads      []string
	Mechanisms []ablator.Mechanism
	// Worth is the worth with all mechanisms, a mean over the seeds, by load.
	Worth []float64
	// Effects are by mechanism and then by load.
	Effects [][]Effect
	// Seeds are the complete ones; Interrupted is set if others were left out.
	Seeds       []uint64
	Interrupted bool
}

// Run runs all seeds, or those that complete before the context ends.
func (a *Ablation) Run(ctx context.Context) *AblationReport {
	report := &AblationReport{Mechanisms: a.Mechanisms, Worth: make([]float64, len(a.Loads)), Effects: make([][]Effect, len(a.Mechanisms))}
	for _, e := range a.Loads {
		report.Loads = append(report.Loads, e.Name)
	}
	for m := range report.Effects {
		report.Effects[m] = make([]Effect, len(a.Loads))
	}
	for seed := a.First; seed < a.First+uint64(a.Seeds); seed++ {
		with, without, ok := a.playSeed(ctx, seed)
		if !ok {
			report.Interrupted = true
			break
		}
		report.addSeed(seed, with, without)
	}
	for i := range report.Worth {
		report.Worth[i] /= max(1, float64(len(report.Seeds)))
	}
	return report
}

func (r *AblationReport) addSeed(seed uint64, with []float64, without [][]float64) {
	r.Seeds = append(r.Seeds, seed)
	for i, worth := range with {
		r.Worth[i] += worth
		for m := range without {
			r.Effects[m][i] = append(r.Effects[m][i], without[m][i]-worth)
		}
	}
}

// playSeed returns the worth of all loads with one seed: with all mechanisms, and without each
// of them. It returns false when the context ended first.
func (a *Ablation) playSeed(ctx context.Context, seed uint64) (with []float64, without [][]float64, ok bool) {
	with, without = make([]float64, len(a.Loads)), make([][]float64, len(a.Mechanisms))
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var runs sync.WaitGroup
	start := func(worth *float64, e *Experiment, off ...ablator.Mechanism) {
		slots <- struct{}{}
		if ctx.Err() != nil {
			<-slots
			return
		}
		runs.Go(func() {
			defer func() { <-slots }()
			experiment := *e
			experiment.Without = append(slices.Clone(e.Without), off...)
			*worth = Run(&experiment, seed).Total.Worth()
		})
	}
	for i, e := range a.Loads {
		start(&with[i], e)
	}
	for m, mechanism := range a.Mechanisms {
		without[m] = make([]float64, len(a.Loads))
		for i, e := range a.Loads {
			start(&without[m][i], e, mechanism)
		}
	}
	runs.Wait()
	return with, without, ctx.Err() == nil
}
