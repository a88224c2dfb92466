package hoster_test

import (
	"net"
	"os"
	"sync/atomic"
	"time"
)

// suspendedListener accepts connections that simulate reads of a suspended process: the first
// request is read at once, everything else only after resumed is closed.
type suspendedListener struct {
	net.Listener
	resumed chan struct{}
}

func (l *suspendedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &suspendedConn{TCPConn: c.(*net.TCPConn), resumed: l.resumed, readDeadline: make(chan struct{}, 1)}, nil
}

type suspendedConn struct {
	*net.TCPConn
	resumed chan struct{}
	hasRead atomic.Bool
	// readDeadline receives a value when http.Server aborts a read by a deadline in the past.
	readDeadline chan struct{}
}

func (c *suspendedConn) Read(b []byte) (int, error) {
	if !c.hasRead.Swap(true) {
		return c.TCPConn.Read(b)
	}
	select {
	case <-c.resumed:
		return c.TCPConn.Read(b)
	case <-c.readDeadline:
		return 0, os.ErrDeadlineExceeded
	}
}

func (c *suspendedConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		select {
		case c.readDeadline <- struct{}{}:
		default:
		}
	} else {
		select {
		case <-c.readDeadline:
		default:
		}
	}
	return c.TCPConn.SetReadDeadline(t)
}
