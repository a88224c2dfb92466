// Package bodyreadertest serves replies byte for byte, to test which bodies readers accept as whole.
package bodyreadertest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/connector"
)

// End is the way in which a server ends the connection once a reply is sent.
type End int

// The ends.
const (
	// Close closes the connection.
	Close End = iota
	// Reset resets it.
	Reset
)

// Serve reads one request from each connection and answers with the same bytes.
func Serve(t *testing.T, reply string, end End) netip.AddrPort {
	t.Helper()
	l := listenAndServe(t, func(conn net.Conn) {
		if serveNext(conn, bufio.NewReader(conn), reply) && end == Reset {
			connector.Reset(conn)
		}
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

// ServeInTurn answers the requests of all connections with the given replies in turn, the last one again and again, and
// leaves the connections open.
func ServeInTurn(t *testing.T, replies ...string) netip.AddrPort {
	t.Helper()
	var requests atomic.Int64
	l := listenAndServe(t, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		for {
			// The number is taken once a request has come: a connection may be opened for none.
			if _, err := r.Peek(1); err != nil {
				return
			}
			if !serveNext(conn, r, replies[min(int(requests.Add(1)), len(replies))-1]) {
				return
			}
		}
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

// CutHeads makes a call for each byte after which the head of its reply can be cut, by a close and by a reset. The call
// gets an address and must fail. Unless whole is empty, the first reply on each connection is whole, and the call has to
// make two requests.
func CutHeads(t *testing.T, whole, head string, call func(netip.AddrPort) error) {
	t.Helper()
	end := strings.Index(head, "\r\n\r\n") + len("\r\n\r\n")
	for cutAt := range end {
		for _, way := range []End{Close, Reset} {
			var cuts atomic.Int64
			l := listenAndServe(t, func(conn net.Conn) {
				r := bufio.NewReader(conn)
				if whole != "" && !serveNext(conn, r, whole) {
					return
				}
				if !serveNext(conn, r, head[:cutAt]) {
					return
				}
				cuts.Add(1)
				if way == Reset {
					connector.Reset(conn)
				}
			})
			where := fmt.Sprintf("after %q, end %d", head[max(0, cutAt-20):cutAt], way)
			must.Error(t, call(netip.MustParseAddrPort(l.Addr().String())), must.Sprint(where))
			must.Eq(t, 1, cuts.Load(), must.Sprint(where))
			l.Close()
		}
	}
}

// serveNext answers the next request of a connection; false if its client has disconnected.
func serveNext(conn net.Conn, r *bufio.Reader, reply string) bool {
	if !readNext(r) {
		return false
	}
	_, err := io.WriteString(conn, reply)
	return err == nil
}

// readNext reads the next request of a connection; false if its client has disconnected.
func readNext(r *bufio.Reader) bool {
	request, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

// maxHeaderBytes is the longest request header that ResetEarly reads.
const maxHeaderBytes = 1024

// ResetEarly replies as soon as a request's header has arrived, while the rest is still being sent, and
// resets the connection.
func ResetEarly(t *testing.T, reply func(header string) string) net.Listener {
	t.Helper()
	return listenAndServe(t, func(conn net.Conn) {
		var b [maxHeaderBytes]byte
		n, err := conn.Read(b[:])
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, reply(string(b[:n])))
		connector.Reset(conn)
	})
}

// listenAndServe serves each connection and closes it.
func listenAndServe(t *testing.T, serve func(net.Conn)) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return l
}

const (
	// endlessBytes is the size of an endless reply, and maxReadBytes how much of it a client may read; most of that
	// is in the sockets' buffers.
	endlessBytes = 64 << 20
	maxReadBytes = 8 << 20
	// callTimeout is how long a call may take.
	callTimeout = 5 * time.Second
)

// EndlessHeads checks that a call fails by itself if the head of its reply is endless, and reads little of it.
func EndlessHeads(t *testing.T, call func(netip.AddrPort) error) {
	t.Helper()
	for name, r := range map[string]struct{ start, part string }{
		"status line":     {"HTTP/1.1 200 ", "O"},
		"header field":    {"HTTP/1.1 200 OK\r\nLong: ", "x"},
		"header fields":   {"HTTP/1.1 200 OK\r\n", "a: b\r\n"},
		"interim replies": {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"interim reasons": {"", "HTTP/1.1 103 " + strings.Repeat("x", 60<<10) + "\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) { EndlessReply(t, r.start, r.part, call) })
	}
}

// EndlessReply checks that a call fails by itself if its reply begins with start and then repeats part endlessly, and that
// it reads little of the reply.
func EndlessReply(t *testing.T, start, part string, call func(netip.AddrPort) error) {
	t.Helper()
	var written atomic.Int64
	l := listenAndServe(t, func(conn net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		// A client that has already disconnected does not fail the test.
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, start)
		parts := strings.Repeat(part, 1+(64<<10)/len(part))
		for written.Load() < endlessBytes {
			n, err := io.WriteString(conn, parts)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	startTime := time.Now()
	err := call(netip.MustParseAddrPort(l.Addr().String()))
	must.Error(t, err)
	must.Less(t, callTimeout, time.Since(startTime))
	must.Less(t, maxReadBytes, written.Load())
}

// invalidStatuses are statuses in replies that HTTP doesn't define for a final reply, or that can't be parsed.
var invalidStatuses = []string{"000", "001", "042", "099", "101", "600", "999", "+20", "-20", "2000"}

// InvalidReplies returns replies with an invalid status, the given fields and the given body, by name. The fields end with
// a line end. A reply named "closed" ends with its connection.
func InvalidReplies(fields, body string) map[string]string {
	framed := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)
	inner := "HTTP/1.1 200 OK\r\n" + framed
	replies := map[string]string{}
	for _, status := range invalidStatuses {
		line := "HTTP/1.1 " + status + " Trouble\r\n"
		for how, rest := range map[string]string{
			"no body":           fields + "\r\n",
			"empty":             fields + "Content-Length: 0\r\n\r\n",
			"by length":         framed,
			"chunks":            fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", fields, len(body), body),
			"closed":            fields + "Connection: close\r\n\r\n" + body,
			"a reply":           fields + "\r\n" + inner,
			"a reply by length": fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", fields, len(inner), inner),
		} {
			replies[status+" "+how] = line + rest
		}
	}
	return replies
}

// InvalidStatuses checks that a call fails by itself for each of InvalidReplies and sends one request. The connection stays
// open unless the reply ends with it.
func InvalidStatuses(t *testing.T, fields, body string, call func(*testing.T, netip.AddrPort) error) {
	t.Helper()
	for name, reply := range InvalidReplies(fields, body) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int64
			l := listenAndServe(t, func(conn net.Conn) {
				// A call that waits for more must fail the test, not block it.
				defer time.AfterFunc(callTimeout, func() { conn.Close() }).Stop()
				for r := bufio.NewReader(conn); readNext(r); {
					requests.Add(1)
					_, err := io.WriteString(conn, reply)
					if err != nil || strings.HasSuffix(name, "closed") {
						return
					}
				}
			})
			startTime := time.Now()
			err := call(t, netip.MustParseAddrPort(l.Addr().String()))
			must.Error(t, err)
			must.False(t, errors.Is(err, context.DeadlineExceeded), must.Sprint(err))
			must.Less(t, callTimeout, time.Since(startTime))
			must.Eq(t, 1, requests.Load())
		})
	}
}

// Redirects checks that calls fail if they are redirected to a path where body is served, and don't request that path.
func Redirects(t *testing.T, body string, calls map[string]func(netip.AddrPort) error) {
	t.Helper()
	for _, status := range []int{
		http.StatusMovedPermanently, http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect, http.StatusPermanentRedirect,
	} {
		for name, call := range calls {
			t.Run(fmt.Sprintf("%d %s", status, name), func(t *testing.T) {
				var followed atomic.Int64
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path != "/elsewhere" {
						w.Header().Set("Location", "/elsewhere")
						w.WriteHeader(status)
						return
					}
					followed.Add(1)
					_, _ = io.WriteString(w, body)
				}))
				defer s.Close()
				must.Error(t, call(netip.MustParseAddrPort(s.Listener.Addr().String())))
				must.Zero(t, followed.Load())
			})
		}
	}
}
