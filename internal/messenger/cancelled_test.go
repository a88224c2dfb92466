package messenger_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
)

// Guards against closing a connection because one caller disconnects while its reservation is
// pending. The calls of other callers share the connection: their replies would be lost, and the
// agent would be treated as unresponsive for a while, free the slots of all of this entry's
// requests and grant them a second time.
func TestCancelledCallKeepsSharedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	requests, release := make(chan string, 2), make(chan struct{})
	var lost atomic.Bool
	s := &messenger.Server{Listener: l, OnLost: func(*messenger.Link) { lost.Store(true) },
		OnReserve: func(r messenger.Reservation, _ *messenger.Link) messenger.Decision {
			requests <- r.Request
			<-release
			return messenger.Decision{Granted: true}
		}}
	go func() { _ = s.Serve(t.Context()) }()
	c := &messenger.Client{Address: netip.MustParseAddrPort(l.Addr().String()), Timeout: testTimeout}
	defer c.Close()

	ctx, cancel := context.WithCancel(t.Context())
	cancelled, other := make(chan error, 1), make(chan error, 1)
	go func() {
		_, err := c.Reserve(ctx, messenger.Reservation{Request: "leaves"})
		cancelled <- err
	}()
	must.Eq(t, "leaves", <-requests)
	go func() {
		v, err := c.Reserve(t.Context(), messenger.Reservation{Request: "stays"})
		if err == nil && !v.Granted {
			err = context.Canceled
		}
		other <- err
	}()
	// The second call has usually been sent by then; it waits behind the first.
	time.Sleep(50 * time.Millisecond)
	cancel()
	must.Error(t, <-cancelled)
	close(release)
	must.NoError(t, <-other)
	must.False(t, lost.Load())
}
