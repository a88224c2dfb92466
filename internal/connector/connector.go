// Package connector opens TCP connections that notice a silent peer and a reset, and bounds what is read from peers
// beside the bodies of their replies.
package connector

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UnackedTimeout is how long sent bytes may stay unacknowledged. A VM without
// power or behind a cut answers nothing, and the kernel would resend for a quarter
// of an hour; the caller would see a connection that hangs. Three seconds is above
// all round trips on a lossy link and below every caller's patience.
const UnackedTimeout = 3 * time.Second

// keepAlive finds a connection dead on which nothing is being sent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// Dial connects to an address; the context bounds how long that may take.
func Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return DialContext(ctx, "tcp", address.String())
}

// DialContext is Dial in the form that net/http wants.
func DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive, Control: control}
	raw, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return KeepResets(raw), nil
}

func control(_, _ string, c syscall.RawConn) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// Quiet tells whether an idle connection is still open and has nothing to read. A
// peer that closed it, or sent bytes that belong to no request, must not get
// another request on it.
func Quiet(conn net.Conn) bool {
	t, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	// Unlike Read, Control doesn't wait for one who reads the connection.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = e == unix.EAGAIN || e == unix.EWOULDBLOCK
	})
	return err == nil && quiet
}
