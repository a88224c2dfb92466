package proofs_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"golang.org/x/sys/unix"
)

// waitTimeout bounds every wait for an expected condition. It is no guarantee of the
// system: guarantees have their own bounds.
const waitTimeout = 30 * time.Second

// maxLogTailBytes is how much of a process's log a failed test shows.
const maxLogTailBytes = 1500

// process is one process of the system.
type process struct {
	t    *testing.T
	name string
	args []string
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) self() *process { return p }

// launch starts the process and stops it when the test ends.
func (p *process) launch() {
	p.t.Helper()
	p.start()
	p.t.Cleanup(p.stop)
}

func (p *process) start() {
	p.t.Helper()
	log, err := os.OpenFile(p.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must.NoError(p.t, err)
	defer log.Close()
	p.cmd = exec.Command(binaryPath, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	must.NoError(p.t, p.cmd.Start())
	c, done := p.cmd, make(chan struct{})
	p.done = done
	go func() {
		defer close(done)
		_ = c.Wait()
	}()
}

func (p *process) logFile() string {
	return filepath.Join(logDir(p.t), p.name+".log")
}

// signal sends a signal to this one process.
func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	must.NoError(p.t, p.cmd.Process.Signal(s))
}

func (p *process) resume()    { p.signal(syscall.SIGCONT) }
func (p *process) terminate() { p.signal(syscall.SIGTERM) }

// suspend stops the process with SIGSTOP and returns once all of its threads are
// stopped: on a busy machine some continue for a moment after the signal was sent.
func (p *process) suspend() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	eventually(p.t, waitTimeout, p.name+" suspended", func() bool {
		threads, err := filepath.Glob(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "task", "*", "status"))
		return err == nil && len(threads) > 0 && all(threads, isStopped)
	})
}

func isStopped(status string) bool {
	data, err := os.ReadFile(status)
	return err == nil && strings.Contains(string(data), "State:\tT")
}

// kill sends SIGKILL and waits for the process to exit.
func (p *process) kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	p.wait()
}

// wait returns once the process has exited.
func (p *process) wait() {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s has not exited", p.name)
	}
}

// replace kills the process and starts the program with the same settings.
func (p *process) replace() {
	p.t.Helper()
	p.kill()
	p.start()
}

func (p *process) stop() {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	p.checkRaces()
	if p.t.Failed() {
		p.t.Logf("log of %s:\n%s", p.name, p.logTail())
	}
}

// checkRaces fails the test if the race detector reported a race in the process. A
// process continues after a report and is killed before its exit status could show it.
func (p *process) checkRaces() {
	data, err := os.ReadFile(p.logFile())
	if err != nil {
		p.t.Error(err)
		return
	}
	if _, report, found := strings.Cut(string(data), "WARNING: DATA RACE"); found {
		p.t.Errorf("%s has a data race:%s", p.name, report[:min(len(report), maxLogTailBytes)])
	}
}

func (p *process) logTail() string {
	f, err := os.Open(p.logFile())
	if err != nil {
		return err.Error()
	}
	defer f.Close()
	if size, err := f.Seek(0, io.SeekEnd); err == nil {
		_, _ = f.Seek(max(0, size-maxLogTailBytes), io.SeekStart)
	}
	data, _ := io.ReadAll(f)
	return string(data)
}

// logDir returns the directory of one test's logs. PROOFS_LOGS keeps them.
func logDir(t *testing.T) string {
	keep := os.Getenv("PROOFS_LOGS")
	if keep == "" {
		keep = filepath.Join(filepath.Dir(binaryPath), "logs")
	}
	dir := filepath.Join(keep, strings.ReplaceAll(t.Name(), "/", "_"))
	must.NoError(t, os.MkdirAll(dir, 0o700))
	return dir
}

var hostCount atomic.Uint32

// newHost returns a separate loopback address for each deployment.
func newHost() netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(1 + hostCount.Add(1)%250), byte(pid >> 8), byte(1 + pid%250)})
}

// listen opens a listener on a free port.
func listen(t *testing.T, h netip.Addr) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", netip.AddrPortFrom(h, 0).String())
	must.NoError(t, err)
	return l
}

// reserveAddress binds a free port for a process that listens by itself, and keeps it bound
// until the test ends, so that the kernel assigns it to no other process. Closing a listener
// before the process starts would not be enough: a process that another test is starting at
// that moment has a copy of the listener until it executes its own program, which takes a
// while on a busy machine, and the address would still be in use.
func reserveAddress(t *testing.T, h netip.Addr) netip.AddrPort {
	t.Helper()
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	must.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(socket) })
	// A listener may bind to the address of a socket that is bound and doesn't listen, if both
	// set SO_REUSEADDR; those of the standard library do.
	must.NoError(t, unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1))
	must.NoError(t, unix.Bind(socket, &unix.SockaddrInet4{Addr: h.As4()}))
	bound, err := unix.Getsockname(socket)
	must.NoError(t, err)
	return netip.AddrPortFrom(h, uint16(bound.(*unix.SockaddrInet4).Port))
}

// TestReservedAddressCanBeTaken guards against a process that exits at once because a copy
// of its listener in another process that is just being started holds its address, so that
// its test waits for an entry that never joins. Tests start their processes at the same
// time on a machine that is short of processor time.
func TestReservedAddressCanBeTaken(t *testing.T) {
	h := newHost()
	ctx, stop := context.WithCancel(t.Context())
	var starting sync.WaitGroup
	for range 8 {
		starting.Go(func() {
			for ctx.Err() == nil {
				_ = exec.Command(binaryPath, "--help").Run()
			}
		})
	}
	defer starting.Wait()
	defer stop()
	for range 200 {
		l, err := net.Listen("tcp", reserveAddress(t, h).String())
		must.NoError(t, err)
		must.NoError(t, l.Close())
	}
}

func addressOf(l net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(l.Addr().String())
}

// eventually waits for a condition that must become true within the bound.
func eventually(t *testing.T, bound time.Duration, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(f),
		wait.Timeout(bound),
		wait.Gap(20*time.Millisecond),
	), must.Sprintf("%s within %v", what, bound))
}

// throughout checks that a condition is true during the whole span.
func throughout(t *testing.T, span time.Duration, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.ContinualSuccess(
		wait.BoolFunc(f),
		wait.Timeout(span),
		wait.Gap(20*time.Millisecond),
	), must.Sprintf("%s for %v", what, span))
}
