package relayer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// coldRate is the requests per second that a cold upstream can serve in these tests, and coldBound
// the limit for all entries together: half as much again, plus five.
const (
	coldRate  = 14
	coldBound = 1.5*coldRate + 5
)

// coldEntries makes entries that all have each other as members, with one cold upstream without an agent.
func coldEntries(c *clocktest.FakeClock, n int) []*relayer.Placer {
	table := &matcher.Table{Version: 1, Services: map[string]*matcher.Service{"desk": {Name: "desk", ColdRate: coldRate}}}
	table.Index()
	decode := func(key string, _ []byte) (registrar.Fact, error) {
		switch key {
		case "table":
			return registrar.Table{Table: table}, nil
		case "upstream":
			return registrar.Upstream{ID: key, Service: "desk", Address: netip.MustParseAddrPort("127.0.0.1:1"),
				FailureDomain: "a", Slots: 6, Cold: time.Minute}, nil
		default:
			return registrar.Member{ID: key}, nil
		}
	}
	b := registrar.Batch{Whole: true, At: 1000, Records: []registrar.Record{{Key: "table", Revision: 1}, {Key: "upstream", Revision: 2}}}
	for i := range n {
		b.Records = append(b.Records, registrar.Record{Key: fmt.Sprintf("entry-%d", i), Revision: uint64(3 + i)})
	}
	var ps []*relayer.Placer
	for i := range n {
		reg := &registrar.Registrar{Clock: c, Decode: decode}
		reg.Apply(b)
		ps = append(ps, &relayer.Placer{
			Registrar: reg, Clock: c, FailureDomain: "a", Region: "r", Regions: map[string]string{"a": "r"},
			Chooser:    &scheduler.Chooser{Clock: c, Random: rand.New(rand.NewPCG(uint64(i), 1))},
			ColdFactor: 1.5, ColdSlack: 5,
		})
	}
	return ps
}

// Guards against entries that together overload a cold upstream: after an outage of a failure
// domain, all entries have requests for its plain services, and many entries' first requests exceed
// in one second what a cold upstream can serve. It crashes and is cold again.
func TestEntriesShareTheRateOfAColdService(t *testing.T) {
	for _, n := range []int{1, 9, 24, 60, 300} {
		c := clocktest.NewFakeClock(time.Unix(1000, 0))
		ps := coldEntries(c, n)
		var passed []time.Time
		for range 400 {
			for _, p := range ps {
				j := &relayer.Job{Route: &matcher.Route{Name: "book"}, Service: "desk", Arrived: c.Now(), Deadline: c.Now().Add(time.Second)}
				if _, err := p.Place(context.Background(), j); err == nil {
					passed = append(passed, c.Now())
				}
			}
			c.Step(50 * time.Millisecond)
		}
		must.Positive(t, len(passed), must.Sprintf("%d entries send nothing at all", n))
		must.LessEq(t, int(coldBound), maxWithin(passed, time.Second), must.Sprintf("%d entries", n))
	}
}

// maxWithin is the largest number of times within a span; the times are in order.
func maxWithin(ts []time.Time, span time.Duration) int {
	most, from := 0, 0
	for i, t := range ts {
		for t.Sub(ts[from]) >= span {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Guards against retries that are earned by the requests of one service and spent on another, which
// refuses all. Its few requests were sent three times each, beyond the bound of a fifth plus a
// hundred that applies to each service, and its recovery took longer.
func TestRetryBudgetsArePerService(t *testing.T) {
	w := newTestEntry(t, newUpstream(t, "a", serves), newUpstream(t, "office-a", refuses), newUpstream(t, "office-b", refuses), newUpstream(t, "office-c", refuses))
	const few, busy = 120, 12
	for i := range few {
		for k := range busy {
			must.Eq(t, http.StatusOK, w.request(t, "/safe/1", fmt.Sprintf("s%d-%d", i, k)).status)
		}
		w.request(t, "/office/1", fmt.Sprintf("o%d", i))
	}
	sent := 0
	for _, u := range w.upstreams[1:] {
		sent += len(u.received())
	}
	must.LessEq(t, int(retryRatio*few)+retrySlack, sent-few)
}

// Guards against exceeding the connections of an upstream in a burst of bookings. It resets
// connections beyond its limit, so whether the request on one ran is unknown to its caller,
// although other upstreams had free slots.
func TestBurstKeepsWithinAnUpstreamsConnections(t *testing.T) {
	var mu sync.Mutex
	open, most := 0, 0
	u := newUpstream(t, "a", func(_ int, id string, conn net.Conn) bool {
		mu.Lock()
		open++
		most = max(most, open)
		over := open > deskConnections
		mu.Unlock()
		defer func() {
			mu.Lock()
			defer mu.Unlock()
			open--
		}()
		if over {
			return false
		}
		time.Sleep(50 * time.Millisecond)
		writeString(conn, sealedReply(id, "done"))
		return true
	})
	w := newTestEntry(t, u)
	statuses := make(chan int, 3*deskConnections)
	for i := range cap(statuses) {
		go func() { statuses <- w.request(t, "/once/1", fmt.Sprintf("r%d", i)).status }()
	}
	counts := map[int]int{}
	for range cap(statuses) {
		counts[<-statuses]++
	}
	must.LessEq(t, deskConnections, most)
	must.Eq(t, cap(statuses), counts[http.StatusOK]+counts[http.StatusServiceUnavailable], must.Sprint(counts))
	must.Positive(t, counts[http.StatusOK])
}
