package connectortest

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// Suspend stops this whole process for as long as a shell script runs, which should sleep for a while: this process
// has to stop before it ends. The files are the script's descriptors 3 and on.
func Suspend(t testing.TB, script string, files ...*os.File) {
	t.Helper()
	c := exec.Command("sh", "-c", fmt.Sprintf("%s; kill -CONT %d", script, os.Getpid()))
	c.ExtraFiles = files
	must.NoError(t, c.Start())
	must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGSTOP))
	must.NoError(t, c.Wait())
}
