package acceptor

import (
	"container/list"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/connector"
)

const (
	// receiveBuffer limits what the kernel keeps of a client's data, in bytes. It would keep megabytes for a client whose
	// request is running.
	receiveBuffer = 32 << 10
	// acceptRetryDelay is the pause after a failure to accept a connection.
	acceptRetryDelay = 5 * time.Millisecond
	// DefaultShare is the share of the limits that the running requests of one listener may use, unless it is set.
	DefaultShare = 0.25
)

// Listener accepts connections within limits. Set the exported fields before the first connection.
type Listener struct {
	net.Listener
	// Share is the share of the limits that requests counted by Handler, and messages, may use.
	Share  float64
	limits *Limits

	// The other fields are guarded by the lock of limits.

	// running is the number of such requests, and held their memory in bytes.
	running int
	held    int64
	// open is the number of open connections.
	open int
	// closable has the connections that may be closed in favor of others, the longest in their state first.
	closable [states]list.List
}

// Listen returns a listener whose connections count towards the limits.
func (l *Limits) Listen(nl net.Listener) *Listener {
	listener := &Listener{Listener: nl, Share: DefaultShare, limits: l}
	l.mu.Lock()
	l.listeners = append(l.listeners, listener)
	l.mu.Unlock()
	if err := listener.setReceiveBuffer(); err != nil {
		klog.ErrorS(err, "Receive buffer of listener not limited", "address", nl.Addr())
	}
	return listener
}

func (l *Listener) setReceiveBuffer() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	// Accepted connections inherit the size.
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	})
	return errors.Join(err, optErr)
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		switch {
		case isTemporary(err):
			time.Sleep(acceptRetryDelay)
			continue
		case err != nil:
			return nil, err
		}
		c := &Conn{Conn: nc, limits: l.limits, listener: l}
		if l.limits.add(c) {
			return c, nil
		}
		l.limits.refuse(nc)
	}
}

// isTemporary reports whether a connection could not be accepted for lack of descriptors, or because it has ended.
func isTemporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

// SyscallConn implements syscall.Conn.
func (l *Listener) SyscallConn() (syscall.RawConn, error) {
	s, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, syscall.EOPNOTSUPP
	}
	return s.SyscallConn()
}

// maxPeeks limits how many connections are checked for data at once.
const maxPeeks = 16

// firstWithoutData returns the connection that is in a state for the longest; nil if there is none. A process that is busy
// may not have read a request yet that has arrived on an idle connection. The caller holds the lock of limits.
func (l *Listener) firstWithoutData(s state) *Conn {
	conns := &l.closable[s]
	for range min(maxPeeks, conns.Len()) {
		first := conns.Front()
		c := first.Value.(*Conn)
		if s != idle && s != unused || connector.Reusable(c.Conn) || connector.Ended(c.Conn) {
			return c
		}
		conns.MoveToBack(first)
	}
	return nil
}

// startRequest reports whether another request that needs so many bytes may run, and counts it.
func (l *Listener) startRequest(bytes int64) bool {
	l.limits.mu.Lock()
	most := l.Share * float64(l.limits.Connections)
	full := l.limits.Connections > 0 && float64(l.running) >= most
	if !full {
		l.running++
	}
	l.limits.mu.Unlock()
	if full {
		return false
	}
	if !l.acquire(bytes) {
		l.endRequest(0)
		return false
	}
	return true
}

// endRequest ends a request that holds so many bytes.
func (l *Listener) endRequest(bytes int64) {
	l.limits.mu.Lock()
	defer l.limits.mu.Unlock()
	l.running--
	l.held -= bytes
	l.limits.hold(-bytes)
}

// acquire reports whether this many more bytes are available for a request, and counts them.
func (l *Listener) acquire(bytes int64) bool {
	l.limits.mu.Lock()
	most := l.Share * float64(l.limits.Memory)
	ok := l.limits.Memory <= 0 || float64(l.held+bytes) <= most
	if ok {
		l.held += bytes
	}
	l.limits.mu.Unlock()
	if !ok || l.limits.Acquire(bytes) {
		return ok
	}
	l.limits.mu.Lock()
	defer l.limits.mu.Unlock()
	l.held -= bytes
	return false
}
