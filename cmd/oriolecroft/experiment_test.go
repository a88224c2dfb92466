package main_test

import (
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// Plays each load of the repository. The same seed must print the same.
func TestExperimentIsReproducible(t *testing.T) {
	loads, err := filepath.Glob(filepath.Join("..", "..", "experiments", "*.toml"))
	must.NoError(t, err)
	must.SliceNotEmpty(t, loads)
	for _, load := range loads {
		path, err := filepath.Abs(load)
		must.NoError(t, err)
		first, status := command(t, t.TempDir(), "experiment", "--load", path, "--seeds", "1")
		must.Eq(t, 0, status)
		must.StrContains(t, first, "failure domain")
		must.StrNotContains(t, first, "Place asked", must.Sprint("log lines are left out"))
		again, _ := command(t, t.TempDir(), "experiment", "--load", path, "--seeds", "1")
		must.Eq(t, first, again)
	}
}

func TestExperimentWithoutLoad(t *testing.T) {
	_, status := command(t, t.TempDir(), "experiment")
	must.Eq(t, 2, status)
	_, status = command(t, t.TempDir(), "experiment", "--load", "missing.toml")
	must.Eq(t, 2, status)
}

func TestExperimentRefusesUnknownMechanisms(t *testing.T) {
	path, err := filepath.Abs(filepath.Join("..", "..", "experiments", "base.toml"))
	must.NoError(t, err)
	for _, flag := range []string{"--without", "--ablate"} {
		out, status := command(t, t.TempDir(), "experiment", "--load", path, flag, "teleport")
		must.Eq(t, 2, status)
		must.StrContains(t, out, "teleport")
		must.StrContains(t, out, "slotLimit")
	}
}

func TestExperimentComparesMechanisms(t *testing.T) {
	path, err := filepath.Abs(filepath.Join("..", "..", "experiments", "base.toml"))
	must.NoError(t, err)
	dir := t.TempDir()
	chart := filepath.Join(dir, "chart.svg")
	out, status := command(t, dir, "experiment", "--load", path, "--ablate", "locality", "--ablate", "slotLimit", "--seeds", "2", "--chart", chart)
	must.Eq(t, 0, status)
	must.StrContains(t, out, "all on")
	must.StrContains(t, out, "slotLimit")
	must.FileExists(t, chart)
}
