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

// The platform may change the settings of a VM whose entry has only just started. Guards
// against a process without a handler for the signal yet, which the signal would end while
// callers already use the entry.
func TestReloadSignalRightAfterStart(t *testing.T) {
	const starts = 8
	for i := range starts {
		ip := loopback(100 + i)
		settings := writeSettings(t, t.TempDir(), "front.toml",
			fmt.Sprintf(settingsText("front-1", ip, netip.MustParseAddrPort("127.0.0.1:1")), fmt.Sprintf(entrySettings, ip)))
		c := exec.CommandContext(t.Context(), binary, "platform", "entry")
		c.Env = append(os.Environ(), "ORIOLECROFT_SETTINGS="+settings)
		must.NoError(t, c.Start())
		waitForListenerBusily(t, ip+":8005")
		must.NoError(t, c.Process.Signal(syscall.SIGHUP))
		time.Sleep(50 * time.Millisecond)
		must.NoError(t, c.Process.Kill())
		// Only the signal that ended it matters.
		_ = c.Wait()
		must.Eq(t, syscall.SIGKILL, c.ProcessState.Sys().(syscall.WaitStatus).Signal(), must.Sprintf("start %d", i))
	}
}

// waitForListenerBusily tries without a pause until a process listens at an address.
func waitForListenerBusily(t *testing.T, address string) {
	t.Helper()
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); {
		if conn, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			conn.Close()
			return
		}
	}
	t.Fatalf("no process listens at %s", address)
}
