//go:build review

// Package bed runs a small deployment for the cases of the review: the project's own store stand-in,
// entries as separate processes, replicas as separate processes, and callers.
package bed

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oriolecroft/oriolecroft/platform/standin"
)

// Exit codes of a case.
const (
	Held    = 0
	Broken  = 1
	CantRun = 2
)

// Zone is a zone with its region.
type Zone struct{ Name, Region string }

// Zones are those of the small sites.
var Zones = []Zone{{"kalamaria", "thessaloniki"}, {"heraklion", "crete"}, {"ialysos", "rhodes"}}

// Bed is a running deployment.
type Bed struct {
	Store *standin.Store
	Dir   string
	// Target is the folder with the built programs.
	Target string
	base   netip.Addr
	next   netip.Addr

	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	started time.Time
	procs   []*Process
}

// New starts a bed whose record is written to a file.
func New(record string) (*Bed, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	base, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	return &Bed{
		Store: standin.NewStore(), Dir: dir, Target: os.Getenv("REVIEW_TARGET"), base: base, next: base, record: bufio.NewWriter(f), file: f, started: time.Now(),
	}, nil
}

// freeNetwork finds loopback addresses on which nothing listens.
func freeNetwork() (netip.Addr, error) {
	pid := os.Getpid()
	for i := range 100 {
		n := pid + i*131
		base := netip.AddrFrom4([4]byte{127, byte(64 + n%128), byte(n >> 7), 1})
		l, err := net.Listen("tcp", netip.AddrPortFrom(base.Next(), 8005).String())
		if err == nil {
			l.Close()
			return base, nil
		}
	}
	return netip.Addr{}, errors.New("no free loopback network")
}

// Address returns a loopback address that nothing else uses.
func (b *Bed) Address() netip.Addr {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next = b.next.Next()
	return b.next
}

// Log writes a line to the record.
func (b *Bed) Log(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to standard output.
func (b *Bed) Say(format string, args ...any) {
	b.Log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Since returns the time of the record at which something happened.
func (b *Bed) Since(t time.Time) float64 { return t.Sub(b.started).Seconds() }

// Close ends all processes and the record.
func (b *Bed) Close() {
	b.mu.Lock()
	procs := slices.Clone(b.procs)
	b.mu.Unlock()
	for _, p := range procs {
		p.End()
	}
	b.Store.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.record.Flush()
	b.file.Close()
	if os.Getenv("REVIEW_KEEP") == "" {
		os.RemoveAll(b.Dir)
	}
}

// Process is a process that the bed has started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
}

// Start starts a program of the target folder with an environment like that of the deploy file.
func (b *Bed) Start(name string, env []string, program string, args ...string) (*Process, error) {
	out, err := os.OpenFile(filepath.Join(b.Dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(b.Target, program), args...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	cmd.Stdout, cmd.Stderr = out, out
	// The processes of a case end with it, however it ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	b.mu.Lock()
	b.procs = append(b.procs, p)
	b.mu.Unlock()
	b.Log("started %s (%s %s)", name, program, strings.Join(args, " "))
	return p, nil
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// End kills the process and waits for its end.
func (p *Process) End() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Database accepts connections and holds them, as a database behind a service does, and returns its address.
func (b *Bed) Database() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", netip.AddrPortFrom(b.Address(), 5000).String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(io.Discard, c)
				c.Close()
			}()
		}
	}()
	return netip.ParseAddrPort(l.Addr().String())
}

// Machine is a machine of the system with its own address.
type Machine struct {
	Name string
	Zone Zone
	IP   netip.Addr
	// App and Service are set beside a model replica.
	App     netip.AddrPort
	Service string
	// Store is the store's address as seen from the machine.
	Store netip.AddrPort
}

// At is an address of the machine.
func (m *Machine) At(port uint16) netip.AddrPort { return netip.AddrPortFrom(m.IP, port) }

// Ports of a front machine.
const (
	PortFront, PortReady, PortControl, PortDirectory = 8005, 8002, 8000, 8009
)

