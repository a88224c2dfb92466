package main_test

import (
	"errors"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a mistyped flag for which a run silently uses the default and is reported as the
// requested one.
func TestInvalidFlagsAreReportedByName(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "soak")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	must.NoError(t, err, must.Sprintf("%s", out))
	for _, c := range []struct{ flag, text, name string }{
		{"--seed", "x", "seed:"}, {"--seeds", "0", "seeds:"}, {"--seconds", "3", "seconds:"}, {"--seconds", "1m", "seconds:"},
		{"--entries", "0", "entries:"}, {"--engines", "-1", "engines:"}, {"--services", "1", "services:"},
		{"--file", "missing.txt", "missing.txt"}, {"--bogus", "1", "bogus"},
	} {
		out, err := exec.Command(binary, c.flag, c.text).CombinedOutput()
		var exit *exec.ExitError
		must.True(t, errors.As(err, &exit), must.Sprintf("%s %s: %s", c.flag, c.text, out))
		must.Eq(t, 2, exit.ExitCode())
		must.StrContains(t, string(out), c.name)
	}
}
