// Package bodyreadertest serves replies byte for byte, to test what readers take for a whole body.
package bodyreadertest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/connector"
)

// End is what a server does once a reply is sent.
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
	l := listen(t, func(conn net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		// A client that is gone already is no fault of the test.
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, reply)
		if end == Reset {
			connector.Reset(conn)
		}
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

// maxHeader is the longest header of a request that ResetEarly reads, in bytes.
const maxHeader = 1024

// ResetEarly answers as soon as a request's header has come, while the rest is still on its way, and
// resets the connection.
func ResetEarly(t *testing.T, reply func(header string) string) net.Listener {
	t.Helper()
	return listen(t, func(conn net.Conn) {
		var b [maxHeader]byte
		n, err := conn.Read(b[:])
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, reply(string(b[:n])))
		connector.Reset(conn)
	})
}

// listen serves each connection and closes it.
func listen(t *testing.T, serve func(net.Conn)) net.Listener {
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
	// endless is how many bytes stand for bytes without end, and mostTaken how many a client may take of them;
	// most of those are in the sockets' buffers.
	endless   = 64 << 20
	mostTaken = 8 << 20
	// soon is how long a call may take.
	soon = 5 * time.Second
)

// EndlessHeads checks that a call fails by itself when the head of its reply has no end, and that little is read of it.
func EndlessHeads(t *testing.T, call func(netip.AddrPort) error) {
	t.Helper()
	for name, r := range map[string]struct{ start, part string }{
		"status line":     {"HTTP/1.1 200 ", "O"},
		"header field":    {"HTTP/1.1 200 OK\r\nLong: ", "x"},
		"header fields":   {"HTTP/1.1 200 OK\r\n", "a: b\r\n"},
		"interim replies": {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) { Endless(t, r.start, r.part, call) })
	}
}

// Endless checks that a call fails by itself when its reply begins with one text and goes on with another one without
// end, and that little is read of it.
func Endless(t *testing.T, start, part string, call func(netip.AddrPort) error) {
	t.Helper()
	var taken atomic.Int64
	l := listen(t, func(conn net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		// A client that is gone already is no fault of the test.
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, start)
		parts := strings.Repeat(part, 1+(64<<10)/len(part))
		for taken.Load() < endless {
			n, err := io.WriteString(conn, parts)
			taken.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	began := time.Now()
	err := call(netip.MustParseAddrPort(l.Addr().String()))
	must.Error(t, err)
	must.Less(t, soon, time.Since(began))
	must.Less(t, mostTaken, taken.Load())
}
