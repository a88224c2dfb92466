// Package connector opens TCP connections that notice a silent peer and a reset, and bounds what is read from peers
// beside the bodies of their replies.
package connector

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UnackedTimeout is how long sent bytes may stay unacknowledged. A VM without
// power or behind a cut answers nothing, and the kernel would resend for a quarter
// of an hour; the caller would see a connection that hangs. Three seconds is above
// all round trips on a lossy link and below every caller's patience.
const UnackedTimeout = 3 * time.Second

// UnreadWithin is how long reading what has arrived by a deadline may take. Behind a deadline package net doesn't look at the
// socket, and a process that was suspended would take a peer for unreachable that had accepted its connection.
const UnreadWithin = 10 * time.Millisecond

// keepAlive finds a connection dead on which nothing is being sent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// Dial connects to an address; the context bounds how long that may take.
func Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return DialContext(ctx, "tcp", address.String())
}

// DialContext is Dial in the form that net/http wants.
func DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	late, stop := withLateDeadline(ctx)
	defer stop()
	d := net.Dialer{KeepAliveConfig: keepAlive, Control: control}
	raw, err := d.DialContext(late, network, address)
	if err != nil {
		return nil, dialError(ctx, err)
	}
	return KeepResets(raw), nil
}

// withLateDeadline gives a context that ends with another, but UnreadWithin after its deadline; stop frees it.
func withLateDeadline(ctx context.Context) (late context.Context, stop func()) {
	late, cancel := context.WithCancel(context.WithoutCancel(ctx))
	unhook := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			time.AfterFunc(UnreadWithin, cancel)
			return
		}
		cancel()
	})
	return late, func() {
		unhook()
		cancel()
	}
}

// dialError is the error of a dial under a context with a late deadline: a timeout once the deadline has passed.
func dialError(ctx context.Context, err error) error {
	var failed *net.OpError
	if errors.Is(err, context.Canceled) && errors.Is(ctx.Err(), context.DeadlineExceeded) && errors.As(err, &failed) {
		failed.Err = os.ErrDeadlineExceeded
	}
	return err
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
