package dispatcher_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// Guards against callers that leave without an answer because their entry waits for an unresponsive
// agent as long as they do.
func TestCallerOfUnresponsiveAgentIsAnsweredWithinDeadline(t *testing.T) {
	const timeLimit = time.Second
	for _, kind := range []messenger.Kind{messenger.KindEngine, messenger.KindService} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer l.Close()
			env.Router.Report(messenger.AgentState{
				ID: "silent", Incarnation: "i", FailureDomain: "a", Region: "r", Kind: kind, Service: "bookings",
				Address: netip.MustParseAddrPort(l.Addr().String()), Sequence: 1, Gate: messenger.GateOpen, Limit: 4,
				Model: "rota", Version: "v1", Manifest: bundler.Digest(nil), EngineStart: "e", Revision: 1,
			})
			began := time.Now()
			if kind == messenger.KindEngine {
				g := newRequest()
				g.DeadlineMS = timeLimit.Milliseconds()
				err = env.Generate(t.Context(), g, &fakeSink{})
			} else {
				c := newBooking("", false)
				c.Deadline = timeLimit
				_, err = env.Call(t.Context(), c)
			}
			took := time.Since(began)
			f := finalFailure(t, err)
			t.Logf("status %d, outcome %v, after %v", f.Status, f.Outcome, took)
			must.Less(t, timeLimit, took)
		})
	}
}
