package relayer_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/detector"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
)

// Guards against requests that cross their upstream's close of a connection, as its idle time was counted from after a stall.
func TestConnectionIsIdleSinceBeforeAStall(t *testing.T) {
	for name, e := range map[string]struct {
		inReply, afterReply time.Duration
		opened              int32
	}{
		"no stall":           {opened: 1},
		"stall in the reply": {inReply: 4 * time.Second, opened: 2},
		"stall while idle":   {afterReply: 4 * time.Second, opened: 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := clocktest.NewFakeClock(time.Unix(1000, 0))
			w := newTestEntry(t, newUpstream(t, "desk", func(_ int, id string, conn net.Conn) bool {
				c.Step(e.inReply)
				writeString(conn, sealedReply(id, "whole"))
				return true
			}))
			var opened atomic.Int32
			w.relayer.Pool = &relayer.Pool{Clock: c, Stalls: detector.New(c, metrics.NewRegistry()), Opened: func() { opened.Add(1) }}
			must.Eq(t, "whole", w.request(t, "/safe/", "r1").body)
			c.Step(e.afterReply)
			must.Eq(t, "whole", w.request(t, "/safe/", "r2").body)
			must.Eq(t, e.opened, opened.Load())
		})
	}
}
