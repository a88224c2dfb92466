package reporter_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	clocktesting "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/reporter"
)

const timeout = 10 * time.Second

// get sends a request to a handler for operators.
func get(h http.Handler, path string) *httptest.ResponseRecorder {
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, path, http.NoBody))
	return rec
}

// Guards against a line that a collector can't parse: it drops the whole response for one
// such line, and all metrics are missing.
func TestMetricsTextForm(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests.ran", r).Inc(3)
	metrics.GetOrRegisterMeter("requests.marked", r).Mark(2)
	metrics.NewRegisteredFunctionalGauge("bundle.ageMs", r, func() int64 { return -1 })
	metrics.GetOrRegisterGaugeFloat64("gate.share-used", r).Update(0.25)
	metrics.GetOrRegisterHistogram("empty", r, metrics.NewUniformSample(8))
	timer := metrics.GetOrRegisterTimer("request", r)
	timer.Update(2 * time.Second)
	timer.Update(2 * time.Second)
	rec := get(reporter.Handler(nil, nil, r), "/metrics")
	must.StrHasPrefix(t, "text/plain; version=0.0.4", rec.Header().Get("Content-Type"))
	text := rec.Body.String()
	line := regexp.MustCompile(`^(# TYPE [a-zA-Z_:][a-zA-Z0-9_:]* (counter|gauge|summary)|[a-zA-Z_:][a-zA-Z0-9_:]*(\{quantile="0\.\d+"\})? -?[0-9.e+-]+)$`)
	for l := range strings.Lines(text) {
		must.RegexMatch(t, line, strings.TrimSuffix(l, "\n"))
	}
	for _, want := range []string{
		"# TYPE oriolecroft_requests_ran counter\noriolecroft_requests_ran 3\n",
		"oriolecroft_requests_marked 2\n",
		"# TYPE oriolecroft_bundle_ageMs gauge\noriolecroft_bundle_ageMs -1\n",
		"oriolecroft_gate_share_used 0.25\n",
		"oriolecroft_empty_count 0\n",
		"# TYPE oriolecroft_request_seconds summary\noriolecroft_request_seconds{quantile=\"0.5\"} 2\n",
		"oriolecroft_request_seconds_sum 4\noriolecroft_request_seconds_count 2\n",
	} {
		must.StrContains(t, text, want)
	}
}

// A process runs but may accept no new requests. A collector that shows it as ready would
// hide that from the operators.
func TestReadinessIsSeparateFromHealth(t *testing.T) {
	var problem error
	h := reporter.Handler(func() any { return map[string]int{"running": 2} }, func() error { return problem }, metrics.NewRegistry())
	must.Eq(t, http.StatusOK, get(h, "/readyz").Code)
	problem = errors.New("staleBundle")
	rec := get(h, "/readyz")
	must.Eq(t, http.StatusServiceUnavailable, rec.Code)
	must.StrContains(t, rec.Body.String(), "staleBundle")
	must.Eq(t, http.StatusOK, get(h, "/healthz").Code)
	must.Eq(t, "{\n  \"running\": 2\n}\n", get(h, "/status").Body.String())
}

// A process shuts down while it writes a response. That response must be complete.
func TestShutdownFinishesRequests(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	started := make(chan struct{})
	w := &reporter.Web{Listener: l, Grace: timeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-ctx.Done()
		_, _ = io.WriteString(w, "whole")
	})}
	ended := make(chan error, 1)
	go func() { ended <- w.Serve(ctx) }()
	go func() { <-started; cancel() }()
	c := &http.Client{Timeout: timeout}
	res, err := c.Get("http://" + l.Addr().String())
	must.NoError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	must.Eq(t, "whole", string(body))
	must.ErrorIs(t, <-ended, context.Canceled)
}

func TestEveryRunsAtOnceAndAtEachTick(t *testing.T) {
	c := clocktesting.NewFakeClock(time.Unix(0, 0))
	worked := make(chan struct{})
	s := reporter.Every("work", c, time.Second, func(context.Context) { worked <- struct{}{} })
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx) }()
	<-worked
	for range 3 {
		c.Step(time.Second)
		<-worked
	}
	cancel()
	must.ErrorIs(t, <-ended, context.Canceled)
}

// Guards against a connection that is closed without an answer, as its request arrives while the process stops.
func TestDrainAnswersRequestsThatArriveDuringIt(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	w := &reporter.Web{Listener: l, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "whole") })}
	ended := make(chan error, 1)
	go func() { ended <- w.Serve(ctx) }()
	c, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer c.Close()
	// The server has accepted the connection once it answers on a later one.
	res, err := http.Get("http://" + l.Addr().String())
	must.NoError(t, err)
	must.NoError(t, res.Body.Close())
	drained := make(chan error, 1)
	go func() { drained <- w.Drain(t.Context()) }()
	time.Sleep(100 * time.Millisecond)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	res, err = http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	must.Eq(t, "whole", string(body))
	must.NoError(t, <-drained)
	must.Eq(t, 0, len(ended), must.Sprint("the service ends with its context"))
	cancel()
	must.ErrorIs(t, <-ended, context.Canceled)
}
