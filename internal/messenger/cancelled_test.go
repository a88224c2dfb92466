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

// A caller leaves just while its entry asks an agent for a place. The questions of all other
// callers go over the same connection: were that closed, their answers would be lost, the agent
// would count as silent for a while, and it would free the places of all that runs there for
// this entry and grant them once more.
func TestCallerThatLeavesClosesNobodysConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	asked, release := make(chan string, 2), make(chan struct{})
	var lost atomic.Bool
	s := &messenger.Server{Listener: l, OnLost: func(*messenger.Link) { lost.Store(true) },
		OnReserve: func(r messenger.Reservation, _ *messenger.Link) messenger.Verdict {
			asked <- r.Request
			<-release
			return messenger.Verdict{Granted: true}
		}}
	go func() { _ = s.Serve(t.Context()) }()
	c := &messenger.Client{Address: netip.MustParseAddrPort(l.Addr().String()), Timeout: patience}
	defer c.Close()

	ctx, leave := context.WithCancel(t.Context())
	left, stayed := make(chan error, 1), make(chan error, 1)
	go func() {
		_, err := c.Reserve(ctx, messenger.Reservation{Request: "leaves"})
		left <- err
	}()
	must.Eq(t, "leaves", <-asked)
	go func() {
		v, err := c.Reserve(t.Context(), messenger.Reservation{Request: "stays"})
		if err == nil && !v.Granted {
			err = context.Canceled
		}
		stayed <- err
	}()
	// The second question is on its way by then, mostly; it waits behind the first.
	time.Sleep(50 * time.Millisecond)
	leave()
	must.Error(t, <-left)
	close(release)
	must.NoError(t, <-stayed)
	must.False(t, lost.Load())
}
