// Package connector opens TCP connections that detect an unresponsive peer and a reset, and limits how much is read
// from peers besides the bodies of their replies.
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

// UnackedTimeout is how long sent bytes may stay unacknowledged. For a VM that has lost
// power or is partitioned, the kernel would retransmit for a quarter of an hour while the
// connection hangs. Three seconds is above all round trips on a lossy link and below every
// caller's time limit.
const UnackedTimeout = 3 * time.Second

// ReadGrace is the extra time after a deadline for reading data that arrived before it. After its deadline package net
// doesn't read the socket, so a process that was suspended would consider a peer unreachable that had accepted its
// connection.
const ReadGrace = 10 * time.Millisecond

// keepAlive detects a dead peer on an idle connection.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// Dial connects to an address; the context limits how long that may take.
func Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return DialContext(ctx, "tcp", address.String())
}

// DialContext is Dial with the signature that net/http expects.
func DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	late, stop := withLateDeadline(ctx)
	defer stop()
	d := net.Dialer{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	raw, err := d.DialContext(late, network, address)
	if err != nil {
		return nil, dialError(ctx, err)
	}
	return KeepResets(raw), nil
}

// withLateDeadline returns a context that is cancelled with ctx, but ReadGrace after its deadline; stop releases it.
func withLateDeadline(ctx context.Context) (late context.Context, stop func()) {
	late, cancel := context.WithCancel(context.WithoutCancel(ctx))
	unregister := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			time.AfterFunc(ReadGrace, cancel)
			return
		}
		cancel()
	})
	return late, func() {
		unregister()
		cancel()
	}
}

// dialError returns the error of a dial under a context with a late deadline: a timeout once the deadline has passed.
func dialError(ctx context.Context, err error) error {
	var opErr *net.OpError
	if errors.Is(err, context.Canceled) && errors.Is(ctx.Err(), context.DeadlineExceeded) && errors.As(err, &opErr) {
		opErr.Err = os.ErrDeadlineExceeded
	}
	return err
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// Reusable reports whether an idle connection is still open and has nothing to read. A
// connection that its peer has closed, or that has bytes belonging to no request, must
// not carry another request.
func Reusable(conn net.Conn) bool {
	_, err := peek(conn)
	return errors.Is(err, unix.EAGAIN) || errors.Is(err, errors.ErrUnsupported)
}

// Ended reports whether a connection is closed or reset and has nothing left to read; false if that can't be known.
func Ended(conn net.Conn) bool {
	n, err := peek(conn)
	return n == 0 && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, errors.ErrUnsupported)
}

// Undelivered reports whether the peer of a connection may still receive something that was written and that it hasn't
// acknowledged; false if that can't be known.
func Undelivered(conn net.Conn) bool {
	t, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	undelivered := false
	// An error means that this process has closed the connection.
	_ = raw.Control(func(fd uintptr) {
		unacked, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if err != nil || unacked == 0 {
			return
		}
		// A connection that was reset keeps its count.
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		undelivered = err == nil && info.State != unix.BPF_TCP_CLOSE
	})
	return undelivered
}

// peek returns the number of bytes, up to one, that can be read from a connection, or 0 at its end. Errors are
// unix.EAGAIN if there is nothing to read yet, errors.ErrUnsupported if the connection is no socket, and others if it
// is closed.
func peek(conn net.Conn) (n int, err error) {
	t, ok := conn.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return 0, err
	}
	// Unlike Read, Control doesn't wait for a concurrent Read of the connection.
	if controlErr := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	}); controlErr != nil {
		return 0, controlErr
	}
	return max(0, n), err
}

// HasPending reports whether a connection waits to be accepted by a listener; false if that can't be known.
func HasPending(l net.Listener) bool {
	s, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	ready, pollErr := 0, error(unix.EINTR)
	err = raw.Control(func(fd uintptr) {
		for errors.Is(pollErr, unix.EINTR) {
			ready, pollErr = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		}
	})
	return err == nil && pollErr == nil && ready > 0
}
