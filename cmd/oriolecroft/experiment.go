package main

import (
	"context"
	"errors"
	"os"

	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/simulator"
)

const helpExperiment = `
  Plays a load on the entries' and agents' own deciding code in virtual time, some
  seconds for each seed, and prints what callers got: by kind of request, workspace,
  size and failure domain, and over time. The same seed gives the same figures.

  Loads are files; those in experiments/ are examples, docs/LOAD.md tells the fields.

  Example:
    oriolecroft experiment --load experiments/halfGone.toml --seeds 5`

func experimentCommand() command {
	flags := newCommand("experiment", "play a load on the deciding code in virtual time", helpExperiment)
	path, seeds, first, lines := "", 3, 1, false
	flags.String(&path, "l", "load", "file that describes deployment and load")
	flags.Int(&seeds, "n", "seeds", "how many seeds to play")
	flags.Int(&first, "f", "first", "the first seed")
	flags.Bool(&lines, "v", "lines", "write the processes' log lines to standard error")
	return command{flags: flags, run: func(ctx context.Context) error { return runExperiment(ctx, path, first, seeds, lines) }}
}

func runExperiment(ctx context.Context, path string, first, seeds int, lines bool) error {
	if path == "" {
		return &UsageError{Problem: "--load is missing"}
	}
	if seeds < 1 || first < 0 {
		return &UsageError{Problem: "--seeds and --first must be positive"}
	}
	e, err := simulator.Load(path)
	var file *simulator.FileError
	if errors.As(err, &file) {
		return &UsageError{Problem: file.Error()}
	}
	if err != nil {
		return err
	}
	if !lines {
		klog.SetLogger(klog.Logger{})
	}
	var reports []*simulator.Report
	for seed := first; seed < first+seeds; seed++ {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		reports = append(reports, simulator.Run(e, uint64(seed)))
	}
	return simulator.Print(os.Stdout, reports)
}
