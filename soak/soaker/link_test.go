package soaker_test

import (
	"io"
	"net"
	"net/netip"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/oriolecroft/oriolecroft/soak/soaker"
)

// echo starts a server that returns the bytes of each connection.
func echo(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// exchange sends bytes and returns how long they took to return; false if not within a time.
func exchange(t *testing.T, c net.Conn, n int, within time.Duration) (took time.Duration, ok bool) {
	began := time.Now()
	must.NoError(t, c.SetDeadline(began.Add(within)))
	_, err := c.Write(make([]byte, n))
	must.NoError(t, err)
	_, err = io.ReadFull(c, make([]byte, n))
	return time.Since(began), err == nil
}

// Guards against a link that ignores its faults, which would make every run undisturbed, so that all
// promises would seem to be kept.
func TestLinkFaultsAffectConnections(t *testing.T) {
	const bytes = 8 << 10
	for _, c := range []struct {
		kind           string
		amount         int
		least, timeout time.Duration
		held           bool
	}{
		// 16 KiB/s in each direction: half a second each way, of which the second starts before the
		// first ends.
		{"entry link narrow", 0, 450 * time.Millisecond, 3 * time.Second, false},
		{"entry link delayed", 60, 400 * time.Millisecond, 3 * time.Second, false},
		{"entry link cut one way", 1, 0, 300 * time.Millisecond, true},
		{"entry link cut one way", 2, 0, 300 * time.Millisecond, true},
	} {
		at, repair, end, err := soaker.FaultedLink(echo(t), c.kind, c.amount)
		must.NoError(t, err)
		conn, err := net.Dial("tcp", at.String())
		must.NoError(t, err)
		took, ok := exchange(t, conn, bytes, c.timeout)
		must.Eq(t, !c.held, ok, must.Sprint(c.kind))
		must.GreaterEq(t, c.least, took, must.Sprint(c.kind))
		repair()
		after, err := net.Dial("tcp", at.String())
		must.NoError(t, err)
		took, ok = exchange(t, after, bytes, time.Second)
		must.True(t, ok, must.Sprint(c.kind))
		must.Less(t, soaker.Settle, took, must.Sprint(c.kind))
		end()
	}
}

// Guards against evaluating a run in which the soak has no descriptors left, so that its links refuse
// connections, which no planned fault does.
func TestLinkRecordsMissingDescriptors(t *testing.T) {
	at, short, end, err := soaker.ShortLink(echo(t))
	must.NoError(t, err)
	defer end()
	before, err := net.Dial("tcp", at.String())
	must.NoError(t, err)
	// Garbage collection would close it and free its descriptors.
	defer before.Close()
	must.False(t, short())
	defer takeDescriptors(t)()
	c, err := net.Dial("tcp", at.String())
	must.NoError(t, err)
	defer c.Close()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(short), wait.Timeout(time.Second), wait.Gap(time.Millisecond)))
}

// waitForGarbageCollection waits until garbage collection has closed what earlier tests left open, which would
// free descriptors later.
func waitForGarbageCollection(t *testing.T) {
	for last, same := -1, 0; same < 5; time.Sleep(10 * time.Millisecond) {
		runtime.GC()
		open, err := os.ReadDir("/proc/self/fd")
		must.NoError(t, err)
		if same++; len(open) != last {
			last, same = len(open), 0
		}
	}
}

// takeDescriptors leaves this process a single descriptor until they are returned.
func takeDescriptors(t *testing.T) (giveBack func()) {
	waitForGarbageCollection(t)
	const most = 256
	var limit syscall.Rlimit
	must.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit))
	must.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: most, Max: limit.Max}))
	var files []*os.File
	for {
		f, err := os.Open(os.DevNull)
		if err != nil {
			must.ErrorIs(t, err, syscall.EMFILE)
			break
		}
		files = append(files, f)
	}
	files[0].Close()
	return func() {
		must.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit))
		for _, f := range files[1:] {
			f.Close()
		}
	}
}
