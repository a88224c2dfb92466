package messenger_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/connector/connectortest"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// shortTimeout is the timeout of calls that a slow peer does not answer in time.
const shortTimeout = 40 * time.Millisecond

// Guards against a timeout that closes the connection: the other calls on it would fail, and an
// agent would treat the entry's requests as ended.
func TestTimeoutKeepsOtherCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(connectortest.SettleTime) })
		var n connectortest.Network
		var lost atomic.Int32
		l := n.Listen()
		s := &messenger.Server{Listener: l, OnLost: func(*messenger.Link) { lost.Add(1) },
			OnRecords: func(_ context.Context, q messenger.RecordsQuery) registrar.Batch {
				time.Sleep(q.Wait())
				return registrar.Batch{At: 9}
			}}
		go func() { _ = s.Serve(t.Context()) }()
		c := &messenger.Client{Address: netip.MustParseAddrPort(l.Addr().String()), Timeout: time.Second, Dial: n.Dial}
		defer c.Close()
		other := make(chan error, 1)
		go func() {
			_, err := c.Records(t.Context(), messenger.RecordsQuery{WaitMS: 200}, time.Second)
			other <- err
		}()
		time.Sleep(time.Millisecond)
		_, err := c.Records(t.Context(), messenger.RecordsQuery{WaitMS: 100}, shortTimeout)
		must.Error(t, err)
		must.NoError(t, <-other)
		must.Zero(t, lost.Load(), must.Sprint("connections lost"))
	})
}

// Guards against further calls on a connection that has become permanently unresponsive.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(connectortest.SettleTime) })
		var n connectortest.Network
		var dials atomic.Int32
		done := make(chan struct{})
		defer close(done)
		l := n.Listen()
		s := &messenger.Server{Listener: l, OnRecords: func(context.Context, messenger.RecordsQuery) registrar.Batch {
			if dials.Load() == 1 {
				<-done
			}
			return registrar.Batch{At: 9}
		}}
		go func() { _ = s.Serve(t.Context()) }()
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			dials.Add(1)
			return n.Dial(ctx, network, address)
		}
		c := &messenger.Client{Address: netip.MustParseAddrPort(l.Addr().String()), Timeout: shortTimeout, Dial: dial}
		defer c.Close()
		_, err := c.Records(t.Context(), messenger.RecordsQuery{}, shortTimeout)
		must.Error(t, err)
		time.Sleep(700 * time.Millisecond)
		_, err = c.Records(t.Context(), messenger.RecordsQuery{}, shortTimeout)
		must.NoError(t, err)
		must.EqOp(t, 2, dials.Load(), must.Sprint("connections"))
	})
}
