// Package connectortest connects processes of one test in memory and in virtual time. In
// real time, on a busy machine, a process may time out on another that merely isn't
// scheduled, and the test's result would depend on the machine's load.
package connectortest

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// LinkDelay is how long each write on a Network takes. It orders transfers like a link
// within one failure domain; no limit in a test is derived from it.
const LinkDelay = 100 * time.Microsecond

// SettleTime is how long a test waits at its end until all stopped goroutines have returned:
// a bubble of package synctest doesn't end while any of them sleeps.
const SettleTime = time.Minute

// Network connects dialers to listeners.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
}

// Listen returns a listener with an address of its own.
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

// Dial connects to a listener; it has the signature of net.Dialer's DialContext.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, refusedError()
	}
	near, far := net.Pipe()
	if err := l.Deliver(ctx, withDelay(far)); err != nil {
		return nil, err
	}
	return withDelay(near), nil
}

// Listener accepts connections that are delivered to it.
type Listener struct {
	address   net.Addr
	delivered chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

// NewListener returns a listener with an address.
func NewListener(address netip.AddrPort) *Listener {
	return &Listener{address: net.TCPAddrFromAddrPort(address), delivered: make(chan net.Conn), closed: make(chan struct{})}
}

// Deliver passes the far end of a connection to Accept; it fails if the listener is closed.
func (l *Listener) Deliver(ctx context.Context, far net.Conn) error {
	select {
	case l.delivered <- far:
		return nil
	case <-l.closed:
		return refusedError()
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
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.address }

func refusedError() error { return &net.OpError{Op: "dial", Net: "tcp", Err: net.ErrClosed} }

// withDelay returns a connection that delays each write by LinkDelay.
func withDelay(conn net.Conn) net.Conn {
	return NewAsyncConn(conn, func(b []byte) error {
		time.Sleep(LinkDelay)
		_, err := conn.Write(b)
		return err
	})
}
