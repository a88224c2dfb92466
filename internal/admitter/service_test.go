package admitter_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"
	testingclock "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/admitter"
	"github.com/oriolecroft/oriolecroft/internal/driver"
	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

// harness is a gate in front of a stand-in service, over HTTP.
type harness struct {
	gate    *admitter.Gate
	clock   *testingclock.FakeClock // nil with the real clock
	service driver.Service
	url     string
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	c := testingclock.NewFakeClock(epoch)
	s := &imitator.Service{Clock: c, Time: time.Second, Limit: 16, ColdLimit: 2, ColdFor: time.Hour}
	r := startHarness(t, c, s, true)
	r.clock = c
	return r
}

// startHarness puts a gate in front of the service.
func startHarness(t testing.TB, c clock.PassiveClock, s *imitator.Service, confirm bool) *harness {
	t.Helper()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	g := &admitter.Gate{Clock: c, ColdLimit: 2, Limit: 6, Confirm: confirm}
	g.Open(admitter.Booting)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	return &harness{gate: g, service: driver.Service{Address: address}, url: server.URL}
}

// probe queries the service's state and passes the result to the gate.
func (r *harness) probe(ctx context.Context) {
	mark := r.gate.Mark()
	h, err := driver.Check(ctx, &r.service)
	r.gate.Probe(admitter.Probe{Mark: mark, Err: err, StartID: h.StartID, Uptime: h.Uptime, Cold: h.Cold})
}

// call sends one booking through the gate, as an agent does.
func (r *harness) call(ctx context.Context) error {
	k, err := r.gate.AdmitWait(ctx, admitter.Request{})
	if err != nil {
		return err
	}
	resp, err := r.service.Call(driver.OnConnect(ctx, k.Connected), http.MethodPost, "/book", nil, nil)
	if err == nil {
		_, err = driver.ReadReply(resp, 1000)
		resp.Body.Close()
	}
	outcome := admitter.Served
	if err != nil {
		outcome = admitter.Cut
	}
	k.Done(admitter.Result{Outcome: outcome, Latency: time.Second})
	return err
}

// Guards against overloading a booking service that restarted while idle,
// without breaking a connection. Many calls arrive together before the next
// regular probe; if all were admitted, the cold service would crash and leave
// the outcome of every booking unknown.
func TestColdServiceIsNotOverloadedAfterUndetectedRestart(t *testing.T) {
	const calls = 6
	r := newHarness(t)
	r.clock.Step(time.Hour)
	for range calls {
		r.probe(t.Context())
		r.clock.Step(time.Second)
	}
	_, limit, _ := r.gate.State()
	must.Eq(t, calls, limit)
	r.fault(t, `{"restart":true}`)
	results := make(chan error, calls)
	for range calls {
		go func() { results <- r.call(t.Context()) }()
	}
	served, full, doubtful := 0, 0, 0
	for served+full+doubtful < calls {
		select {
		case <-r.gate.ProbeWanted():
			r.probe(t.Context())
		case err := <-results:
			var refused *admitter.RefusedError
			switch {
			case err == nil:
				served++
			case errors.As(err, &refused):
				full++
			default:
				doubtful++
			}
		default:
			r.advance(t, calls-served-full-doubtful)
		}
	}
	test.Eq(t, 0, doubtful)
	test.Eq(t, 2, served)
	test.Eq(t, serviceCounts{WorstCold: 2}, r.counts(t))
}

// advance steps the clock once all remaining calls are running at the service.
// Earlier, one could end before another has arrived.
func (r *harness) advance(t *testing.T, left int) {
	t.Helper()
	state, err := r.service.State(t.Context())
	must.NoError(t, err)
	if state.Running == left {
		r.clock.Step(time.Second)
	}
	runtime.Gosched()
}

func (r *harness) fault(t *testing.T, faults string) {
	t.Helper()
	resp, err := http.Post(r.url+"/admin/faults", "application/json", strings.NewReader(faults))
	must.NoError(t, err)
	resp.Body.Close()
	must.Eq(t, http.StatusOK, resp.StatusCode)
}

// serviceCounts are the stand-in's counters for a cold start.
type serviceCounts struct {
	FellOver  int `json:"fellOver"`
	WorstCold int `json:"worstCold"`
}

func (r *harness) counts(t *testing.T) serviceCounts {
	t.Helper()
	resp, err := http.Get(r.url + "/admin/counts")
	must.NoError(t, err)
	defer resp.Body.Close()
	var c serviceCounts
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&c))
	return c
}

// BenchmarkConfirm measures the cost of the probes between calls: six callers
// of a service that takes 20 ms for a call and has no cold start.
func BenchmarkConfirm(b *testing.B) {
	for _, confirm := range []bool{false, true} {
		b.Run(fmt.Sprint(confirm), func(b *testing.B) {
			r := startHarness(b, clock.RealClock{}, &imitator.Service{Time: 20 * time.Millisecond}, confirm)
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			go r.keepProbing(ctx)
			var callers sync.WaitGroup
			next := make(chan struct{})
			for range 6 {
				callers.Go(func() {
					for range next {
						for r.call(ctx) != nil {
							runtime.Gosched()
						}
					}
				})
			}
			for b.Loop() {
				next <- struct{}{}
			}
			close(next)
			callers.Wait()
		})
	}
}

// keepProbing probes every 100 ms and whenever the gate requests it.
func (r *harness) keepProbing(ctx context.Context) {
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	for ctx.Err() == nil {
		r.probe(ctx)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-r.gate.ProbeWanted():
		}
	}
}
