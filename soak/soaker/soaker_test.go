package soaker_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/soak/auditor"
	"github.com/oriolecroft/oriolecroft/soak/soaker"
)

// binary is built once for all tests of this package.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(dir, "oriolecroft")
	if out, err := exec.Command("go", "build", "-o", binary, "github.com/oriolecroft/oriolecroft/cmd/oriolecroft").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		os.Exit(1)
	}
	status := m.Run()
	os.RemoveAll(dir)
	os.Exit(status)
}

// options returns the options of a short run. If SOAK_LOGS is set, its logs are kept there.
func options(t *testing.T, out, log *bytes.Buffer) soaker.Options {
	dir := os.Getenv("SOAK_LOGS")
	if dir == "" {
		dir = t.TempDir()
	}
	return soaker.Options{
		Seed: 5, Length: 44 * time.Second, Entries: 3, Engines: 4, Services: 3, Binary: binary, Dir: filepath.Join(dir, t.Name()), Out: out, Log: log,
	}
}

// Guards against combined failures and changes of entries, agents, upstreams and the store that
// occasionally give callers wrong, duplicate or lost answers.
func TestShortSoakKeepsAllPromises(t *testing.T) {
	var out, log bytes.Buffer
	kept, err := soaker.Run(t.Context(), options(t, &out, &log))
	must.NoError(t, err)
	t.Logf("%s", &out)
	must.True(t, kept, must.Sprintf("%s", &log))
	for _, p := range auditor.Promises {
		must.StrNotContains(t, reportLine(out.String(), p), "unchecked")
	}
}

// reportLine returns a promise's line of a report.
func reportLine(report string, p auditor.Promise) string {
	for l := range strings.Lines(report) {
		if strings.HasPrefix(l, string(p)) {
			return l
		}
	}
	return "unchecked: not in the report"
}

// Guards against an interrupted run that leaves processes behind, which would keep their addresses and
// load the machine, or whose report looks like that of a complete run.
func TestInterruptedSoakEndsItsProcesses(t *testing.T) {
	var out, log bytes.Buffer
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	_, err := soaker.Run(ctx, options(t, &out, &log))
	must.NoError(t, err)
	must.StrContains(t, out.String(), "interrupted")
	must.StrContains(t, reportLine(out.String(), auditor.Recovery), "unchecked")
	must.Eq(t, "", children(t))
}

// children lists the child processes of this process.
func children(t *testing.T) string {
	paths, err := filepath.Glob("/proc/self/task/*/children")
	must.NoError(t, err)
	all := ""
	for _, p := range paths {
		text, err := os.ReadFile(p)
		if err == nil {
			all += string(text)
		}
	}
	return all
}

func TestInvalidOptionsAreReportedByName(t *testing.T) {
	good := soaker.Options{Length: time.Minute, Entries: 3, Engines: 6, Services: 3}
	must.NoError(t, good.Check())
	for name, change := range map[string]func(*soaker.Options){
		"seconds":  func(o *soaker.Options) { o.Length = time.Second },
		"entries":  func(o *soaker.Options) { o.Entries = 0 },
		"engines":  func(o *soaker.Options) { o.Engines = -1 },
		"services": func(o *soaker.Options) { o.Services = 1000 },
	} {
		o := good
		change(&o)
		var fault *soaker.OptionError
		must.True(t, errors.As(o.Check(), &fault))
		must.Eq(t, name, fault.Option)
	}
	// Too many connections would exhaust the soak's own descriptors.
	good.Entries, good.Engines = 120, 120
	must.Error(t, good.Check())
}

func TestInvalidSeedFileIsReportedByName(t *testing.T) {
	path := filepath.Join(t.TempDir(), "seeds.txt")
	for text, name := range map[string]string{
		"# none\n1 | 45 | 3 | 6 | 3 | a cause\n": "",
		"x | 45 | 3 | 6 | 3 | a cause\n":         "seed",
		"1 | 45 | 3 | many | 3 | a cause\n":      "engines",
		"1 | 2 | 3 | 6 | 3 | a cause\n":          "seconds",
		"1 | 45 | 3 | 6 | 3 |\n":                 "columns",
	} {
		must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		runs, err := soaker.ReadRuns(path)
		if name == "" {
			must.NoError(t, err)
			must.Len(t, 1, runs)
			continue
		}
		var fault *soaker.OptionError
		must.True(t, errors.As(err, &fault), must.Sprint(text))
		must.Eq(t, name, fault.Option)
	}
}

// Guards against a list of failed seeds that cannot be read, so that they are not rerun.
func TestKeptSeedsAreReadable(t *testing.T) {
	_, err := soaker.ReadRuns("../seeds.txt")
	must.NoError(t, err)
}
