package relayer_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// requestHalfClosed sends a request and closes the caller's side of the connection after a while.
func (w *testEntry) requestHalfClosed(t *testing.T, path string) (status int, body string, broken bool) {
	t.Helper()
	c := w.call(t, path, "r1", "", "order", "")
	time.Sleep(closeWithin / 5)
	must.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
	_ = c.SetReadDeadline(time.Now().Add(stepTimeout))
	res, err := http.ReadResponse(c.reader, nil)
	must.NoError(t, err)
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	return res.StatusCode, string(got), err != nil && !errors.Is(err, io.EOF)
}

// Guards against a success that no upstream gave, for a caller that closes only its side of the connection.
func TestHalfClosedCallerGetsNoEmptySuccess(t *testing.T) {
	for _, path := range []string{"/safe/", "/once/", "/stream/", "/draft/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			w := newTestEntry(t, newUpstream(t, "u1", staysSilent))
			status, _, _ := w.requestHalfClosed(t, path)
			must.Eq(t, http.StatusBadGateway, status)
		})
	}
}

// Guards against a cut stream that such a caller takes for complete.
func TestStreamOfAHalfClosedCallerIsCut(t *testing.T) {
	w := newTestEntry(t, newUpstream(t, "u1", func(n int, id string, conn net.Conn) bool {
		writeString(conn, streamHead(id)+chunked(event(1)))
		return staysSilent(n, id, conn)
	}))
	_, body, broken := w.requestHalfClosed(t, "/stream/")
	must.True(t, broken)
	must.Eq(t, event(1), body)
}
