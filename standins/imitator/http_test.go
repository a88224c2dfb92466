package imitator_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktesting "k8s.io/utils/clock/testing"
)

var epoch = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

// testServer is a handler that listens on a real socket.
type testServer struct {
	t   *testing.T
	url string
}

func startServer(t *testing.T, h http.Handler) testServer {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	return testServer{t, s.URL}
}

// call returns the status and the body. The status is 0 if the connection was closed
// before the end of the response.
func (p testServer) call(method, path, body string) (int, string) {
	p.t.Helper()
	r, err := http.NewRequest(method, p.url+path, strings.NewReader(body))
	must.NoError(p.t, err)
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, string(b)
	}
	return res.StatusCode, string(b)
}

// expect makes the call and requires the status. It returns the body.
func (p testServer) expect(status int, method, path, body string) string {
	p.t.Helper()
	got, answer := p.call(method, path, body)
	must.Eq(p.t, status, got, must.Sprint(answer))
	return answer
}

// awaitTimers waits until at least n timers of the clock are pending.
func awaitTimers(c *clocktesting.FakeClock, n int) {
	for c.Waiters() < n {
		runtime.Gosched()
	}
}
