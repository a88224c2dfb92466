package main_test

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	main "github.com/oriolecroft/oriolecroft/cmd/oriolecroft"
	"github.com/oriolecroft/oriolecroft/internal/stager"
	"github.com/oriolecroft/oriolecroft/internal/syncer"
	"github.com/oriolecroft/oriolecroft/internal/timekeeper"
	"github.com/oriolecroft/oriolecroft/platform"
	"github.com/oriolecroft/oriolecroft/platform/standin"
)

// Guards against services of a daemon that measure ages by the monotonic clock, which does
// not advance while the VM is suspended. After a suspension their outdated information would
// look fresh: callers would get replies from replaced weights, or be denied added routes.
func TestDaemonAgesIncludeSuspendedTime(t *testing.T) {
	store := standin.NewStore()
	t.Cleanup(store.Close)
	entryIP, agentIP := freshLoopback(), freshLoopback()
	roles := []struct{ name, ip, part string }{
		{"entry", entryIP, fmt.Sprintf(entrySettings, entryIP)},
		{"agent", agentIP, "app = \"" + agentIP + ":8080\"\nservice = \"llm\""},
	}
	for _, r := range roles {
		t.Run(r.name, func(t *testing.T) {
			text := fmt.Sprintf(settingsText(r.name+"-1", r.ip, store.Address()), r.part)
			t.Setenv(platform.SettingsVariable, writeSettings(t, t.TempDir(), "settings.toml", text))
			services, reg, err := main.Services(t.Context(), r.name)
			must.NoError(t, err)
			mustCountSuspendedTime(t, reg.Clock)
			checked := 0
			for _, service := range services {
				switch p := service.(type) {
				case *syncer.Syncer:
					mustCountSuspendedTime(t, p.Clock)
					checked++
				case *syncer.Registration:
					mustCountSuspendedTime(t, p.Clock)
					checked++
				case *stager.Stager:
					mustCountSuspendedTime(t, p.Clock)
					mustCountSuspendedTime(t, p.Ledger.Clock)
					checked++
				}
			}
			want := map[string]int{"entry": 2, "agent": 2}
			must.Eq(t, want[r.name], checked, must.Sprint("services that measure ages"))
		})
	}
}

// Loopback hosts from firstFreshHost on, freshHosts of them, are used in turn.
const (
	firstFreshHost = 11
	freshHosts     = 200
)

var freshHostsUsed atomic.Int32

// freshLoopback returns an address on which no process of an earlier run still listens.
func freshLoopback() string { return loopback(firstFreshHost + int(freshHostsUsed.Add(1))%freshHosts) }

// mustCountSuspendedTime checks that a clock counts suspended time.
func mustCountSuspendedTime(t *testing.T, c clock.PassiveClock) {
	t.Helper()
	_, ok := c.(*timekeeper.Clock)
	must.True(t, ok, must.Sprintf("%T", c))
}
