package connector_test

import (
	"context"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"golang.org/x/sys/unix"

	"github.com/oriolecroft/oriolecroft/internal/connector"
	"github.com/oriolecroft/oriolecroft/internal/connector/connectortest"
)

// A kept connection was closed by its peer, or has bytes on it that belong to no
// request. A request sent on it would be lost, or get an answer that is another's.
func TestQuiet(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	dial := func() (net.Conn, net.Conn) {
		c, err := connector.Dial(context.Background(), netip.MustParseAddrPort(l.Addr().String()))
		must.NoError(t, err)
		peer, err := l.Accept()
		must.NoError(t, err)
		return c, peer
	}
	noisy := func(c net.Conn) {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return !connector.Quiet(c) }), wait.Timeout(5*time.Second)))
	}
	c, peer := dial()
	defer c.Close()
	must.True(t, connector.Quiet(c))
	_, err = peer.Write([]byte("x"))
	must.NoError(t, err)
	noisy(c)
	closed, other := dial()
	defer closed.Close()
	other.Close()
	noisy(closed)
}

// Guards against taking a peer for unreachable that accepted the connection while this process was suspended.
func TestDialSucceedsWhoseDeadlinePassedWhileSuspended(t *testing.T) {
	const deadline = 900 * time.Millisecond
	for {
		due, stopped, err := dialSuspended(t, deadline)
		if err == nil {
			return
		}
		must.True(t, due.Before(stopped), must.Sprint("deadline passed while suspended: ", err))
		t.Log("Deadline passed before the process was suspended, once more")
	}
}

// dialSuspended dials a listener that answers after about a second, while this process is suspended. It gives the
// deadline, when the process stopped, and the dial's error.
func dialSuspended(t *testing.T, deadline time.Duration) (due, stopped time.Time, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	dial := func(within time.Duration) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), within)
		defer cancel()
		return connector.Dial(ctx, netip.MustParseAddrPort(l.Addr().String()))
	}
	// The kernel answers no connection beyond the backlog; asked again after a second, it does.
	raw, err := l.(*net.TCPListener).SyscallConn()
	must.NoError(t, err)
	must.NoError(t, raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) }))
	must.NoError(t, err)
	waiting := 0
	for {
		c, err := dial(50 * time.Millisecond)
		if err != nil {
			must.ErrorIs(t, err, os.ErrDeadlineExceeded)
			break
		}
		defer c.Close()
		waiting++
	}
	failed := make(chan error, 1)
	go func() {
		c, err := dial(deadline)
		if err == nil {
			c.Close()
		}
		failed <- err
	}()
	due = time.Now().Add(deadline)
	time.Sleep(100 * time.Millisecond)
	for range waiting {
		c, err := l.Accept()
		must.NoError(t, err)
		defer c.Close()
	}
	stopped = connectortest.Suspend(t, "sleep 1.5")
	return due, stopped, <-failed
}
