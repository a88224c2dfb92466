package relayer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/relayer"
)

// Guards against long replies that are cut within as their entry ends, though their rest has arrived or is on its way.
func TestLongReplyOutlastsTheCutOfItsEntry(t *testing.T) {
	const half = 300 << 10
	for name, head := range map[string]string{
		"length":     fmt.Sprintf("Content-Length: %d\r\n", 2*half),
		"connection": "Connection: close\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cut := context.WithCancelCause(t.Context())
			w := newTestEntry(t, newUpstream(t, "u", func(_ int, id string, conn net.Conn) bool {
				writeString(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: x\r\n%s\r\n%s", id, head, strings.Repeat("x", half)))
				time.Sleep(100 * time.Millisecond)
				cut(errors.New("grace period over"))
				time.Sleep(20 * time.Millisecond)
				writeString(conn, strings.Repeat("x", half))
				conn.Close()
				return false
			}))
			w.relayer.Liveness = relayer.NetworkLivenessChecker{}
			entry := httptest.NewUnstartedServer(w.relayer)
			entry.Config.BaseContext = func(net.Listener) context.Context { return ctx }
			entry.Start()
			t.Cleanup(entry.Close)
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, entry.URL+"/once/1", nil)
			must.NoError(t, err)
			r.Host, r.Header = "127.0.0.1", http.Header{"Id": {"r1"}, "Key": {"k"}}
			a, err := http.DefaultClient.Do(r)
			must.NoError(t, err)
			defer a.Body.Close()
			body, err := io.ReadAll(a.Body)
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, a.StatusCode)
			must.Eq(t, 2*half, len(body))
		})
	}
}

// Guards against requests that are cut as their entry ends and get no status, or not the one that means they did
// not run.
func TestRequestCutAsTheEntryEndsIsAnswered(t *testing.T) {
	for name, tt := range map[string]struct {
		after  time.Duration
		status int
	}{
		"at an upstream": {100 * time.Millisecond, http.StatusBadGateway},
		"not sent yet":   {0, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEntry(t, newUpstream(t, "u", staysSilent))
			ctx, cut := context.WithCancelCause(t.Context())
			r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/draft/1", nil)
			r.Host, r.Header = "127.0.0.1", http.Header{"Id": {"r1"}, "Key": {"k"}}
			if tt.after == 0 {
				cut(errors.New("grace period over"))
			} else {
				time.AfterFunc(tt.after, func() { cut(errors.New("grace period over")) })
			}
			a := httptest.NewRecorder()
			w.relayer.ServeHTTP(a, r)
			must.Eq(t, tt.status, a.Code)
		})
	}
}
