package main_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/platform/standin"
)

// scriptedUpstreams answer each request with a text of the test's.
type scriptedUpstreams struct {
	mu sync.Mutex
	// reply has <id> in place of the request's ID.
	reply string
	// arrived counts the requests.
	arrived int
}

func (s *scriptedUpstreams) set(reply string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reply, s.arrived = reply, 0
}

func (s *scriptedUpstreams) arrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrived
}

// next returns the reply to a request.
func (s *scriptedUpstreams) next(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrived++
	return strings.ReplaceAll(s.reply, "<id>", id)
}

// ServeHTTP implements http.Handler. The connection stays open until the entry closes it.
func (s *scriptedUpstreams) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, s.next(r.Header.Get("X-Request-Attempt")))
	_, _ = io.Copy(io.Discard, conn)
}

// start starts an upstream and returns its address.
func (s *scriptedUpstreams) start(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", freshLoopback()+":8080")
	must.NoError(t, err)
	server := &http.Server{Handler: s}
	t.Cleanup(func() { server.Close() })
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

// Guards against an entry whose callers get an invalid status, or the body that comes with it, or wait for another reply.
func TestInvalidStatusReachesNoCaller(t *testing.T) {
	t.Parallel()
	d := &oddRecordsDeployment{store: standin.NewStore()}
	t.Cleanup(d.store.Close)
	d.store.PutBytes("op/config", []byte(`{"version":7,"services":[{"name":"desk"}],"routes":[
		{"name":"safe","host":"h","path_prefix":"/safe/","kind":"idempotent","public":true,"timeout_ms":20000,"target_latency_ms":500,"max_attempts":2,"service":"desk"},
		{"name":"once","host":"h","path_prefix":"/once/","kind":"non_idempotent","public":true,"timeout_ms":20000,"target_latency_ms":500,"max_attempts":2,"service":"desk"}]}`))
	us := &scriptedUpstreams{}
	const origin = "X-Request-Attempt: <id>\r\nX-Replica-Seal: x\r\n"
	valid := "HTTP/1.1 200 OK\r\n" + origin + "Connection: close\r\nContent-Length: 4\r\n\r\ndone"
	us.set(valid)
	for i := range 2 {
		record := strings.Replace(oddRecord("desk", us.start(t), time.Now()), `"models":[{"name":"m","version":1,"adapters":[]}],`, "", 1)
		d.store.PutBytes(fmt.Sprintf("servers/i-%d", i), []byte(record))
	}
	d.startEntries(t)
	sent := 0
	call := func(path string) (status int, body string, took time.Duration) {
		sent++
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+d.entries[0].String()+path, strings.NewReader("order"))
		must.NoError(t, err)
		r.Host = "h"
		r.Header.Set("X-Request-Attempt", fmt.Sprintf("%016x", sent))
		start := time.Now()
		res, err := http.DefaultClient.Do(r)
		must.NoError(t, err)
		defer res.Body.Close()
		text, err := io.ReadAll(res.Body)
		must.NoError(t, err)
		return res.StatusCode, string(text), time.Since(start)
	}
	mustServe := func(what string) {
		us.set(valid)
		deadline := time.Now().Add(20 * time.Second)
		for status, body, _ := call("/safe/"); status != http.StatusOK; status, body, _ = call("/safe/") {
			must.True(t, time.Now().Before(deadline), must.Sprint(what, status, body))
			time.Sleep(20 * time.Millisecond)
		}
	}
	mustServe("before")
	forged := strings.Replace(valid, "done", "fake", 1)
	sized := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(strings.ReplaceAll(forged, "<id>", fmt.Sprintf("%016x", 0))))
	for _, status := range []string{"000", "042", "101", "600", "999", "+20", "0200"} {
		for _, rest := range []string{"\r\n", "Content-Length: 4\r\n\r\nfake", "\r\n" + forged, sized + forged} {
			// The retries left decide whether the second upstream gets the request, too.
			for path, most := range map[string]int{"/safe/": 2, "/once/": 1} {
				what := fmt.Sprintf("%s %q", path, status+rest)
				us.set("HTTP/1.1 " + status + " Trouble\r\n" + origin + rest)
				got, body, took := call(path)
				must.Eq(t, http.StatusBadGateway, got, must.Sprint(what))
				must.StrNotContains(t, body, "fake", must.Sprint(what))
				must.Less(t, 10*time.Second, took, must.Sprint(what))
				must.Between(t, 1, us.arrivals(), most, must.Sprint(what))
				mustServe(what)
			}
		}
	}
}
