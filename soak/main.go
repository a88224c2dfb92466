// Command soak runs the system's programs on loopback under random faults and checks the promises
// meanwhile. See `go run ./soak --help`.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/oriolecroft/oriolecroft/soak/soaker"
)

const help = `
  Runs entries and agents as separate processes against stand-ins, with faults drawn
  from a seed, and ends with a line for each promise. The status is 0 when all were
  kept, 1 when one was broken, 2 for a faulty flag or file.

  Examples:
    go run ./soak --seed 7
    go run ./soak --seed 100 --seeds 10 --seconds 60 --entries 9 --engines 12
    go run ./soak --file soak/seeds.txt`

// Exit statuses.
const (
	exitBroken = 1
	exitUsage  = 2
)

type flags struct {
	// Numbers are parsed here rather than by the library, whose errors do not name the flag.
	seed, seeds, seconds, entries, engines, services string
	file, logs                                       string
	plan                                             bool
}

func main() {
	f := flags{seed: "1", seeds: "1", seconds: "45", entries: "3", engines: "6", services: "3", logs: filepath.Join(os.TempDir(), "soak")}
	flaggy.SetName("soak")
	flaggy.SetDescription("random faults on the real programs")
	flaggy.DefaultParser.AdditionalHelpAppend = help
	flaggy.DefaultParser.DisableShowVersionWithVersion()
	flaggy.String(&f.seed, "", "seed", "seed of the faults")
	flaggy.String(&f.seeds, "", "seeds", "how many seeds to run, counting up")
	flaggy.String(&f.seconds, "", "seconds", "length of a run in seconds")
	flaggy.String(&f.entries, "", "entries", "number of entries")
	flaggy.String(&f.engines, "", "engines", "number of engines with agents")
	flaggy.String(&f.services, "", "services", "number of plain upstreams")
	flaggy.String(&f.file, "", "file", "run the seeds of this file instead")
	flaggy.Bool(&f.plan, "", "plan", "only print the faults of the seeds")
	flaggy.String(&f.logs, "", "logs", "directory for the logs")
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// A second signal ends this process at once.
	context.AfterFunc(ctx, stop)
	kept, err := f.run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(exitUsage)
	}
	if !kept {
		os.Exit(exitBroken)
	}
}

// run performs all runs that the flags request.
func (f *flags) run(ctx context.Context) (kept bool, err error) {
	runs, err := f.runs()
	if err != nil {
		return false, err
	}
	if f.plan {
		for _, o := range runs {
			fmt.Printf("seed %d\n", o.Seed)
			soaker.Describe(os.Stdout, o.Seed, o.Length)
		}
		return true, nil
	}
	binary := filepath.Join(f.logs, "oriolecroft")
	if out, err := exec.CommandContext(ctx, "go", "build", "-o", binary, "github.com/oriolecroft/oriolecroft/cmd/oriolecroft").CombinedOutput(); err != nil {
		return false, fmt.Errorf("build: %w: %s", err, out)
	}
	kept = true
	for i, o := range runs {
		if ctx.Err() != nil {
			fmt.Printf("interrupted: %d of %d seeds not run\n", len(runs)-i, len(runs))
			return false, nil
		}
		o.Binary = binary
		ok, err := f.runOne(ctx, o)
		if err != nil {
			return false, err
		}
		kept = kept && ok
	}
	return kept, nil
}

// runOne performs one run and logs it to a file.
func (f *flags) runOne(ctx context.Context, o soaker.Options) (bool, error) {
	o.Dir = filepath.Join(f.logs, fmt.Sprintf("seed-%d", o.Seed))
	if err := errors.Join(os.RemoveAll(o.Dir), os.MkdirAll(o.Dir, 0o700)); err != nil {
		return false, err
	}
	log, err := os.Create(filepath.Join(o.Dir, "soak.log"))
	if err != nil {
		return false, err
	}
	defer log.Close()
	o.Out, o.Log = os.Stdout, log
	fmt.Printf("seed %d, %v, %d entries, %d engines, %d services, logs in %s\n", o.Seed, o.Length, o.Entries, o.Engines, o.Services, o.Dir)
	kept, err := soaker.Run(ctx, o)
	fmt.Printf("seed %d: kept %v\n", o.Seed, kept)
	return kept, err
}

// runs lists the runs after checking all their options.
func (f *flags) runs() ([]soaker.Options, error) {
	if f.file != "" {
		return soaker.ReadRuns(f.file)
	}
	first, err := soaker.ParseOptions([5]string{f.seed, f.seconds, f.entries, f.engines, f.services})
	if err != nil {
		return nil, err
	}
	n, err := strconv.ParseUint(f.seeds, 10, 16)
	if err != nil || n == 0 {
		return nil, &soaker.OptionError{Option: "seeds", Problem: fmt.Sprintf("%q is no number above 0", f.seeds)}
	}
	var runs []soaker.Options
	for i := range n {
		o := first
		o.Seed += i
		runs = append(runs, o)
	}
	return runs, nil
}
