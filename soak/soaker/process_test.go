package soaker_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/soak/auditor"
	"github.com/oriolecroft/oriolecroft/soak/soaker"
)

// Guards against a killed process that counts as running before it has ended.
func TestKilledProcessIsHaltedUntilItsEnd(t *testing.T) {
	dir := t.TempDir()
	binary, settings := filepath.Join(dir, "daemon"), filepath.Join(dir, "settings.toml")
	must.NoError(t, os.WriteFile(binary, []byte("#!/bin/sh\nexec sleep 60\n"), 0o700))
	must.NoError(t, os.WriteFile(settings, nil, 0o600))
	events := make(chan auditor.Event, 100)
	p := soaker.NewProcess("entry", binary, settings, filepath.Join(dir, "log"), func(e auditor.Event) { events <- e })
	must.NoError(t, p.Start())
	defer p.End()
	for range 3 {
		must.Eq(t, auditor.Event(auditor.Started{Entry: "entry"}), nextEvent(t, events))
		p.Kill()
		for _, want := range []auditor.Event{
			auditor.FaultStarted{Who: "entry", Halted: true},
			auditor.Exited{Who: "entry"},
			auditor.FaultEnded{Who: "entry"},
		} {
			must.Eq(t, want, nextEvent(t, events))
		}
	}
}

// Guards against a process whose excessive memory use is not measured, also after a restart.
func TestMemoryOfProcessesIsMeasured(t *testing.T) {
	dir := t.TempDir()
	binary, settings := filepath.Join(dir, "daemon"), filepath.Join(dir, "settings.toml")
	const taken, allowed = 64 << 20, 32 << 20
	script := fmt.Sprintf("#!/bin/sh\nexec dd if=/dev/zero of=/dev/null bs=%d\n", taken)
	must.NoError(t, os.WriteFile(binary, []byte(script), 0o700))
	must.NoError(t, os.WriteFile(settings, nil, 0o600))
	events := make(chan auditor.Event, 100)
	p := soaker.NewProcess("agent", binary, settings, filepath.Join(dir, "log"), func(e auditor.Event) { events <- e })
	must.NoError(t, p.Start())
	defer p.End()
	go p.WatchMemory(t.Context(), allowed)
	for range 2 {
		for most := int64(0); most < taken; {
			if m, ok := nextEvent(t, events).(auditor.Measured); ok {
				must.Eq(t, auditor.Measured{Who: "agent", Taken: m.Taken, Allowed: allowed}, m)
				most = m.Taken
			}
		}
		p.Kill()
		for ended := false; !ended; {
			_, ended = nextEvent(t, events).(auditor.Exited)
		}
	}
}

// nextEvent waits for an event.
func nextEvent(t *testing.T, events <-chan auditor.Event) auditor.Event {
	t.Helper()
	select {
	case e := <-events:
		return e
	case <-time.After(10 * time.Second):
		t.Fatal("no event")
		return nil
	}
}
