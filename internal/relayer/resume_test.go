package relayer_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// Guards against a stream whose halves were written by different weights. The engine of a reply dies halfway; the
// only other one has loaded a newer version of the weights, and its agent is unresponsive.
func TestStreamIsNotResumedWithOtherWeights(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	table := engineTable()
	reg := &registrar.Registrar{Clock: c, Decode: func(key string, value []byte) (registrar.Fact, error) {
		switch key {
		case "table":
			return registrar.Table{Table: table}, nil
		case "weights":
			return registrar.Weights{Model: "m", Version: uint64(value[0])}, nil
		default:
			return registrar.Upstream{ID: key, Service: "engines", Address: netip.MustParseAddrPort("127.0.0.1:1"), FailureDomain: "a",
				Slots: 12, Models: []registrar.HeldModel{{Name: "m", Version: 2}}}, nil
		}
	}}
	reg.Apply(registrar.Batch{Whole: true, At: 10, Records: []registrar.Record{{Key: "table", Revision: 1}, {Key: "engine", Revision: 2}}})
	announce(reg, 2)
	p := &relayer.Placer{
		Registrar: reg, Clock: c, FailureDomain: "a", Region: "r", Regions: map[string]string{"a": "r"},
		Chooser:   &scheduler.Chooser{Clock: c, Random: rand.New(rand.NewPCG(1, 1))},
		AgentPort: 1, WeightsBound: 8 * time.Second,
		Agents: &messenger.Clients{Timeout: time.Second, Dial: func(a netip.AddrPort) *messenger.Client { return &messenger.Client{Address: a} }},
	}
	resumes := func() bool {
		j := &relayer.Job{Route: table.Routes[0], Service: "engines", Again: true, Version: 1, Arrived: c.Now(), Deadline: c.Now().Add(5 * time.Second)}
		j.ID, j.Model, j.Prompt = "id", "m", 800
		ctx, stop := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer stop()
		place, err := p.Place(ctx, j)
		return err == nil && place != nil
	}
	must.False(t, resumes(), must.Sprint("shortly after the announcement"))
	c.Step(5 * time.Second)
	must.False(t, resumes(), must.Sprint("after half of the weights bound"))
}

// Guards against the body of a failure, or of another kind of reply, that is written into a stream in progress
// and ends it as if it were whole.
func TestStartedStreamIsNotEndedByAFailure(t *testing.T) {
	for _, status := range []string{"500 Internal Server Error", "404 Not Found", "204 No Content", "201 Created"} {
		t.Run(status, func(t *testing.T) {
			var first firstUpstream
			answer := func(name string) func(int, string, net.Conn) bool {
				return func(n int, id string, conn net.Conn) bool {
					if !first.claim(name) {
						return failsWith(status)(n, id, conn)
					}
					writeString(conn, streamHead(id)+chunked(event(1)))
					return false
				}
			}
			a := newTestEntry(t, newUpstream(t, "u1", answer("u1")), newUpstream(t, "u2", answer("u2"))).request(t, "/stream/", "r1")
			must.True(t, a.broken)
			must.Eq(t, event(1), a.body)
		})
	}
}
