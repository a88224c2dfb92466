package relayer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

const (
	// engineConnections is how many connections an engine accepts from all entries, and ownConnections one
	// entry's share of them.
	engineConnections = 15
	ownConnections    = 2
	// immediateRefusalAge is the age after which a request that finds no slot is refused at once.
	immediateRefusalAge = 400 * time.Millisecond
)

// newTwoEnginePlacer makes an entry's placer with an engine in its own failure domain and one in another region,
// both with agents that grant every slot.
func newTwoEnginePlacer(t *testing.T) (*relayer.Placer, *clocktest.FakeClock) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	table := engineTable()
	table.Services["engines"].Connections = engineConnections
	engines := map[string]registrar.Upstream{
		"near": {Address: netip.MustParseAddrPort("127.0.0.1:1"), FailureDomain: "a"},
		"far":  {Address: netip.MustParseAddrPort("127.0.0.2:1"), FailureDomain: "b"},
	}
	reg := &registrar.Registrar{Clock: c, Decode: func(key string, _ []byte) (registrar.Fact, error) {
		u, ok := engines[key]
		if !ok {
			return registrar.Table{Table: table}, nil
		}
		u.ID, u.Service, u.Slots, u.Models = key, "engines", 12, []registrar.HeldModel{{Name: "m", Version: 1}}
		return u, nil
	}}
	reg.Apply(registrar.Batch{Whole: true, At: 10, Records: []registrar.Record{
		{Key: "table", Revision: 1}, {Key: "near", Revision: 2}, {Key: "far", Revision: 3},
	}})
	p := &relayer.Placer{
		Registrar: reg, Clock: c, FailureDomain: "a", Region: "r", Regions: map[string]string{"a": "r", "b": "s"},
		Chooser:      &scheduler.Chooser{Clock: c, Random: rand.New(rand.NewPCG(1, 1))},
		WeightsBound: 8 * time.Second,
		Agents:       &messenger.Clients{Timeout: 5 * time.Second, Dial: func(a netip.AddrPort) *messenger.Client { return &messenger.Client{Address: a} }},
	}
	port := uint16(0)
	for _, ip := range []string{"127.0.0.1", "127.0.0.2"} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		must.NoError(t, err)
		port = netip.MustParseAddrPort(l.Addr().String()).Port()
		serveGrantingAgent(t, l)
	}
	p.AgentPort = port
	return p, c
}

// serveGrantingAgent serves an agent whose engine always has the same few slots taken.
func serveGrantingAgent(t *testing.T, l net.Listener) {
	s := &messenger.Server{Listener: l, OnLost: func(*messenger.Link) {}, OnProgress: func(messenger.Progress, *messenger.Link) {},
		OnReserve: func(messenger.Reservation, *messenger.Link) messenger.Decision {
			return messenger.Decision{Granted: true, Version: 1, Slots: 12, Active: 1}
		}}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = s.Serve(ctx) }()
}

// placeDraft places one generation that arrived some time ago.
func placeDraft(p *relayer.Placer, c *clocktest.FakeClock, id string, waited time.Duration) (*relayer.Placement, error) {
	j := &relayer.Job{Route: engineTable().Routes[0], Service: "engines", Arrived: c.Now().Add(-waited), Deadline: c.Now().Add(5 * time.Second)}
	j.ID, j.Model, j.Prompt = id, "m", 800
	return p.Place(context.Background(), j)
}

// Guards against placing requests at a favoured engine where this entry has all its connections in use. The
// engine has free slots, so its agent keeps granting them, but nothing can be sent: the request fails within the
// entry, three times at most and each time at the cost of a retry, and is refused although other engines are
// free. With 33 entries and engines that accept 248 connections, 6 for each entry, 30 to 70 of 520 requests a
// second were refused so on a calm stretch of a recorded day.
func TestEngineAtConnectionLimitIsSkipped(t *testing.T) {
	p, c := newTwoEnginePlacer(t)
	placements := map[string]int{}
	for i := range 2 * ownConnections {
		place, err := placeDraft(p, c, fmt.Sprint(i), 0)
		must.NoError(t, err)
		placements[place.Upstream.ID]++
	}
	must.Eq(t, map[string]int{"near": ownConnections, "far": ownConnections}, placements)
	_, err := placeDraft(p, c, "one too many", immediateRefusalAge)
	must.Error(t, err)
	must.Eq(t, ownConnections, p.Chooser.Running("near"), must.Sprint("refused requests must not count as running"))
}

// Guards against a burst of requests that all go to the nearest engine and mostly fail there: while their
// reservations are on the way none of them has a connection yet, so a check just before the reservation is not
// enough.
func TestBurstIsSpreadByConnectionLimits(t *testing.T) {
	p, c := newTwoEnginePlacer(t)
	var mu sync.Mutex
	placements := map[string]int{}
	var callers sync.WaitGroup
	for i := range 40 {
		callers.Go(func() {
			place, err := placeDraft(p, c, fmt.Sprint(i), 0)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			placements[place.Upstream.ID]++
		})
	}
	// Requests that find no connection look again for a while of the entry's clock.
	done := make(chan struct{})
	go func() {
		callers.Wait()
		close(done)
	}()
	for {
		select {
		case <-done:
			must.Eq(t, map[string]int{"near": ownConnections, "far": ownConnections}, placements)
			return
		case <-time.After(5 * time.Millisecond):
			c.Step(20 * time.Millisecond)
		}
	}
}
