// Package proofs_test proves the promises of docs/PROOFS.md on real processes:
// entries and agents are built once and run on loopback, and are killed, paused
// and cut off while the stand-ins of the outside systems count what they get.
package proofs_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binary is the program under test.
var binary string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "proofs")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "oriolecroft")
	if err := build(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

func build() error {
	args := []string{"build", "-o", binary}
	if raceEnabled {
		args = append(args, "-race")
	}
	c := exec.Command("go", append(args, "../cmd/oriolecroft")...)
	c.Stdout, c.Stderr = os.Stderr, os.Stderr
	return c.Run()
}
