package main_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/surveyor"
	"github.com/oriolecroft/oriolecroft/platform/standin"
)

// settingsText returns a valid settings file with a verb for its role's settings.
func settingsText(name, ip string, store netip.AddrPort) string {
	return fmt.Sprintf(`node_name = %[1]q
ip = %[2]q
zone = "a"
region = "r"
internal_port_range = [7700,7715]
seeds = ["%[2]s:8000"]
`, name, ip) + "%s" + fmt.Sprintf(`
[zones]
a = "r"
[limits]
link_mbps = 8.0
[bounds]
drain_ms = 2000
grace_s = 8
version_ms = 8000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 106
cold_over = 1.5
cold_slack = 5
[platform]
address = %q
ttl_min_ms = 1000
`, store)
}

const entrySettings = `[listen]
front = "%[1]s:8005"
ready = "%[1]s:8002"
control = "%[1]s:8000"
directory = "%[1]s:8009"
`

func writeSettings(t *testing.T, dir, file, text string) string {
	t.Helper()
	path := filepath.Join(dir, file)
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against a check that stops at the first fault. An operator would have to start the
// daemon once for each fault, and some of them only show under load.
func TestSettingsCheckReportsAllFaults(t *testing.T) {
	dir, store := t.TempDir(), netip.MustParseAddrPort("127.0.0.1:8007")
	sound := fmt.Sprintf(settingsText("front-1", "127.0.0.91", store), fmt.Sprintf(entrySettings, "127.0.0.91"))
	out, status := command(t, dir, "platform", "check", writeSettings(t, dir, "sound.toml", sound))
	must.Eq(t, 0, status, must.Sprint(out))
	must.StrContains(t, out, "entry front-1")

	faulty := strings.NewReplacer(`ip = "127.0.0.91"`, `ip = "here"`, `"front-1"`, `7`, `grace_s = 8`, `grace_s = "long"`,
		`cold_slack = 5`, `cold_slack = -5`, `ready = "127.0.0.91:8002"`, ``, `[7700,7715]`, `7700`, `a = "r"`, `a = "s"`).Replace(sound)
	out, status = command(t, dir, "platform", "check", writeSettings(t, dir, "faulty.toml", faulty))
	must.Eq(t, 2, status, must.Sprint(out))
	for _, field := range []string{"ip:", "node_name:", "bounds.grace_s:", "bounds.cold_slack:", "listen.ready:", "internal_port_range:", "zones:"} {
		must.StrContains(t, out, field)
	}
	must.StrContains(t, out, "7 faults")

	agent := fmt.Sprintf(settingsText("side-1", "127.0.0.92", store), `app = "127.0.0.92:8080"`)
	out, status = command(t, dir, "platform", "check", writeSettings(t, dir, "agent.toml", agent))
	must.Eq(t, 2, status)
	must.StrContains(t, out, "service: missing")

	_, status = command(t, dir, "platform", "check", "none.toml")
	must.Eq(t, 1, status)
	_, status = command(t, dir, "platform", "check", writeSettings(t, dir, "no.toml", "ip ="))
	must.Eq(t, 2, status)
}

func TestStatusWithoutAnswers(t *testing.T) {
	out, status := command(t, t.TempDir(), "platform", "status")
	must.Eq(t, 2, status, must.Sprint(out))
	must.StrContains(t, out, "--vms")
	out, status = command(t, t.TempDir(), "platform", "status", "--vms", "here")
	must.Eq(t, 2, status)
	must.StrContains(t, out, "here")
	out, status = command(t, t.TempDir(), "platform", "status", "--vms", "127.0.0.1:1")
	must.Eq(t, 6, status)
	must.StrContains(t, out, "no answer")
}

// loopback returns an address that no other run of these tests uses, as the ports are fixed.
func loopback(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, n)
}

// startDaemon runs a daemon of the platform until the test ends.
func startDaemon(t *testing.T, role, settings string) {
	t.Helper()
	c := exec.CommandContext(t.Context(), binary, "platform", role)
	c.Env = append(os.Environ(), "ORIOLECROFT_SETTINGS="+settings)
	must.NoError(t, c.Start())
	t.Cleanup(func() { _ = c.Wait() })
}

// The status of a deployment, found by the settings file and the store alone, shows a sound
// entry and an agent whose engine does not answer.
func TestStatusOfARunningDeployment(t *testing.T) {
	store := standin.NewStore()
	t.Cleanup(store.Close)
	store.PutBytes("op/config", []byte(`{"version":7,"routes":[],"services":[{"name":"llm","engine":{"slots":16,"models":[{"name":"m"}]}}]}`))
	store.PutBytes("op/version/m", []byte(`{"model":"m","version":3}`))
	frontIP, sideIP := loopback(1), loopback(2)
	store.PutBytes("servers/i-1", fmt.Appendf(nil, `{"service":"llm","address":"%s:8080","zone":"a","version":"v1","slots":16,"state":"ready","cold_remaining_ms":0,"sequence":1}`, sideIP))
	dir := t.TempDir()
	front := writeSettings(t, dir, "front.toml", fmt.Sprintf(settingsText("front-1", frontIP, store.Address()), fmt.Sprintf(entrySettings, frontIP)))
	side := writeSettings(t, dir, "side.toml", fmt.Sprintf(settingsText("side-1", sideIP, store.Address()), "app = \""+sideIP+":8080\"\nservice = \"llm\""))
	startDaemon(t, "entry", front)
	startDaemon(t, "agent", side)
	waitForListener(t, frontIP+":9464")
	waitForListener(t, sideIP+":9464")
	t.Setenv("ORIOLECROFT_SETTINGS", front)

	var ps []surveyor.Process
	deadline := time.Now().Add(20 * time.Second)
	for len(ps) != 2 || len(ps[0].Faults) > 0 || ps[1].Status == nil || ps[1].Status.Upstreams == 0 {
		must.True(t, time.Now().Before(deadline), must.Sprintf("%+v", ps))
		out, _ := command(t, dir, "platform", "status", "--json")
		ps = nil
		// Until both are in the store the output may be an error's text.
		_ = json.NewDecoder(strings.NewReader(out)).Decode(&ps)
	}
	must.Eq(t, "front-1", ps[0].Status.VM)
	must.Eq(t, 7, ps[0].Status.TableVersion)
	must.Eq(t, 3, ps[0].Status.Weights["m"])
	must.Eq(t, "agent", ps[1].Status.Role)

	out, status := command(t, dir, "platform", "status")
	must.Eq(t, 6, status, must.Sprint(out))
	for _, text := range []string{"front-1", "m:3", "side-1", "m:0/3", "engine closed: engine does not answer", "1 of 2 processes"} {
		must.StrContains(t, out, text)
	}
}

// waitForListener waits until a process listens at an address.
func waitForListener(t *testing.T, address string) {
	t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			conn.Close()
			return
		}
		must.True(t, time.Now().Before(deadline), must.Sprint(err))
		time.Sleep(50 * time.Millisecond)
	}
}
