package reporter_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/reporter"
)

const (
	// agentMemory is what the smallest VM of an agent has, in bytes.
	agentMemory = 152 << 20
	// keptOfHeader bounds what a server keeps of a request's header, in bytes: twenty without end at once must fit.
	keptOfHeader = agentMemory / 20
	// endless is how many bytes stand for bytes without end.
	endless = 64 << 20
)

func allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

// Guards against a request whose header has no end and fills the memory.
func TestEndlessHeaderIsRefused(t *testing.T) {
	for name, part := range map[string]string{"field": "x", "fields": "a: b\r\n"} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			w := &reporter.Web{Listener: l, Grace: time.Second, Handler: http.NotFoundHandler()}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() { _ = w.Serve(ctx) }()
			conn, err := net.Dial("tcp", l.Addr().String())
			must.NoError(t, err)
			defer conn.Close()
			parts := strings.Repeat(part, 64<<10)
			before := allocated()
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nLong: ")
			for sent := 0; err == nil; {
				must.Less(t, endless, sent)
				var n int
				n, err = io.WriteString(conn, parts)
				sent += n
			}
			// All that was allocated bounds what is kept.
			must.Less(t, keptOfHeader, int64(allocated()-before))
		})
	}
}
