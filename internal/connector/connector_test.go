package connector_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/oriolecroft/oriolecroft/internal/connector"
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
