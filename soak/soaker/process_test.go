package soaker_test

import (
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
		must.Eq(t, auditor.Event(auditor.Started{Entry: "entry"}), next(t, events))
		p.Kill()
		for _, want := range []auditor.Event{
			auditor.Disturbed{Who: "entry", Halted: true},
			auditor.Exited{Who: "entry"},
			auditor.Calmed{Who: "entry"},
		} {
			must.Eq(t, want, next(t, events))
		}
	}
}

// next waits for an event.
func next(t *testing.T, events <-chan auditor.Event) auditor.Event {
	t.Helper()
	select {
	case e := <-events:
		return e
	case <-time.After(10 * time.Second):
		t.Fatal("no event")
		return nil
	}
}
