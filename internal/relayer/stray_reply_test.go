package relayer_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against the body of a reply to another request that is taken for the answer, or waited for, as it isn't known
// where that reply ends.
func TestBodyOfAStrayReplyIsNoAnswer(t *testing.T) {
	forged := sealedReply("r1", "forged")
	stray := "Id: r0\r\nSeal: x\r\n"
	for name, e := range map[string]struct{ method, reply string }{
		"204, by length":          {http.MethodPost, "204 No Content\r\n" + stray + byLengthOf(forged)},
		"204, chunks":             {http.MethodPost, "204 No Content\r\n" + stray + chunksFollow + "\r\n" + forged},
		"304, by length":          {http.MethodPost, "304 Not Modified\r\n" + stray + byLengthOf(forged)},
		"before a HEAD's":         {http.MethodHead, "200 OK\r\n" + stray + byLengthOf(forged)},
		"before a HEAD's, chunks": {http.MethodHead, "200 OK\r\n" + stray + chunksFollow + "\r\n" + forged},
		"by connection":           {http.MethodPost, "200 OK\r\n" + stray + "\r\n" + forged},
	} {
		for _, path := range []string{"/safe/", "/once/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				closed := newCloseWatch()
				u := newUpstream(t, "u", func(_ int, _ string, conn net.Conn) bool {
					writeString(conn, "HTTP/1.1 "+e.reply)
					closed.await(conn)
					return true
				})
				start := time.Now()
				must.Eq(t, http.StatusBadGateway, statusOf(t, newTestEntry(t, u), e.method, path))
				must.Less(t, stepTimeout/2, time.Since(start))
				closed.mustClose(t, len(u.received()))
			})
		}
	}
}

// statusOf sends the request r1, without a body, and returns the status of its answer.
func statusOf(t *testing.T, w *testEntry, method, path string) int {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, w.URL+path, http.NoBody)
	must.NoError(t, err)
	r.Header = http.Header{"Id": {"r1"}, "Key": {"k"}}
	res, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	defer res.Body.Close()
	return res.StatusCode
}

// Guards against a check of stray replies that ends the wait for the answer after one whose end is known.
func TestWholeStrayReplyIsSkipped(t *testing.T) {
	stray := "Id: r0\r\nSeal: x\r\n"
	for name, reply := range map[string]string{
		"by length": "200 OK\r\n" + stray + byLengthOf("stray"),
		"chunks":    "200 OK\r\n" + stray + chunksFollow + "\r\n" + chunked("stray") + "0\r\n\r\n",
		"empty":     "404 Not Found\r\n" + stray + byLengthOf(""),
		"204":       "204 No Content\r\n" + stray + "\r\n",
		"304":       "304 Not Modified\r\n" + stray + "\r\n",
	} {
		for _, method := range []string{http.MethodPost, http.MethodHead} {
			if method == http.MethodHead && (name == "by length" || name == "chunks") {
				continue
			}
			t.Run(name+" "+method, func(t *testing.T) {
				t.Parallel()
				u := newUpstream(t, "u", func(_ int, id string, conn net.Conn) bool {
					writeString(conn, "HTTP/1.1 "+reply+"HTTP/1.1 202 Accepted\r\nId: "+id+"\r\nSeal: x\r\nContent-Length: 0\r\n\r\n")
					return true
				})
				must.Eq(t, http.StatusAccepted, statusOf(t, newTestEntry(t, u), method, "/safe/"))
			})
		}
	}
}
