package main_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/platform/standin"
)

const (
	// oddRecordInterval is the pause between two odd records.
	oddRecordInterval = 30 * time.Millisecond
	// followTimeout is how long a change of the upstreams may take to be in use everywhere.
	followTimeout = 10 * time.Second
	// callersPerPath is how many callers send requests with a path to each entry.
	callersPerPath = 2
	// futureStart is how far in the future the start of a record is that is sound otherwise.
	futureStart = 30 * 24 * time.Hour
	// settledFor is how long requests are watched after a change.
	settledFor = 1500 * time.Millisecond
)

// oddStart is the start that odd records state, in Unix milliseconds.
const oddStart = 1790000000123

// oddRecord is a record of another writer with all fields.
func oddRecord(service, address string, startedAt time.Time) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":16,"state":"ready","cold_remaining_ms":0,`+
		`"models":[{"name":"m","version":1,"adapters":[]}],"sequence":4,"born":%d}`, service, address, startedAt.UnixMilli())
}

// oddRecords are records of another writer for a service, each for a key of its own. Those with an impossible field would
// otherwise be sound at the address.
func oddRecords(service, address string) []string {
	host, _, _ := strings.Cut(address, ":")
	nested := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	record := func(changes ...string) string {
		return strings.NewReplacer(changes...).Replace(oddRecord(service, address, time.UnixMilli(oddStart)))
	}
	return []string{
		"", "{", "\xff\x00", nested, record(`"v1"`, nested), record(`"born"`, `"more":`+nested+`,"born"`),
		record(address, host+":65536"), record(address, host+":0"), record(address, host+":-1"), record(address, "0.0.0.0:8080"),
		record(`"slots":16`, `"slots":9223372036854775807`), record(`"slots":16`, `"slots":1e400`), record(`"slots":16`, `"slots":-1`),
		record(`"slots":16`, `"slots":null`), record(`"slots":16,`, ``),
		record(`"cold_remaining_ms":0`, `"cold_remaining_ms":1e308`), record(`"cold_remaining_ms":0`, `"cold_remaining_ms":-1e308`), record(`"cold_remaining_ms":0,`, ``),
		record(`"sequence":4`, `"sequence":18446744073709551616`), record(`"sequence":4`, `"sequence":"4"`),
		record(`1790000000123`, `253402300800000`), record(`1790000000123`, `9223372036854775807`), record(`1790000000123`, `1e30`), record(`1790000000123`, `-1`),
		record(`"ready"`, `"resting"`), record(`"zone":"a"`, `"zone":3`),
	}
}

// oddRecordsDeployment is entries and agents with engines and plain upstreams.
type oddRecordsDeployment struct {
	store   *standin.Store
	entries []netip.AddrPort
	// daemons have logs of the same index.
	daemons  []*exec.Cmd
	logs     []string
	ended    atomic.Int32
	requests atomic.Int64

	mu sync.Mutex
	// served counts the replies by upstream, and failed lists the replies to callers that weren't complete and successful.
	served map[string]int
	failed []string
}

func (*oddRecordsDeployment) Arrived(standin.Arrival)                {}
func (*oddRecordsDeployment) Rejected(string, string, time.Duration) {}
func (*oddRecordsDeployment) Began(string, string, uint64, bool)     {}
func (*oddRecordsDeployment) Ended(string, string, bool, int)        {}
func (*oddRecordsDeployment) Failed(string, string)                  {}
func (*oddRecordsDeployment) Flooded(string, string, int)            {}
func (*oddRecordsDeployment) Unread(string, string)                  {}

// startDaemon runs a daemon until the test ends, and counts it if it ends earlier.
func (d *oddRecordsDeployment) startDaemon(t *testing.T, role, name, ip, part, seeds string) {
	t.Helper()
	dir := t.TempDir()
	text := fmt.Sprintf(settingsText(name, ip, d.store.Address()), part)
	text = strings.Replace(text, fmt.Sprintf("seeds = [%q]", ip+":8000"), "seeds = ["+seeds+"]", 1)
	log, err := os.Create(filepath.Join(dir, "log"))
	must.NoError(t, err)
	defer log.Close()
	c := exec.CommandContext(t.Context(), binary, "platform", role)
	c.Env = append(os.Environ(), "ORIOLECROFT_SETTINGS="+writeSettings(t, dir, "settings.toml", text))
	c.Stdout, c.Stderr = log, log
	must.NoError(t, c.Start())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = c.Wait()
		d.ended.Add(1)
	}()
	t.Cleanup(func() {
		<-ended
		if !t.Failed() {
			return
		}
		out, err := os.ReadFile(log.Name())
		t.Logf("%s %s %v", name, out, err)
	})
	d.daemons, d.logs = append(d.daemons, c), append(d.logs, log.Name())
	waitForListener(t, ip+":9464")
}

