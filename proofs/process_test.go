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

// patience bounds every wait for a condition that must come about. It is no
// promise of the system: those have their own bounds.
const patience = 30 * time.Second

// logTail is how much of a process's log a failed test shows, in bytes.
const logTail = 1500

// process is one process of the system.
type process struct {
	t    *testing.T
	name string
	args []string
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) self() *process { return p }

// launch runs the process until the test ends.
func (p *process) launch() {
	p.t.Helper()
	p.run()
	p.t.Cleanup(p.end)
}

func (p *process) run() {
	p.t.Helper()
	log, err := os.OpenFile(p.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must.NoError(p.t, err)
	defer log.Close()
	p.cmd = exec.Command(binary, p.args...)
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

func (p *process) resume() { p.signal(syscall.SIGCONT) }
func (p *process) leave()  { p.signal(syscall.SIGTERM) }

// pause freezes the process and returns once all of its threads stand still: on a
// busy machine some go on for a moment after the signal was sent.
func (p *process) pause() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	eventually(p.t, patience, p.name+" stands still", func() bool {
		threads, err := filepath.Glob(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "task", "*", "status"))
		return err == nil && len(threads) > 0 && all(threads, isStopped)
	})
}

func isStopped(status string) bool {
	data, err := os.ReadFile(status)
	return err == nil && strings.Contains(string(data), "State:\tT")
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	p.wait()
}

// wait returns once the process has ended.
func (p *process) wait() {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(patience):
		p.t.Fatalf("%s has not ended", p.name)
	}
}

// replace starts the program anew with the same settings.
func (p *process) replace() {
	p.t.Helper()
	p.kill()
	p.run()
}

func (p *process) end() {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	p.checkRaces()
	if p.t.Failed() {
		p.t.Logf("log of %s:\n%s", p.name, p.tail())
	}
}

// checkRaces fails the test on what the race detector found in the process, which
// goes on after that and would be killed before it could say so by its status.
func (p *process) checkRaces() {
	data, err := os.ReadFile(p.logFile())
	if err != nil {
		p.t.Error(err)
		return
	}
	if _, report, found := strings.Cut(string(data), "WARNING: DATA RACE"); found {
		p.t.Errorf("%s has a data race:%s", p.name, report[:min(len(report), logTail)])
	}
}

func (p *process) tail() string {
	f, err := os.Open(p.logFile())
	if err != nil {
		return err.Error()
	}
	defer f.Close()
	if size, err := f.Seek(0, io.SeekEnd); err == nil {
		_, _ = f.Seek(max(0, size-logTail), io.SeekStart)
	}
	data, _ := io.ReadAll(f)
	return string(data)
}

// logDir is the directory of one test's logs. PROOFS_LOGS keeps them.
func logDir(t *testing.T) string {
	keep := os.Getenv("PROOFS_LOGS")
	if keep == "" {
		keep = filepath.Join(filepath.Dir(binary), "logs")
	}
	dir := filepath.Join(keep, strings.ReplaceAll(t.Name(), "/", "_"))
	must.NoError(t, os.MkdirAll(dir, 0o700))
	return dir
}

var hosts atomic.Uint32

// host gives each deployment a loopback address of its own.
func host() netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(1 + hosts.Add(1)%250), byte(pid >> 8), byte(1 + pid%250)})
}

// listen takes a port from the kernel.
func listen(t *testing.T, h netip.Addr) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", netip.AddrPortFrom(h, 0).String())
	must.NoError(t, err)
	return l
}

// reserve takes a port from the kernel for a process that listens by itself, and holds it
// until the test ends: the kernel gives it to nobody else. A listener that is closed before
// the process starts does not do. A process that is being started by another test at that
// moment has a copy of it until it runs its own program, which takes a while on a busy
// machine, and ours would find its address in use.
func reserve(t *testing.T, h netip.Addr) netip.AddrPort {
	t.Helper()
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	must.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(socket) })
	// A listener may join a socket that is bound and doesn't listen, if both allow that;
	// those of the standard library do.
	must.NoError(t, unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1))
	must.NoError(t, unix.Bind(socket, &unix.SockaddrInet4{Addr: h.As4()}))
	bound, err := unix.Getsockname(socket)
	must.NoError(t, err)
	return netip.AddrPortFrom(h, uint16(bound.(*unix.SockaddrInet4).Port))
}

// Tests start their processes at the same time on a machine that is short of processor
// time. A process of ours whose address is held by another one that is just being started
// ends at once, and its test waits in vain for a deployment that misses an entry.
func TestReservedAddressCanBeTaken(t *testing.T) {
	h := host()
	ctx, stop := context.WithCancel(t.Context())
	var starting sync.WaitGroup
	for range 8 {
		starting.Go(func() {
			for ctx.Err() == nil {
				_ = exec.Command(binary, "--help").Run()
			}
		})
	}
	defer starting.Wait()
	defer stop()
	for range 200 {
		l, err := net.Listen("tcp", reserve(t, h).String())
		must.NoError(t, err)
		must.NoError(t, l.Close())
	}
}

func addressOf(l net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(l.Addr().String())
}

// eventually waits for a condition that must come about within the bound.
func eventually(t *testing.T, bound time.Duration, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(f),
		wait.Timeout(bound),
		wait.Gap(20*time.Millisecond),
	), must.Sprintf("%s within %v", what, bound))
}

// throughout checks that a condition holds all the time.
func throughout(t *testing.T, span time.Duration, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.ContinualSuccess(
		wait.BoolFunc(f),
		wait.Timeout(span),
		wait.Gap(20*time.Millisecond),
	), must.Sprintf("%s for %v", what, span))
}
