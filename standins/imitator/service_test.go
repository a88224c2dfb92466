package imitator_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktesting "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

func book(p testServer, name string) int {
	r, err := http.NewRequest(http.MethodPost, p.url+"/bookings", strings.NewReader(`{}`))
	must.NoError(p.t, err)
	r.Header.Set("Booking", name)
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

// A booking runs, but its answer is lost. A caller that treats this as "not run" and
// books again runs it twice.
func TestServiceDropsAnswers(t *testing.T) {
	p := startServer(t, (&imitator.Service{}).Handler())
	p.expect(200, "POST", "/admin/faults", `{"dropAnswers":true}`)
	must.Eq(t, 0, book(p, "a"))
	p.expect(200, "POST", "/admin/faults", `{}`)
	must.Eq(t, 200, book(p, "a"))
	must.Eq(t, 200, book(p, "b"))
	must.StrContains(t, p.expect(200, "GET", "/admin/counts", ""), `"runs":3,"bookings":2,"doubled":1`)
	must.StrContains(t, p.expect(200, "GET", "/admin/bookings", ""), `{"a":2,"b":1}`)
}

// A cold service receives more concurrent bookings than its ColdLimit. It restarts
// and aborts the running one.
func TestServiceCrashesUnderLoadWhenCold(t *testing.T) {
	c := clocktesting.NewFakeClock(epoch)
	s := &imitator.Service{Clock: c, Time: time.Second, ColdLimit: 1, ColdFor: time.Minute}
	p := startServer(t, s.Handler())
	statuses := make(chan int)
	go func() { statuses <- book(p, "a") }()
	awaitTimers(c, 1)
	must.Eq(t, 0, book(p, "b"))
	must.Eq(t, 0, <-statuses)
	must.StrContains(t, p.expect(200, "GET", "/admin/counts", ""), `"fellOver":1,"worstCold":2`)
	must.StrContains(t, p.expect(200, "GET", "/admin/bookings", ""), `{"a":1}`)
}
