package gossiper_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/publisher"
	"github.com/oriolecroft/oriolecroft/internal/storer"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

const (
	costWarmUp = 8 * time.Second
	costSpan   = 10 * time.Second
)

// costCase describes a deployment on loopback without any requests.
type costCase struct {
	entries    int
	agents     int
	workspaces int
	// changeInterval is the time between two changes; 0 means none.
	changeInterval time.Duration
	// callers is the number of concurrent booking callers; 0 means none.
	callers int
}

// usage is the resource usage of a process since its start.
type usage struct {
	cpu   time.Duration
	bytes float64 // read and written, on all sockets
	rss   float64
}

// BenchmarkControlCost measures what the real daemons spend on control alone:
// the means over the entries and over the agents, in hundredths of a core,
// resident megabytes and kilobytes read and written per second.
func BenchmarkControlCost(b *testing.B) {
	bin := b.TempDir()
	build := exec.CommandContext(b.Context(), "go", "build", "-o", bin+"/", "../../cmd/oriolecroft", "../../standins")
	out, err := build.CombinedOutput()
	must.NoError(b, err, must.Sprint(string(out)))
	for _, c := range []costCase{
		{entries: 3, agents: 36, workspaces: 10},
		{entries: 9, agents: 36, workspaces: 10},
		{entries: 18, agents: 36, workspaces: 10},
		{entries: 9, agents: 9, workspaces: 10},
		{entries: 9, agents: 108, workspaces: 10},
		{entries: 9, agents: 36, workspaces: 200},
		{entries: 9, agents: 36, workspaces: 10, changeInterval: time.Second},
		{entries: 9, agents: 36, workspaces: 200, changeInterval: time.Second},
		{entries: 9, agents: 36, workspaces: 10, callers: 16},
	} {
		b.Run(fmt.Sprintf("entries=%d/agents=%d/workspaces=%d/every=%v/callers=%d", c.entries, c.agents, c.workspaces, c.changeInterval, c.callers), func(b *testing.B) {
			for b.Loop() {
				runCost(b, bin, c)
			}
		})
	}
}

func runCost(b *testing.B, bin string, c costCase) {
	d := &deployment{b: b, bin: bin, ports: freePorts(b, 2+3*c.entries+c.agents)}
	defer d.stop()
	d.startAll(c)
	d.publish(c, 1)
	sleep(costWarmUp)
	d.startCallers(c)
	started := time.Now()
	before, runsBefore := d.usages(), d.bookingRuns()
	revision := uint64(1)
	for time.Since(started) < costSpan {
		if c.changeInterval == 0 {
			sleep(costSpan)
			break
		}
		revision++
		d.publish(c, revision)
		sleep(c.changeInterval - time.Since(started)%c.changeInterval)
	}
	span, after := time.Since(started), d.usages()
	b.ReportMetric((d.bookingRuns()-runsBefore)/span.Seconds(), "bookings/s")
	d.report("entry", span, before[:c.entries], after[:c.entries])
	d.report("agent", span, before[c.entries:], after[c.entries:])
}

// sleep waits in real time, in which the daemons are measured.
func sleep(d time.Duration) { <-time.After(d) }

// deployment is a set of real processes. Among the daemons, entries come first.
type deployment struct {
	b        *testing.B
	bin      string
	ports    []netip.AddrPort
	standIns []*exec.Cmd
	daemons  []*exec.Cmd
}

func freePorts(b *testing.B, n int) []netip.AddrPort {
	var ports []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(b, err)
		defer l.Close()
		ports = append(ports, netip.MustParseAddrPort(l.Addr().String()))
	}
	return ports
}

func (d *deployment) start(name string, args ...string) *exec.Cmd {
	c := exec.Command(filepath.Join(d.bin, name), args...)
	must.NoError(d.b, c.Start())
	return c
}

func (d *deployment) startAll(c costCase) {
	store, service := d.ports[0], d.ports[1]
	keys := strings.Join(keyring().Keys[:1], ",")
	d.standIns = append(d.standIns,
		d.start("standins", "kv", "--listen", store.String()),
		d.start("standins", "service", "--listen", service.String()))
	var seeds []string
	for i := range c.entries {
		seeds = append(seeds, d.ports[3+3*i].String())
	}
	sleep(300 * time.Millisecond)
	for i := range c.entries {
		p := d.ports[2+3*i:]
		d.daemons = append(d.daemons, d.start("oriolecroft", "entry", "--id", fmt.Sprintf("entry-%d", i),
			"--failureDomain", "huon-a", "--region", "huon", "--callers", p[0].String(), "--peers", p[1].String(),
			"--operators", p[2].String(), "--store", store.String(), "--seeds", strings.Join(seeds, ","),
			"--entries", strconv.Itoa(c.entries), "--keys", keys))
	}
	for i := range c.agents {
		d.daemons = append(d.daemons, d.start("oriolecroft", "agent", "--id", fmt.Sprintf("vm-%d", i),
			"--failureDomain", "huon-a", "--region", "huon", "--listen", d.ports[2+3*c.entries+i].String(),
			"--entrySeeds", strings.Join(seeds, ","), "--service", "bookings", "--serviceAddress", service.String(), "--keys", keys))
	}
}

