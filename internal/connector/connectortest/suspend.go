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

// Suspend stops this whole process for as long as a shell script runs, which should sleep for a while: this process
// has to stop before it ends. The files are the script's descriptors 3 and on. It returns when the process stopped: what
// was due before then tells nothing.
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
