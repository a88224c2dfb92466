package scheduler_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets rapid's seed, so that every run checks the same cases.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
