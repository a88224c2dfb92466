//go:build review

// Package bed runs the project's programs as separate processes beside stand-ins on loopback, for the cases of the
// second review.
package bed

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/oriolecroft/oriolecroft/platform/standin"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Trouble reports whether the case's disruption is to be played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Bed holds the processes of one run.
type Bed struct {
	Store      *standin.Store
	Deployment *standin.Deployment
	// Dir is a temporary folder for settings.
	Dir string
	// network is the first two bytes of all addresses of the run.
	network [2]byte

	mu        sync.Mutex
	record    *os.File
	started   time.Time
	processes []*Process
}

// New creates a bed that writes to record.txt in the folder of the environment variable CASE.
func New() (*Bed, error) {
	record, err := os.Create(filepath.Join(os.Getenv("CASE"), "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	b := &Bed{Store: standin.NewStore(), Dir: dir, network: [2]byte{127, byte(64 + rand.IntN(128))}, record: record, started: time.Now()}
	b.Deployment = &standin.Deployment{Regions: map[string]string{}, Bounds: standin.UsersBounds}
	// The stand-ins' bounds on retries are narrower than the users'.
	b.Deployment.Bounds.RetryRatio, b.Deployment.Bounds.RetrySlack = 0.2, 106
	b.Logf("trouble %v", Trouble())
	return b, nil
}

// Logf writes a line to the record and to standard output.
func (b *Bed) Logf(format string, args ...any) { fmt.Println(b.Recordf(format, args...)) }

// Recordf writes a line to the record and returns it.
func (b *Bed) Recordf(format string, args ...any) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(b.started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(b.record, line)
	return line
}

// IP returns an address of the run.
func (b *Bed) IP(third, fourth byte) netip.Addr {
	return netip.AddrFrom4([4]byte{b.network[0], b.network[1], third, fourth})
}

// Close ends all processes and removes the temporary folder.
func (b *Bed) Close() {
	b.mu.Lock()
	processes := b.processes
	b.mu.Unlock()
	for _, p := range processes {
		p.Kill()
	}
	b.Store.Close()
	os.RemoveAll(b.Dir)
	b.record.Close()
}

// Process is a process that the bed started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
}

// Start starts a program. Lines that it writes to standard output are passed to onLine, unless that is nil.
func (b *Bed) Start(name string, onLine func(string), env []string, program string, args ...string) (*Process, error) {
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	logs, err := os.Create(filepath.Join(b.Dir, name+".err"))
	if err != nil {
		return nil, err
	}
	cmd.Stderr = logs
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		lines := bufio.NewReader(out)
		for {
			line, err := lines.ReadString('\n')
			if err != nil {
				break
			}
			if onLine != nil {
				onLine(line[:len(line)-1])
			}
		}
		_ = cmd.Wait()
		logs.Close()
		close(p.done)
	}()
	b.mu.Lock()
	b.processes = append(b.processes, p)
	b.mu.Unlock()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// StartDaemon starts a daemon on a VM with the command of the deploy file.
func (b *Bed) StartDaemon(role string, v *standin.VM, onLine func(string)) (*Process, error) {
	v.Store = b.Store.Address()
	path := filepath.Join(b.Dir, v.Name+".toml")
	if err := b.Deployment.WriteSettings(path, v); err != nil {
		return nil, err
	}
	return b.Start(v.Name, onLine, []string{"ORIOLECROFT_SETTINGS=" + path}, "target/oriolecroft", "platform", role)
}

// portReady is the port of the platform's readiness checks.
const portReady = 8002

// AwaitReady waits until entries are ready and listed in the directory.
func (b *Bed) AwaitReady(entries []*standin.VM, within time.Duration) error {
	end := time.Now().Add(within)
	for _, v := range entries {
		for !isReady(v) || !b.Store.HasEntry(v.Name) {
			if time.Now().After(end) {
				return fmt.Errorf("%s not ready within %v", v.Name, within)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func isReady(v *standin.VM) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.At(portReady).String()+"/v1/ready", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Link is a proxy that forwards connections. While it is cut it forwards nothing, and keeps what it holds, as a
// partitioned network path does while both ends retransmit.
type Link struct {
	listener net.Listener
	to       string
	// fillers are the connections that fill the backlog during a cut.
	fillers []net.Conn

	mu  sync.Mutex
	cut chan struct{}
}

// NewLink starts a link.
func NewLink(from, to netip.AddrPort) (*Link, error) {
	l, err := net.Listen("tcp", from.String())
	if err != nil {
		return nil, err
	}
	if err := shortenBacklog(l); err != nil {
		return nil, err
	}
	k := &Link{listener: l, to: to.String(), cut: closedChannel()}
	go k.serve()
	return k, nil
}

// shortenBacklog makes the kernel drop the opening packets of connections behind the first that isn't accepted.
func shortenBacklog(l net.Listener) error {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil {
		return err
	}
	return listenErr
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// Cut interrupts the link until Heal.
func (k *Link) Cut() {
	k.mu.Lock()
	k.cut = make(chan struct{})
	k.mu.Unlock()
	// New connections hang, as the backlog is full.
	for range maxFillers {
		c, err := net.DialTimeout("tcp", k.listener.Addr().String(), fillTimeout)
		if err != nil {
			return
		}
		k.fillers = append(k.fillers, c)
	}
}

const (
	// maxFillers is how many connections fill the backlog at most, fillTimeout how long one may take if it isn't full.
	maxFillers  = 6
	fillTimeout = 10 * time.Millisecond
)

// Heal ends a cut.
func (k *Link) Heal() {
	for _, c := range k.fillers {
		c.Close()
	}
	k.fillers = nil
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.cut)
}

func (k *Link) await() {
	k.mu.Lock()
	c := k.cut
	k.mu.Unlock()
	<-c
}

func (k *Link) serve() {
	for {
		k.await()
		near, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.forward(near)
	}
}

func (k *Link) forward(near net.Conn) {
	k.await()
	far, err := net.Dial("tcp", k.to)
	if err != nil {
		reset(near)
		return
	}
	var ends sync.WaitGroup
	ends.Go(func() { k.copy(far, near) })
	ends.Go(func() { k.copy(near, far) })
	ends.Wait()
	near.Close()
	far.Close()
}

// copy forwards one direction up to its end, with the kind of end that it has.
func (k *Link) copy(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		k.await()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			_ = to.(*net.TCPConn).CloseWrite()
			return
		default:
			reset(to)
			return
		}
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// ProcessorTicks returns the processor time that the process has used, in ticks of 10 ms; 0 if it has ended.
func (p *Process) ProcessorTicks() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var user, system int
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	if len(fields) > 12 {
		user, _ = strconv.Atoi(fields[11])
		system, _ = strconv.Atoi(fields[12])
	}
	return user + system
}
