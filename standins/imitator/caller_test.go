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

// scriptedEntry is an entry that responds to each call from a script and repeats the
// last step after its end.
type scriptedEntry struct {
	mu     sync.Mutex
	script []func(w http.ResponseWriter, r *http.Request)
	calls  int
	keys   []string // of the bookings, in order of arrival
	issued int
}

func (e *scriptedEntry) start(t *testing.T) netip.AddrPort {
	m := http.NewServeMux()
	p := startServer(t, m)
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
	m.HandleFunc("POST /v1/generate", e.answerNext)
	m.HandleFunc("POST /v1/services/{service}/{path...}", e.answerNext)
	return a
}

func (e *scriptedEntry) answerNext(w http.ResponseWriter, r *http.Request) {
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

func abortConnection(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

func TestCallerClassifiesReplies(t *testing.T) {
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
			e := &scriptedEntry{script: []func(http.ResponseWriter, *http.Request){stream(c.events...)}}
			r := (&imitator.Caller{Entries: []netip.AddrPort{e.start(t)}, Requests: 1}).Run(t.Context())
			c.want.Requests = 1
			c.want.BookingOutcomes = map[string]imitator.BookingOutcome{}
			r.P50Ms, r.P99Ms = 0, 0
			must.Eq(t, c.want, r)
			must.Eq(t, 1, e.calls)
		})
	}
}

// Guards against doubled bookings after aborted connections and refusals. The caller
// keeps its key while the booking may have run, and requests a new one once the
// response states that it has not.
func TestCallerKeepsKeyUntilNotRun(t *testing.T) {
	e := &scriptedEntry{script: []func(http.ResponseWriter, *http.Request){
		abortConnection, refuse("unknown"), refuse("notRun"), confirm,
	}}
	r := (&imitator.Caller{Entries: []netip.AddrPort{e.start(t)}, Bookings: 1, Seed: 3}).Run(t.Context())
	must.Eq(t, 1, r.BookingsDone)
	must.Eq(t, map[string]imitator.BookingOutcome{"b-3-0": imitator.BookingDone}, r.BookingOutcomes)
	must.Eq(t, []string{"k1", "k1", "k1", "k2"}, e.keys)
}

func TestCallerGivesUp(t *testing.T) {
	e := &scriptedEntry{script: []func(http.ResponseWriter, *http.Request){refuse("notRun")}}
	c := &imitator.Caller{Entries: []netip.AddrPort{e.start(t)}, Requests: 1, Bookings: 1}
	r := c.Run(t.Context())
	must.Eq(t, 1, r.Refused)
	must.Eq(t, 1, r.BookingsRefused)
	must.Eq(t, 12, e.calls)
}

// One booking ran at two services, another ran although its caller was informed that
// it had not, and a third has no caller.
func TestCheckerDetectsFalseOutcomes(t *testing.T) {
	p := startServer(t, (&imitator.Service{}).Handler())
	q := startServer(t, (&imitator.Service{}).Handler())
	for _, b := range []string{"doubled", "refused", "stray"} {
		must.Eq(t, 200, book(p, b))
	}
	must.Eq(t, 200, book(q, "doubled"))
	c := &imitator.Checker{
		Services: []netip.AddrPort{
			netip.MustParseAddrPort(p.url[len("http://"):]),
			netip.MustParseAddrPort(q.url[len("http://"):]),
		},
		Results: []imitator.Result{{Bookings: 2, BookingOutcomes: map[string]imitator.BookingOutcome{
			"doubled": imitator.BookingDone,
			"refused": imitator.BookingNotRun,
		}}},
	}
	totals, err := c.Run(t.Context())
	must.NoError(t, err)
	must.Eq(t, imitator.Totals{Bookings: 2, Doubled: 1, FalseNotRun: 2}, totals)
}
