package loader_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// linkDelay is how long each write takes on the network in memory. It orders
// transfers as a link within one failure domain would; none of the bounds that
// the tests check is derived from it.
const linkDelay = 100 * time.Microsecond

// network joins agents of one test in memory and in virtual time. On a machine
// that is busy with other work, real time lets an agent lose patience with a peer
// that is merely not scheduled; the bytes that the origin then sends tell of the
// machine and not of the loader.
type network struct {
	client    *http.Client
	mu        sync.Mutex
	listeners map[string]*listener
}

// inBubble runs a test in virtual time with a network of its own.
func inBubble(t *testing.T, test func(t *testing.T, n *network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := &network{listeners: map[string]*listener{}}
		transport := &http.Transport{DialContext: n.dial}
		n.client = &http.Client{Transport: transport}
		// What is under way when all have stopped still takes its time.
		t.Cleanup(func() { time.Sleep(10 * time.Second) })
		t.Cleanup(transport.CloseIdleConnections)
		test(t, n)
	})
}

// serve gives a handler an address of its own.
func (n *network) serve(t *testing.T, handler http.Handler) *httptest.Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(n.listeners) + 1)}), 80)
	l := &listener{address: net.TCPAddrFromAddrPort(address), dialed: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address.String()] = l
	s := httptest.NewUnstartedServer(handler)
	// httptest has bound a port of the machine that isn't used.
	_ = s.Listener.Close()
	s.Listener = l
	s.Start()
	t.Cleanup(func() {
		n.client.CloseIdleConnections()
		s.Close()
	})
	return s
}

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: net.ErrClosed}
	}
	near, far := net.Pipe()
	select {
	case l.dialed <- slowConn{far}:
		return slowConn{near}, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// listener takes connections of the network in memory.
type listener struct {
	address net.Addr
	dialed  chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.dialed:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return l.address }

// slowConn delays each write by linkDelay.
type slowConn struct{ net.Conn }

func (c slowConn) Write(b []byte) (int, error) {
	time.Sleep(linkDelay)
	return c.Conn.Write(b)
}
