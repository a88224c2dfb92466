package imitator_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

// entry is an entry of the system that answers each call from a script. Past
// the script's end it repeats the last step.
type entry struct {
	mu     sync.Mutex
	script []func(w http.ResponseWriter, r *http.Request)
	calls  int
	keys   []string // of the bookings, in their order
	issued int
}

func (e *entry) start(t *testing.T) netip.AddrPort {
	m := http.NewServeMux()
	p := startPeer(t, m)
	a := netip.MustParseAddrPort(p.url[len("http://"):])
	m.HandleFunc("GET /v1/entries", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"entries":[{"address":%q}],"keepForMs":60000}`, a)
	})
	m.HandleFunc("POST /v1/keys", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.issued++
		fmt.Fprintf(w, `{"key":"k%d"}`, e.issued)
	})
	m.HandleFunc("POST /v1/generate", e.step)
	m.HandleFunc("POST /v1/services/{service}/{path...}", e.step)
	return a
}

func (e *entry) step(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if k := r.Header.Get("Oriolecroft-Key"); k != "" {
		e.keys = append(e.keys, k)
	}
	i := min(e.calls, len(e.script)-1)
	e.calls++
	e.script[i](w, r)
}

func refuse(outcome string) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Oriolecroft-Outcome", outcome)
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintf(w, `{"error":"e","outcome":%q,"retryAfterMs":1}`, outcome)
	}
}

func stream(events ...string) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		for _, v := range events {
			fmt.Fprintf(w, "data: %s\n\n", v)
		}
	}
}

func confirm(w http.ResponseWriter, r *http.Request) {
	fmt.Fprintf(w, `{"booking":%q}`, r.Header.Get("Booking"))
}

func breakOff(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

func TestCallerJudgesReplies(t *testing.T) {
	end := fmt.Sprintf(`{"done":true,"tokens":2,"version":"v1","weights":"w","digest":%q}`, digest("a b"))
	first := `{"index":0,"token":"a","version":"v1","weights":"w"}`
	second := `{"index":1,"token":"b","version":"v1","weights":"w"}`
	for _, c := range []struct {
		name   string
		events []string
		want   imitator.Result
	}{
		{"whole", []string{first, second, end}, imitator.Result{Whole: 1}},
		{"no end mark", []string{first, second}, imitator.Result{Broken: 1}},
		{"token missing", []string{second, end}, imitator.Result{Broken: 1}},
		{"token twice", []string{first, first, end}, imitator.Result{Broken: 1}},
		{
			"other weights",
			[]string{first, `{"index":1,"token":"b","version":"v1","weights":"x"}`, end},
			imitator.Result{Broken: 1, Mixed: 1},
		},
		{
			"error event",
			[]string{first, `{"error":{"outcome":"unknown","message":"m"}}`},
			imitator.Result{Unknown: 1},
		},
		{
			"not run after a token",
			[]string{first, `{"error":{"outcome":"notRun","message":"m"}}`},
			imitator.Result{Unknown: 1},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := &entry{script: []func(http.ResponseWriter, *http.Request){stream(c.events...)}}
			r := (&imitator.Caller{Entries: []netip.AddrPort{e.start(t)}, Requests: 1}).Run(t.Context())
			c.want.Requests = 1
			c.want.Fates = map[string]imitator.Fate{}
			r.P50Ms, r.P99Ms = 0, 0
			must.Eq(t, c.want, r)
			must.Eq(t, 1, e.calls)
		})
	}
}

// Refusals and broken connections come before the confirmation. The caller
// keeps its key while the booking may have run, and takes a new one once it is
// told that it has not.
func TestCallerBooksWithOneKeyUntilNotRun(t *testing.T) {
	e := &entry{script: []func(http.ResponseWriter, *http.Request){
		breakOff, refuse("unknown"), refuse("notRun"), confirm,
	}}
	r := (&imitator.Caller{Entries: []netip.AddrPort{e.start(t)}, Bookings: 1, Seed: 3}).Run(t.Context())
	must.Eq(t, 1, r.BookingsDone)
	must.Eq(t, map[string]imitator.Fate{"b-3-0": imitator.FateDone}, r.Fates)
	must.Eq(t, []string{"k1", "k1", "k1", "k2"}, e.keys)
}

func TestCallerGivesUp(t *testing.T) {
	e := &entry{script: []func(http.ResponseWriter, *http.Request){refuse("notRun")}}
	c := &imitator.Caller{Entries: []netip.AddrPort{e.start(t)}, Requests: 1, Bookings: 1}
	r := c.Run(t.Context())
	must.Eq(t, 1, r.Refused)
	must.Eq(t, 1, r.BookingsRefused)
	must.Eq(t, 12, e.calls)
}

// One booking ran at two services, another ran though its caller was told that
// it had not, and a third ran without any caller's knowledge.
func TestCheckerFindsFalseWords(t *testing.T) {
	p := startPeer(t, (&imitator.Service{}).Handler())
	q := startPeer(t, (&imitator.Service{}).Handler())
	for _, b := range []string{"doubled", "refused", "stray"} {
		must.Eq(t, 200, book(p, b))
	}
	must.Eq(t, 200, book(q, "doubled"))
	c := &imitator.Checker{
		Services: []netip.AddrPort{
			netip.MustParseAddrPort(p.url[len("http://"):]),
			netip.MustParseAddrPort(q.url[len("http://"):]),
		},
		Results: []imitator.Result{{Bookings: 2, Fates: map[string]imitator.Fate{
			"doubled": imitator.FateDone,
			"refused": imitator.FateNotRun,
		}}},
	}
	totals, err := c.Run(t.Context())
	must.NoError(t, err)
	must.Eq(t, imitator.Totals{Bookings: 2, Doubled: 1, FalseNotRun: 2}, totals)
}
