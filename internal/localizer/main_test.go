package localizer_test

import (
	"io"
	"os"
	"testing"

	"github.com/oriolecroft/oriolecroft/internal/logger"
)

// TestMain discards the log, to which each of dozens of entries writes a line per blame.
func TestMain(m *testing.M) {
	logger.Install(io.Discard)
	os.Exit(m.Run())
}
