package acceptor_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/oriolecroft/oriolecroft/internal/acceptor"
	"github.com/oriolecroft/oriolecroft/internal/drainer"
)

// server is an HTTP server with limits.
type server struct {
	*acceptor.Limits
	address string
	// release lets requests for /wait end.
	release chan struct{}
	started chan struct{}
}

func newServer(t *testing.T, l *acceptor.Limits, share float64) *server {
	t.Helper()
	l.Metrics = metrics.NewRegistry()
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &server{Limits: l, address: nl.Addr().String(), release: make(chan struct{}), started: make(chan struct{}, 100)}
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/wait" {
			s.started <- struct{}{}
			<-s.release
		}
		w.WriteHeader(http.StatusNoContent)
	})
	limited := l.Listen(nl)
	limited.Share = share
	d := &drainer.Server{Listener: limited, HTTP: &http.Server{Handler: acceptor.Handler(h, http.HandlerFunc(acceptor.Refuse)), MaxHeaderBytes: 256 << 10}}
	go func() { _ = d.Serve() }()
	t.Cleanup(func() { d.Close() })
	return s
}

func (s *server) open() int64 {
	return metrics.GetOrRegisterGauge("connections.open", s.Metrics).Value()
}

func (s *server) held() int64 { return metrics.GetOrRegisterCounter("memory.held", s.Metrics).Count() }

// dial opens a connection and sends a text.
func (s *server) dial(t *testing.T, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	must.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, text)
	must.NoError(t, err)
	return c
}

// dialRead is dial, and waits until the server has read the text, whose head must be longer than usual.
func (s *server) dialRead(t *testing.T, text string) net.Conn {
	t.Helper()
	before := s.held()
	c := s.dial(t, text)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return s.held() > before+acceptor.ConnectionBytes }), wait.Timeout(5*time.Second)))
	return c
}

// readStatus returns the status of the next answer; 0 if the connection was closed.
func readStatus(c net.Conn) int {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	b := make([]byte, 4096)
	n, _ := c.Read(b)
	var status int
	_, _ = fmt.Sscanf(string(b[:n]), "HTTP/1.1 %d", &status)
	return status
}

// isOpen reports whether a connection stays open.
func isOpen(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

const (
	request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	// largeHeadFields is the number of fields of a head that costs a sixth of the memory.
	largeHeadFields = 8000
)

func largeHead() string {
	return "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", largeHeadFields)
}

// Guards against closing idle connections while heads are incomplete, or connections with running requests at all.
func TestConnectionsAreClosedInOrder(t *testing.T) {
	s := newServer(t, &acceptor.Limits{Connections: 4}, 1)
	running := s.dial(t, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-s.started
	idle := s.dial(t, request)
	must.Eq(t, http.StatusNoContent, readStatus(idle))
	fields := strings.Repeat("a:\r\n", 100)
	body := s.dialRead(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n"+fields+"\r\nabc")
	head := s.dialRead(t, "GET / HTTP/1.1\r\nHost: h\r\n"+fields)
	// The server counts a connection as idle after it has sent the answer.
	time.Sleep(200 * time.Millisecond)
	for _, step := range []struct {
		name           string
		closed         net.Conn
		idle, bodyOpen bool
	}{
		{"the incomplete head", head, true, true},
		{"the idle connection", idle, false, true},
		{"the incomplete body", body, false, false},
	} {
		next := s.dial(t, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		<-s.started
		must.False(t, isOpen(step.closed), must.Sprint(step.name))
		must.Eq(t, step.idle, isOpen(idle), must.Sprint(step.name))
		must.Eq(t, step.bodyOpen, isOpen(body), must.Sprint(step.name))
		must.True(t, isOpen(next))
	}
	refused, err := net.Dial("tcp", s.address)
	must.NoError(t, err)
	defer refused.Close()
	must.Zero(t, readStatus(refused))
	close(s.release)
	must.Eq(t, http.StatusNoContent, readStatus(running))
}

// Guards against a bound on memory that counts each connection by itself, and against one that refuses large heads in calm.
func TestHeadsStayWithinMemory(t *testing.T) {
	s := newServer(t, &acceptor.Limits{Memory: 8 << 20, Reserve: 1 << 20}, 1)
	var clients sync.WaitGroup
	var conns [50]net.Conn
	for i := range conns {
		conns[i] = s.dial(t, "")
		clients.Go(func() { _, _ = io.WriteString(conns[i], largeHead()) })
	}
	clients.Wait()
	must.LessEq(t, s.Memory, s.held())
	for _, c := range conns {
		c.Close()
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return s.held() == 0 }), wait.Timeout(5*time.Second)))
	whole := s.dial(t, largeHead()+"\r\n")
	must.Eq(t, http.StatusNoContent, readStatus(whole))
}

// Guards against memory that stays counted after connections and requests have ended in any way.
func TestAllMemoryIsReleased(t *testing.T) {
	for name, text := range map[string]string{
		"nothing":         "",
		"requests":        request + request,
		"large heads":     largeHead() + "\r\n" + largeHead() + "\r\n",
		"incomplete head": request + largeHead(),
		"incomplete body": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc",
		"whole body":      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + request,
		"chunks":          "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"no request":      "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, &acceptor.Limits{Connections: 10, Memory: 8 << 20, Reserve: 1 << 20}, 1)
			var clients sync.WaitGroup
			for range 40 {
				clients.Go(func() {
					c, err := net.Dial("tcp", s.address)
					if err != nil {
						return
					}
					defer c.Close()
					_, _ = io.WriteString(c, text)
					_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
					_, _ = io.Copy(io.Discard, c)
				})
			}
			clients.Wait()
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return s.open() == 0 && s.held() == 0 }), wait.Timeout(5*time.Second)))
		})
	}
}

// Guards against an answer to a request whose head doesn't fit beside what runs: after 400 clients don't retry it.
func TestHeadWithoutRoomGetsNoAnswer(t *testing.T) {
	s := newServer(t, &acceptor.Limits{Memory: 1 << 20}, 1)
	for range 10 {
		s.dial(t, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		<-s.started
	}
	must.Zero(t, readStatus(s.dial(t, largeHead()+"\r\n")))
	close(s.release)
}

// Guards against requests of one listener that leave nothing for the others.
func TestRunningRequestsOfOneListenerAreLimited(t *testing.T) {
	s := newServer(t, &acceptor.Limits{Connections: 20}, acceptor.DefaultShare)
	for range 5 {
		s.dial(t, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		<-s.started
	}
	must.Eq(t, http.StatusServiceUnavailable, readStatus(s.dial(t, request)))
	close(s.release)
}
