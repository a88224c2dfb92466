package messenger_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/connector/connectortest"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

const (
	// replyTimeout is the timeout until a reply starts, pieceInterval the time between its pieces.
	replyTimeout  = 250 * time.Millisecond
	pieceInterval = 200 * time.Millisecond
)

// Guards against cancelling large replies while they arrive over a slow link, which makes the
// caller request them again.
func TestSlowReplyIsNotCancelled(t *testing.T) {
	batch, elapsed, err := querySlowPeer(t, 10, 10)
	must.NoError(t, err)
	must.EqOp(t, 9, batch.At)
	must.Greater(t, 4*replyTimeout, elapsed)
}

// Guards against waiting for the rest of a reply from a peer that was partitioned meanwhile.
func TestStalledReplyIsCancelled(t *testing.T) {
	for _, sent := range []int{0, 3} {
		_, elapsed, err := querySlowPeer(t, 10, sent)
		must.True(t, errors.Is(err, context.DeadlineExceeded), must.Sprint(err))
		must.LessEq(t, replyTimeout+time.Duration(sent)*pieceInterval+time.Second, elapsed)
	}
}

// querySlowPeer queries a peer that sends only some pieces of its reply, and returns the duration of the call.
func querySlowPeer(t *testing.T, pieces, sent int) (batch registrar.Batch, elapsed time.Duration, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(connectortest.SettleTime) })
		var n connectortest.Network
		l := n.Listen()
		go writeSlowly(l, pieces, sent)
		c := &messenger.Client{Address: netip.MustParseAddrPort(l.Addr().String()), Timeout: replyTimeout, Dial: n.Dial}
		defer c.Close()
		start := time.Now()
		batch, err = c.Records(t.Context(), messenger.RecordsQuery{}, replyTimeout)
		elapsed = time.Since(start)
	})
	return batch, elapsed, err
}

func writeSlowly(l net.Listener, pieces, sent int) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	id, err := readCallID(conn)
	if err != nil {
		return
	}
	reply := fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%s,"result":{"after":0,"at":9,"age":1,"whole":true}}`, id)
	size := len(reply)/pieces + 1
	for i := range sent {
		if _, err := conn.Write(reply[min(len(reply), i*size):min(len(reply), (i+1)*size)]); err != nil {
			return
		}
		time.Sleep(pieceInterval)
	}
	time.Sleep(connectortest.SettleTime / 2)
}
