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

// connectionPair returns both ends of a connection.
func connectionPair(t *testing.T) (near net.Conn, far *net.TCPConn) {
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

// writeUntilError writes until a write fails.
func writeUntilError(t *testing.T, c net.Conn) error {
	t.Helper()
	must.NoError(t, c.SetWriteDeadline(time.Now().Add(10*time.Second)))
	for {
		if _, err := c.Write(make([]byte, 4<<10)); err != nil {
			return err
		}
	}
}

// Guards against reads that return a regular end after a reset because a write consumed the error.
func TestResetSeenByWriteIsReportedToReads(t *testing.T) {
	near, far := connectionPair(t)
	must.NoError(t, far.SetLinger(0))
	far.Close()
	must.ErrorIs(t, writeUntilError(t, near), syscall.ECONNRESET)
	for range 3 {
		_, err := near.Read(make([]byte, 1))
		must.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

// Guards against reads that return a reset after a regular end because the peer reset data sent to it later.
func TestResetAfterRegularEndIsIgnored(t *testing.T) {
	near, far := connectionPair(t)
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