// startUpstream registers an upstream until the test ends.
func (d *oddRecordsDeployment) startUpstream(t *testing.T, u *standin.Upstream) *standin.Upstream {
	t.Helper()
	l, err := standin.Listen(u.Address)
	must.NoError(t, err)
	u.Observer, u.Store, u.Heartbeat, u.BreakOff = d, d.store, 500*time.Millisecond, &atomic.Int32{}
	u.Start(l, 0)
	t.Cleanup(u.Stop)
	return u
}

func (d *oddRecordsDeployment) startPlain(t *testing.T, id string) *standin.Upstream {
	t.Helper()
	address := netip.MustParseAddrPort(freshLoopback() + ":8080")
	return d.startUpstream(t, standin.NewService(standin.Record{ID: id, Service: "desk", Address: address, FailureDomain: "a", Slots: 16, StartedAt: time.Now()}, 10*time.Millisecond))
}

// startEngine starts an engine and its agent.
func (d *oddRecordsDeployment) startEngine(t *testing.T, id, seeds string) *standin.Upstream {
	t.Helper()
	ip := freshLoopback()
	address := netip.MustParseAddrPort(ip + ":8080")
	figures := standin.EngineFigures{Model: "m", Slots: 16, Step: 2 * time.Millisecond, ReadPerSecond: 20000}
	u := d.startUpstream(t, standin.NewEngine(standin.Record{ID: id, Service: "llm", Address: address, FailureDomain: "a"}, figures, nil, &standin.Staged{}, 1).Upstream)
	d.startDaemon(t, "agent", "side-"+id, ip, "app = \""+address.String()+"\"\nservice = \"llm\"", seeds)
	return u
}

// call sends an entry a request on a connection of its own.
func (d *oddRecordsDeployment) call(ctx context.Context, entry netip.AddrPort, path string) standin.Reply {
	q := &standin.Request{ID: fmt.Sprintf("%016x", d.requests.Add(1)), Host: "h", Path: path, Limit: 6 * time.Second}
	if path == draftPath {
		q.Model, q.Prompt, q.Events = "m", 200, 8
	}
	c, err := standin.Dial(ctx, entry)
	if err != nil {
		return standin.Reply{}
	}
	defer c.Close()
	return c.Send(q)
}

const (
	deskPath  = "/desk/"
	draftPath = "/draft/"
)

