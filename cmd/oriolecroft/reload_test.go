package main_test

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The platform changes the settings of a VM whose entry has only just started. If the process
// did not expect the signal yet, that would end it: callers that had just been told of the
// entry find nobody there.
func TestSettingsChangeRightAfterTheStart(t *testing.T) {
	const starts = 8
	for i := range starts {
		ip := loopback(100 + i)
		settings := writeSettings(t, t.TempDir(), "front.toml",
			fmt.Sprintf(settingsText("front-1", ip, netip.MustParseAddrPort("127.0.0.1:1")), fmt.Sprintf(entryPart, ip)))
		c := exec.CommandContext(t.Context(), binary, "platform", "entry")
		c.Env = append(os.Environ(), "ORIOLECROFT_SETTINGS="+settings)
		must.NoError(t, c.Start())
		connects(t, ip+":8005")
		must.NoError(t, c.Process.Signal(syscall.SIGHUP))
		time.Sleep(50 * time.Millisecond)
		must.NoError(t, c.Process.Kill())
		// How it ended is what counts.
		_ = c.Wait()
		must.Eq(t, syscall.SIGKILL, c.ProcessState.Sys().(syscall.WaitStatus).Signal(), must.Sprintf("start %d", i))
	}
}

// connects tries without a pause until somebody listens at an address.
func connects(t *testing.T, address string) {
	t.Helper()
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); {
		if conn, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			conn.Close()
			return
		}
	}
	t.Fatalf("nobody listens at %s", address)
}