// Settings writes the settings file of a machine, with the figures of the small sites.
func (b *Bed) Settings(m *Machine, seeds []netip.AddrPort) (path string, err error) {
	var t strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&t, format+"\n", args...) }
	class, serves := "front", `["front","control","directory"]`
	if m.Service != "" {
		class, serves = "side", `["side"]`
	}
	line("node_name = %q\nrole = \"my-%s\"\nmachine_class = %q\nserves = %s\nip = %q\nzone = %q\nregion = %q", m.Name, class, class, serves, m.IP, m.Zone.Name, m.Zone.Region)
	line("internal_port_range = [7700,7715]")
	var quoted []string
	for _, s := range seeds {
		quoted = append(quoted, strconv.Quote(s.String()))
	}
	line("seeds = [%s]\nbootstrap = true\nin_tolerance = false\ndiscovery = \"platform\"\nentry = \"directory\"\nheartbeat_ms = 1200", strings.Join(quoted, ","))
	line(`contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","chunks"]`)
	if m.Service != "" {
		line("app = %q\nservice = %q", m.App, m.Service)
	}
	line("[zones]")
	for _, z := range Zones {
		line("%s = %q", z.Name, z.Region)
	}
	line("[listen]")
	limits := "cpu_share = 0.48\ncores = 1\nmemory_mb = 152\nmax_fds = 2048\nlink_mbps = 7.3\ndisk_mb = 0"
	if m.Service == "" {
		line("front = %q\nready = %q\ncontrol = %q\ndirectory = %q", m.At(PortFront), m.At(PortReady), m.At(PortControl), m.At(PortDirectory))
		limits = "cpu_share = 0.4\ncores = 1\nmemory_mb = 284\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0"
	}
	line("[limits]\n%s", limits)
	line("[fault_tolerance]\nmachines = 2\nzones = 1\nregions = 0")
	line("[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\nstable_window_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\nouter_ms = 5000\nrevoke_strict = false\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 106\ncold_over = 1.5\ncold_slack = 5\nevacuate_ms = 5000\nrecover_s = 12\npass_ms = 120\nretry_after_s = 0\nversion_ms = 8000\nversion_all_ms = 0\nttl_max_s = 5")
	store := m.Store
	if !store.IsValid() {
		store = b.Store.Address()
	}
	line("[platform]\naddress = %q\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000", store)
	path = filepath.Join(b.Dir, m.Name+".toml")
	return path, os.WriteFile(path, []byte(t.String()), 0o600)
}

// StartEntry starts an entry with the command of the deploy file.
func (b *Bed) StartEntry(m *Machine, seeds []netip.AddrPort) (*Process, error) {
	return b.startDaemon(m, seeds, "entry")
}

// StartAgent starts an agent with the command of the deploy file.
func (b *Bed) StartAgent(m *Machine, seeds []netip.AddrPort) (*Process, error) {
	return b.startDaemon(m, seeds, "agent")
}

func (b *Bed) startDaemon(m *Machine, seeds []netip.AddrPort, role string) (*Process, error) {
	path, err := b.Settings(m, seeds)
	if err != nil {
		return nil, err
	}
	return b.Start(m.Name, []string{"ORIOLECROFT_SETTINGS=" + path}, "oriolecroft", "platform", role)
}

// AwaitReady waits until an entry says that it is ready.
func (b *Bed) AwaitReady(m *Machine, within time.Duration) error {
	deadline := time.Now().Add(within)
	client := http.Client{Timeout: time.Second}
	for time.Now().Before(deadline) {
		res, err := client.Get("http://" + m.At(PortReady).String() + "/v1/ready")
		if err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s not ready within %v", m.Name, within)
}

// Call is a request of a caller.
type Call struct {
	Entry        netip.AddrPort
	Method, Host string
	Path, Key    string
	Limit        time.Duration
	Body         string
}

// Result is what a caller got.
type Result struct {
	ID string
	// Status is 0 without an answer.
	Status int
	Sealed bool
	// Whole is set if the answer arrived up to its end by the protocol, Right if its body is the one that the
	// seal states.
	Whole, Right bool
	Bytes        int
	Err          error
}

var attempts atomic.Int64

// Do sends a request on a new channel and reads the answer.
func Do(ctx context.Context, c *Call) Result {
	r := Result{ID: fmt.Sprintf("%04x%08x%04x", os.Getpid()&0xffff, attempts.Add(1), time.Now().UnixNano()&0xffff)}
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(ctx, "tcp", c.Entry.String())
	if err != nil {
		r.Err = err
		return r
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(c.Limit))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Attempt: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\nConnection: close\r\n", c.Method, c.Path, c.Host, r.ID, c.Limit.Milliseconds(), c.Key)
	if c.Body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(c.Body))
	}
	if _, err := io.WriteString(conn, head+"\r\n"+c.Body); err != nil {
		r.Err = err
		return r
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.Method})
	if err != nil {
		r.Err = err
		return r
	}
	defer res.Body.Close()
	r.Status = res.StatusCode
	seal := res.Header.Get("X-Replica-Seal")
	r.Sealed = seal != ""
	body, err := io.ReadAll(res.Body)
	r.Bytes, r.Whole, r.Err = len(body), err == nil, err
	sum := sha256.Sum256(body)
	r.Right = seal == r.ID+"."+strconv.Itoa(len(body))+"."+hex.EncodeToString(sum[:8])
	return r
}