// callAll sends requests of both kinds to all entries until the context ends.
func (d *oddRecordsDeployment) callAll(ctx context.Context) *sync.WaitGroup {
	var all sync.WaitGroup
	for _, entry := range d.entries {
		for n := range 2 * callersPerPath {
			path := []string{deskPath, draftPath}[n%2]
			all.Go(func() {
				for ctx.Err() == nil {
					// A request is not given up as the load ends.
					r := d.call(context.Background(), entry, path)
					d.mu.Lock()
					if r.Status == 200 && r.Whole && !r.Forged && !r.WrongBody {
						d.served[r.Upstream]++
					} else {
						d.failed = append(d.failed, fmt.Sprintf("%s: status %d, whole %v", path, r.Status, r.Whole))
					}
					d.mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	return &all
}

// servedBy returns how many requests an upstream has served.
func (d *oddRecordsDeployment) servedBy(u *standin.Upstream) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.served[u.ID]
}

// mustLog waits until all daemons have logged a line with both texts.
func (d *oddRecordsDeployment) mustLog(t *testing.T, text, key string) {
	t.Helper()
	mustLogTo(t, d.logs, text, key)
}

func mustLogTo(t *testing.T, logs []string, text, key string) {
	t.Helper()
	deadline := time.Now().Add(followTimeout)
	for _, log := range logs {
		for !strings.Contains(readLines(t, log, text), key) {
			must.True(t, time.Now().Before(deadline), must.Sprint(log, text, key))
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// readLines returns the lines of a file with a text.
func readLines(t *testing.T, file, text string) string {
	t.Helper()
	data, err := os.ReadFile(file)
	must.NoError(t, err)
	var lines strings.Builder
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) {
			lines.WriteString(line)
		}
	}
	return lines.String()
}

func startOddRecordsDeployment(t *testing.T) *oddRecordsDeployment {
	t.Helper()
	d := &oddRecordsDeployment{store: standin.NewStore(), served: map[string]int{}}
	t.Cleanup(d.store.Close)
	d.store.PutBytes("op/config", []byte(`{"version":7,"routes":[
		{"name":"desk","host":"h","path_prefix":"/desk/","kind":"idempotent","public":true,"timeout_ms":6000,"target_latency_ms":500,"max_attempts":2,"service":"desk"},
		{"name":"draft","host":"h","path_prefix":"/draft/","kind":"streaming","public":true,"resume_streams":true,"sticky_sessions":true,
		"timeout_ms":6000,"target_latency_ms":1000,"max_attempts":2,"service":"llm"}],
		"services":[{"name":"desk"},{"name":"llm","engine":{"slots":16,"stride":1,"step_ms":2,"read_per_s":20000,"chunk":512,"usual":{"prompt":200,"answer":8},"models":[{"name":"m"}]}}]}`))
	d.store.PutBytes("op/version/m", []byte(`{"model":"m","version":1}`))
	return d
}

// startEntries starts two entries and returns their addresses as seeds.
func (d *oddRecordsDeployment) startEntries(t *testing.T) (seeds string) {
	t.Helper()
	ips := []string{freshLoopback(), freshLoopback()}
	seeds = fmt.Sprintf("%q,%q", ips[0]+":8000", ips[1]+":8000")
	for i, ip := range ips {
		d.startDaemon(t, "entry", fmt.Sprintf("front-%d", i), ip, fmt.Sprintf(entrySettings, ip), seeds)
		d.entries = append(d.entries, netip.MustParseAddrPort(ip+":8005"))
	}
	return seeds
}

// listenForStrays accepts connections at an address of no upstream and counts them.
func listenForStrays(t *testing.T) (address string, strays *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", freshLoopback()+":8080")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	strays = &atomic.Int32{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			strays.Add(1)
			conn.Close()
		}
	}()
	return l.Addr().String(), strays
}

// Guards against odd records of another writer that end the processes, stop them from following the upstreams, or get requests.
func TestOddUpstreamRecordsLeaveTheOthersInUse(t *testing.T) {
	t.Parallel()
	d := startOddRecordsDeployment(t)
	seeds := d.startEntries(t)
	leaver, stayer := d.startPlain(t, "i-leaver"), d.startPlain(t, "i-stayer")
	engines := []*standin.Upstream{d.startEngine(t, "i-engine0", seeds), d.startEngine(t, "i-engine1", seeds)}
	deadline := time.Now().Add(20 * time.Second)
	for _, entry := range d.entries {
		for d.call(t.Context(), entry, deskPath).Status != 200 || d.call(t.Context(), entry, draftPath).Status != 200 {
			must.True(t, time.Now().Before(deadline))
			time.Sleep(20 * time.Millisecond)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	callers := d.callAll(ctx)
	time.Sleep(500 * time.Millisecond)

	strayAddress, strays := listenForStrays(t)
	written := 0
	for _, target := range []struct{ service, address string }{
		{"desk", strayAddress}, {"llm", strayAddress}, {"desk", stayer.Address.String()}, {"llm", engines[0].Address.String()},
	} {
		for _, text := range oddRecords(target.service, target.address) {
			d.store.PutBytes(fmt.Sprintf("servers/i-odd%d", written), []byte(text))
			written++
			time.Sleep(oddRecordInterval)
		}
	}
	d.store.PutBytes(fmt.Sprintf("servers/i-odd%d", written), []byte(oddRecord("desk", stayer.Address.String(), time.Now().Add(futureStart))))
	d.mustLog(t, `"Upstream updated"`, fmt.Sprintf(`"i-odd%d"`, written))
	added, addedEngine := d.startPlain(t, "i-added"), d.startEngine(t, "i-engine2", seeds)
	d.mustLog(t, `"Upstream updated"`, `"i-engine2"`)
	mustLogTo(t, d.logs[len(d.logs)-1:], `"Engine opened"`, `"side-i-engine2"`)
	// The entries need not use an engine for as long as the others are free, so these leave.
	leavers := []*standin.Upstream{leaver, engines[0], engines[1]}
	for _, u := range leavers {
		u.Deregister()
		d.mustLog(t, `"Upstream gone"`, fmt.Sprintf("%q", u.ID))
	}
	for _, u := range []*standin.Upstream{added, addedEngine} {
		deadline := time.Now().Add(followTimeout)
		for d.servedBy(u) == 0 {
			must.True(t, time.Now().Before(deadline), must.Sprint(u.ID))
			time.Sleep(20 * time.Millisecond)
		}
	}
	before := map[*standin.Upstream]int{}
	for _, u := range leavers {
		before[u] = d.servedBy(u)
	}
	servedBefore := d.servedBy(stayer)
	time.Sleep(settledFor)
	cancel()
	callers.Wait()

	t.Logf("served %v, failed %v, %d strays", d.served, d.failed, strays.Load())
	must.Zero(t, d.ended.Load())
	must.SliceEmpty(t, d.failed)
	for _, u := range leavers {
		must.LessEq(t, before[u]+len(d.entries)*callersPerPath, d.servedBy(u), must.Sprint(u.ID, ": requests under way at most"))
	}
	must.Greater(t, servedBefore, d.servedBy(stayer))
	must.Zero(t, strays.Load())
	for _, log := range d.logs {
		must.StrContains(t, readLines(t, log, `"Failed to decode record"`), fmt.Sprintf(`"servers/i-odd%d"`, written-1))
		must.Eq(t, "", readLines(t, log, `"Upstream replaced"`))
	}
}
