// Package connectortest joins processes of one test in memory and in virtual time. On a
// machine that is busy with other work, real time lets a process lose patience with one that
// merely isn't scheduled; what it does then tells of the machine and not of the process.
package connectortest

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// LinkDelay is how long each write on a Network takes. It orders transfers as a link within
// one failure domain would; no bound of a test is derived from it.
const LinkDelay = 100 * time.Microsecond

// Settle is how long a test waits at its end, so that what is stopped and still under way is
// over: a bubble of package synctest doesn't end while anything sleeps.
const Settle = time.Minute

// Network joins listeners and those who dial them.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
}

// Listen makes a listener with an address of its own.
func (n *Network) Listen() *Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*Listener{}
	}
	number := len(n.listeners) + 1
	l := NewListener(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 80))
	n.listeners[l.Addr().String()] = l
	return l
}

// Dial connects to a listener; it has the form of net.Dialer's DialContext.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, refused()
	}
	near, far := net.Pipe()
	if err := l.Deliver(ctx, delayed(far)); err != nil {
		return nil, err
	}
	return delayed(near), nil
}

// Listener takes connections that are delivered to it.
type Listener struct {
	address   net.Addr
	delivered chan net.Conn
	once      sync.Once
	closed    chan struct{}
}

// NewListener makes a listener with an address.
func NewListener(address netip.AddrPort) *Listener {
	return &Listener{address: net.TCPAddrFromAddrPort(address), delivered: make(chan net.Conn), closed: make(chan struct{})}
}

// Deliver hands over the far end of a connection, or tells that nobody listens.
func (l *Listener) Deliver(ctx context.Context, far net.Conn) error {
	select {
	case l.delivered <- far:
		return nil
	case <-l.closed:
		return refused()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.delivered:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.address }

func refused() error { return &net.OpError{Op: "dial", Net: "tcp", Err: net.ErrClosed} }

// delayed delays each write by LinkDelay.
func delayed(conn net.Conn) net.Conn {
	return NewAsyncConn(conn, func(b []byte) error {
		time.Sleep(LinkDelay)
		_, err := conn.Write(b)
		return err
	})
}
