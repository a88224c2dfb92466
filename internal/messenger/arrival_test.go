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
	// firstByte is the timeout until an answer begins, pieceGap the time between its pieces.
	firstByte = 250 * time.Millisecond
	pieceGap  = 200 * time.Millisecond
)

// Guards against large answers that are given up while they arrive over a narrow link, and asked
// for again.
func TestArrivingAnswerIsNotGivenUp(t *testing.T) {
	batch, took, err := askSlowPeer(t, 10, 10)
	must.NoError(t, err)
	must.EqOp(t, 9, batch.At)
	must.Greater(t, 4*firstByte, took)
}

// Guards against waiting for the rest of an answer from a peer that was cut off meanwhile.
func TestStalledAnswerIsGivenUp(t *testing.T) {
	for _, sent := range []int{0, 3} {
		_, took, err := askSlowPeer(t, 10, sent)
		must.True(t, errors.Is(err, context.DeadlineExceeded), must.Sprint(err))
		must.LessEq(t, firstByte+time.Duration(sent)*pieceGap+time.Second, took)
	}
}

// askSlowPeer asks a peer that sends so many of its answer's pieces, and gives how long the call took.
func askSlowPeer(t *testing.T, pieces, sent int) (batch registrar.Batch, took time.Duration, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(connectortest.SettleTime) })
		var n connectortest.Network
		l := n.Listen()
		go sendSlowly(l, pieces, sent)
		c := &messenger.Client{Address: netip.MustParseAddrPort(l.Addr().String()), Timeout: firstByte, Dial: n.Dial}
		defer c.Close()
		began := time.Now()
		batch, err = c.Records(t.Context(), messenger.RecordsQuery{}, firstByte)
		took = time.Since(began)
	})
	return batch, took, err
}

func sendSlowly(l net.Listener, pieces, sent int) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	id, err := readCallID(conn)
	if err != nil {
		return
	}
	answer := fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%s,"result":{"after":0,"at":9,"age":1,"whole":true}}`, id)
	size := len(answer)/pieces + 1
	for i := range sent {
		if _, err := conn.Write(answer[min(len(answer), i*size):min(len(answer), (i+1)*size)]); err != nil {
			return
		}
		time.Sleep(pieceGap)
	}
	time.Sleep(connectortest.SettleTime / 2)
}
