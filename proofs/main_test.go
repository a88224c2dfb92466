// Package proofs_test tests the guarantees of docs/PROOFS.md on real processes: entries
// and agents are built once and run on loopback, and are killed, suspended and
// partitioned while the stand-ins of the outside systems count their requests.
package proofs_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binaryPath is the path of the program under test.
var binaryPath string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "proofs")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaryPath = filepath.Join(dir, "oriolecroft")
	if err := build(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

func build() error {
	args := []string{"build", "-o", binaryPath}
	if raceEnabled {
		args = append(args, "-race")
	}
	c := exec.Command("go", append(args, "../cmd/oriolecroft")...)
	c.Stdout, c.Stderr = os.Stderr, os.Stderr
	return c.Run()
}
