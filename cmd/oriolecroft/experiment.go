package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
	"github.com/oriolecroft/oriolecroft/internal/simulator"
)

const helpExperiment = `
  Plays loads on the entries' and agents' own deciding code in virtual time, some
  seconds for each seed, and prints what callers got: by kind of request, workspace,
  size and failure domain, and over time. The same seed gives the same figures.

  With --ablate it plays each load again with one mechanism switched off, over the
  same seeds, and prints by how much that changes what callers got. Interrupted, it
  prints the seeds that are complete.

  Loads are files; those in experiments/ are examples, docs/LOAD.md lists their fields.
  An unknown mechanism is refused with those known.

  Examples:
    oriolecroft experiment --load experiments/halfGone.toml --seeds 5
    oriolecroft experiment --load experiments/halfGone.toml --without locality
    oriolecroft experiment --load experiments/base.toml --load experiments/halfGone.toml \
      --ablate all --chart ablation.svg`

// ablateAll is the flag value that selects all mechanisms.
const ablateAll = "all"

// experimentOptions holds the flags of the experiment command.
type experimentOptions struct {
	loads, without, ablate []string
	chart                  string
	seeds, firstSeed       int
	logLines               bool
}

func experimentCommand() command {
	flags := newCommand("experiment", "play a load on the deciding code in virtual time", helpExperiment)
	o := &experimentOptions{seeds: 3, firstSeed: 1}
	flags.StringSlice(&o.loads, "l", "load", "file that describes deployment and load; may be repeated")
	flags.StringSlice(&o.without, "w", "without", "mechanism to switch off; may be repeated")
	flags.StringSlice(&o.ablate, "a", "ablate", "mechanism to switch off for comparison, or all; may be repeated")
	flags.String(&o.chart, "c", "chart", "file for the chart of a comparison, .svg, .png or .pdf")
	flags.Int(&o.seeds, "n", "seeds", "how many seeds to play")
	flags.Int(&o.firstSeed, "f", "first", "the first seed")
	flags.Bool(&o.logLines, "v", "lines", "write the processes' log lines to standard error")
	return command{flags: flags, run: o.run}
}

func (o *experimentOptions) run(ctx context.Context) error {
	if len(o.loads) == 0 {
		return &UsageError{Problem: "--load is missing"}
	}
	if o.seeds < 1 || o.firstSeed < 0 {
		return &UsageError{Problem: "--seeds and --first must be positive"}
	}
	loads, err := o.readLoads()
	if err != nil {
		return err
	}
	ablated, err := parseMechanisms(o.ablate)
	if err != nil {
		return err
	}
	if !o.logLines {
		klog.SetLogger(klog.Logger{})
	}
	if len(ablated) > 0 {
		return o.compare(ctx, loads, ablated)
	}
	if o.chart != "" {
		return &UsageError{Problem: "--chart needs --ablate"}
	}
	for _, e := range loads {
		if err := o.play(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// readLoads reads the experiments and switches off the mechanisms of --without.
func (o *experimentOptions) readLoads() ([]*simulator.Experiment, error) {
	without, err := parseMechanisms(o.without)
	if err != nil {
		return nil, err
	}
	var loads []*simulator.Experiment
	for _, path := range o.loads {
		e, err := simulator.Load(path)
		var file *simulator.FileError
		if errors.As(err, &file) {
			return nil, &UsageError{Problem: file.Error()}
		}
		if err != nil {
			return nil, err
		}
		e.Without = append(e.Without, without...)
		loads = append(loads, e)
	}
	return loads, nil
}

// parseMechanisms returns the mechanisms with the given names.
func parseMechanisms(names []string) ([]ablator.Mechanism, error) {
	var ms []ablator.Mechanism
	for _, name := range names {
		if name == ablateAll {
			return ablator.All(), nil
		}
		m, err := ablator.Parse(name)
		if err != nil {
			return nil, &UsageError{Problem: err.Error()}
		}
		ms = append(ms, m)
	}
	return ms, nil
}

func (o *experimentOptions) play(ctx context.Context, e *simulator.Experiment) error {
	var reports []*simulator.Report
	for seed := o.firstSeed; seed < o.firstSeed+o.seeds; seed++ {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		reports = append(reports, simulator.Run(e, uint64(seed)))
	}
	return simulator.Print(os.Stdout, reports)
}

func (o *experimentOptions) compare(ctx context.Context, loads []*simulator.Experiment, ms []ablator.Mechanism) error {
	a := &simulator.Ablation{Loads: loads, Mechanisms: ms, First: uint64(o.firstSeed), Seeds: o.seeds}
	r := a.Run(ctx)
	if err := r.Print(os.Stdout); err != nil {
		return err
	}
	if o.chart != "" && len(r.Seeds) > 0 {
		if err := r.Chart(o.chart); err != nil {
			return fmt.Errorf("chart %s: %w", o.chart, err)
		}
	}
	if r.Interrupted {
		return ctx.Err()
	}
	return nil
}
