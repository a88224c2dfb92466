package connector_test

import (
	"context"
	"io"
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

// Guards against reusing a connection that its peer has closed, on which the request would be
// lost, or that has unread bytes, which the request would get as its reply.
func TestReusable(t *testing.T) {
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
	waitUntilUnusable := func(c net.Conn) {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return !connector.Reusable(c) }), wait.Timeout(5*time.Second)))
	}
	c, peer := dial()
	defer c.Close()
	must.True(t, connector.Reusable(c))
	_, err = peer.Write([]byte("x"))
	must.NoError(t, err)
	waitUntilUnusable(c)
	must.False(t, connector.Ended(c))
	peer.Close()
	must.False(t, connector.Ended(c), must.Sprint("there is something to read"))
	closed, closedPeer := dial()
	defer closed.Close()
	must.False(t, connector.Ended(closed))
	closedPeer.Close()
	waitUntilUnusable(closed)
	must.True(t, connector.Ended(closed))
	reset, resetPeer := dial()
	defer reset.Close()
	connector.Reset(resetPeer)
	waitUntilUnusable(reset)
	must.True(t, connector.Ended(reset))
}

// Guards against closing a listener while a connection waits to be accepted.
func TestHasPending(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	must.False(t, connector.HasPending(l))
	c, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer c.Close()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return connector.HasPending(l) }), wait.Timeout(5*time.Second)))
	accepted, err := l.Accept()
	must.NoError(t, err)
	defer accepted.Close()
	must.False(t, connector.HasPending(l))
}

// Guards against considering a peer unreachable that accepted the connection while this process was suspended.
func TestDialSucceedsWhoseDeadlinePassedWhileSuspended(t *testing.T) {
	const deadline = 900 * time.Millisecond
	for {
		expiry, stopped, err := dialSuspended(t, deadline)
		if err == nil {
			return
		}
		must.True(t, expiry.Before(stopped), must.Sprint("dial failed though its deadline passed while suspended: ", err))
		t.Log("Deadline passed before the process was suspended, retrying")
	}
}

// dialSuspended dials a listener that accepts after about a second, while this process is suspended. It returns the
// deadline, the time of the suspension and the dial's error.
func dialSuspended(t *testing.T, deadline time.Duration) (expiry, stopped time.Time, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	dial := func(within time.Duration) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), within)
		defer cancel()
		return connector.Dial(ctx, netip.MustParseAddrPort(l.Addr().String()))
	}
	// The kernel ignores connections beyond the backlog and accepts the SYN that is retransmitted after a second.
	raw, err := l.(*net.TCPListener).SyscallConn()
	must.NoError(t, err)
	must.NoError(t, raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) }))
	must.NoError(t, err)
	backlog := 0
	for {
		c, err := dial(50 * time.Millisecond)
		if err != nil {
			must.ErrorIs(t, err, os.ErrDeadlineExceeded)
			break
		}
		defer c.Close()
		backlog++
	}
	dialErr := make(chan error, 1)
	go func() {
		c, err := dial(deadline)
		if err == nil {
			c.Close()
		}
		dialErr <- err
	}()
	expiry = time.Now().Add(deadline)
	time.Sleep(100 * time.Millisecond)
	for range backlog {
		c, err := l.Accept()
		must.NoError(t, err)
		defer c.Close()
	}
	stopped = connectortest.Suspend(t, "sleep 1.5")
	return expiry, stopped, <-dialErr
}

// Guards against a reply that counts as delivered while the client's kernel hasn't received all of it, and against waiting
// for a client that has reset the connection.
func TestUndelivered(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	for _, resets := range []bool{false, true} {
		client, err := net.Dial("tcp", l.Addr().String())
		must.NoError(t, err)
		must.NoError(t, client.(*net.TCPConn).SetReadBuffer(16<<10))
		server, err := l.Accept()
		must.NoError(t, err)
		must.NoError(t, server.(*net.TCPConn).SetWriteBuffer(2<<20))
		must.False(t, connector.Undelivered(server))
		reply := make([]byte, 1<<20)
		_, err = server.Write(reply)
		must.NoError(t, err)
		must.True(t, connector.Undelivered(server))
		if resets {
			connector.Reset(client)
		} else {
			_, err = io.ReadFull(client, reply)
			must.NoError(t, err)
		}
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return !connector.Undelivered(server) }), wait.Timeout(time.Second), wait.Gap(time.Millisecond)))
		server.Close()
		client.Close()
		must.False(t, connector.Undelivered(server))
	}
}
