package connector_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/connector"
)

// pair gives both ends of a connection.
func pair(t *testing.T) (near net.Conn, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	near, err = connector.Dial(context.Background(), netip.MustParseAddrPort(l.Addr().String()))
	must.NoError(t, err)
	t.Cleanup(func() { near.Close() })
	accepted, err := l.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { accepted.Close() })
	return near, accepted.(*net.TCPConn)
}

// writeUntilError writes until the connection takes no more.
func writeUntilError(t *testing.T, c net.Conn) error {
	t.Helper()
	must.NoError(t, c.SetWriteDeadline(time.Now().Add(10*time.Second)))
	for {
		if _, err := c.Write(make([]byte, 4<<10)); err != nil {
			return err
		}
	}
}

// Guards against a reset that reads take for a regular end, as a write has learned of it.
func TestResetSeenByAWriteReachesReads(t *testing.T) {
	near, far := pair(t)
	must.NoError(t, far.SetLinger(0))
	far.Close()
	must.ErrorIs(t, writeUntilError(t, near), syscall.ECONNRESET)
	for range 3 {
		_, err := near.Read(make([]byte, 1))
		must.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

// Guards against a regular end that reads take for a reset, as the peer reset what was sent to it after that.
func TestResetBehindARegularEndIsNone(t *testing.T) {
	near, far := pair(t)
	_, err := far.Write([]byte("whole"))
	must.NoError(t, err)
	must.NoError(t, far.CloseWrite())
	// The end arrives before the reset does.
	var b [16]byte
	n, err := io.ReadFull(near, b[:5])
	must.NoError(t, err)
	must.Eq(t, "whole", string(b[:n]))
	_, err = near.Read(b[:])
	must.ErrorIs(t, err, io.EOF)
	must.NoError(t, far.SetLinger(0))
	far.Close()
	must.Error(t, writeUntilError(t, near))
	_, err = near.Read(b[:])
	must.True(t, errors.Is(err, io.EOF), must.Sprint(err))
}