// startCallers starts callers that run until the deployment is stopped.
func (d *deployment) startCallers(c costCase) {
	if c.callers == 0 {
		return
	}
	var entries []string
	for i := range c.entries {
		entries = append(entries, d.ports[2+3*i].String())
	}
	d.standIns = append(d.standIns, d.start("standins", "caller", "--entries", strings.Join(entries, ","), "--bookings", "1",
		"--workspace", "workspace-0", "--service", "bookings", "--concurrency", strconv.Itoa(c.callers), "--duration", "1m"))
	sleep(2 * time.Second)
}

// bookingRuns returns how many bookings the service has run.
func (d *deployment) bookingRuns() float64 {
	res, err := http.Get("http://" + d.ports[1].String() + "/admin/counts")
	must.NoError(d.b, err)
	defer res.Body.Close()
	var counts struct {
		Runs float64 `json:"runs"`
	}
	must.NoError(d.b, json.NewDecoder(res.Body).Decode(&counts))
	return counts.Runs
}

func (d *deployment) publish(c costCase, revision uint64) {
	bundle := &bundler.Bundle{
		Revision:       revision,
		ChangeID:       fmt.Sprint(revision),
		FailureDomains: []bundler.FailureDomain{{Name: "huon-a", Region: "huon"}},
		Services:       []bundler.Service{{Name: "bookings"}},
	}
	for i := range c.workspaces {
		bundle.Workspaces = append(bundle.Workspaces, bundler.Workspace{
			Name:     fmt.Sprintf("workspace-%d", i),
			Services: []string{"bookings"},
			Limits:   bundler.Limits{RequestsPerSecond: 5000, Concurrent: 2000},
		})
	}
	payload, err := bundle.Encode()
	must.NoError(d.b, err)
	r := &bundler.Record{Payload: payload}
	must.NoError(d.b, r.Sign(operators[0]))
	encoded, err := r.Encode()
	must.NoError(d.b, err)
	d.b.ReportMetric(float64(len(encoded))/1000, "record-kB")
	p := &publisher.Publisher{Store: &storer.HTTP{Address: d.ports[0]}, Keyring: bundler.Keyring{Keys: keyring().Keys[:1], Threshold: 1}}
	_, err = p.Publish(d.b.Context(), r)
	must.NoError(d.b, err)
}

func (d *deployment) stop() {
	for _, c := range append(d.daemons, d.standIns...) {
		_ = c.Process.Signal(syscall.SIGKILL)
		_ = c.Wait()
	}
}

func (d *deployment) usages() []usage {
	var us []usage
	for _, c := range d.daemons {
		us = append(us, d.usage(c.Process.Pid))
	}
	return us
}

// usage reads the figures from /proc; a clock tick is 10 ms on Linux.
func (d *deployment) usage(pid int) usage {
	read := func(name string) string {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, name))
		must.NoError(d.b, err)
		return string(bytes.TrimSpace(data))
	}
	stat := read("stat")
	f := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	var u usage
	u.cpu = time.Duration(number(f[11])+number(f[12])) * 10 * time.Millisecond
	for line := range strings.Lines(read("io")) {
		if strings.HasPrefix(line, "rchar:") || strings.HasPrefix(line, "wchar:") {
			u.bytes += number(strings.Fields(line)[1])
		}
	}
	for line := range strings.Lines(read("status")) {
		if strings.HasPrefix(line, "VmRSS:") {
			u.rss = number(strings.Fields(line)[1]) * 1024
		}
	}
	return u
}

func number(s string) float64 {
	n, _ := strconv.ParseFloat(s, 64)
	return n
}

// report reports the means over the processes of a role.
func (d *deployment) report(role string, span time.Duration, before, after []usage) {
	var cpu, sent, rss float64
	for i := range after {
		cpu += (after[i].cpu - before[i].cpu).Seconds() / span.Seconds()
		sent += (after[i].bytes - before[i].bytes) / span.Seconds()
		rss += after[i].rss
	}
	n := float64(len(after))
	d.b.ReportMetric(100*cpu/n, role+"-%core")
	d.b.ReportMetric(sent/n/1000, role+"-kB/s")
	d.b.ReportMetric(rss/n/1e6, role+"-MB")
}
