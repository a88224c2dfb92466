package bodyreadertest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/connector"
)

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

// serveNext answers the next request of a connection.
func serveNext(conn net.Conn, r *bufio.Reader, reply string) bool {
	request, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	_, err = io.WriteString(conn, reply)
	return err == nil
}
