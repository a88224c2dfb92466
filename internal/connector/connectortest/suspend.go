package connectortest

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Suspend suspends this whole process while a shell script runs, which should sleep for a while: this process has to be
// suspended before it ends. The files are the script's descriptors from 3 on. It returns the time of the suspension:
// timers that expired earlier prove nothing.
func Suspend(t testing.TB, script string, files ...*os.File) (stopped time.Time) {
	t.Helper()
	c := exec.Command("sh", "-c", fmt.Sprintf("%s; kill -CONT %d", script, os.Getpid()))
	c.ExtraFiles = files
	must.NoError(t, c.Start())
	stopped = time.Now()
	must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGSTOP))
	must.NoError(t, c.Wait())
	return stopped
}
