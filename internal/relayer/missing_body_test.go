package relayer_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// bodyLimit is how long a caller may take for a request's body.
	bodyLimit = 5 * time.Second
	// answerLimit is how long the answer to a request without its body may take.
	answerLimit = time.Second
)

// Guards against callers that get no answer, as the entry waits for the rest of a body that it has given up.
func TestRequestWithoutItsBodyIsAnswered(t *testing.T) {
	for _, e := range []struct {
		name string
		// cutAfter is when the entry ends; 0 for never.
		cutAfter, answeredAfter time.Duration
		status                  int
	}{
		{"late", 0, bodyLimit, http.StatusRequestTimeout},
		{"entry ends", 200 * time.Millisecond, 200 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		t.Run(e.name, func(t *testing.T) {
			t.Parallel()
			ctx, cut := context.WithCancelCause(context.Background())
			t.Cleanup(func() { cut(nil) })
			u := newUpstream(t, "u", func(_ int, id string, conn net.Conn) bool {
				writeString(conn, sealedReply(id, "whole"))
				return true
			})
			w := newTestEntry(t, u)
			w.relayer.Placer.Shutdown = &fakeShutdown{}
			server := httptest.NewUnstartedServer(w.relayer)
			server.Config.BaseContext = func(net.Listener) context.Context { return ctx }
			server.Start()
			t.Cleanup(server.Close)
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			must.NoError(t, err)
			defer conn.Close()
			startedAt := time.Now()
			_, err = io.WriteString(conn, "POST /once/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: k\r\nContent-Length: 4\r\n\r\nsl")
			must.NoError(t, err)
			if e.cutAfter > 0 {
				time.AfterFunc(e.cutAfter, func() { cut(errors.New("grace period over")) })
			}
			must.NoError(t, conn.SetReadDeadline(startedAt.Add(e.answeredAfter+answerLimit)))
			a, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			defer a.Body.Close()
			must.Eq(t, e.status, a.StatusCode)
			must.Eq(t, e.cutAfter > 0, a.Header.Get("Retry-After") != "")
			must.True(t, a.Close)
			must.SliceEmpty(t, u.received())
		})
	}
}
