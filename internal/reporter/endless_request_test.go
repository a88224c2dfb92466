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
	// agentMemoryBytes is the memory of the smallest VM of an agent.
	agentMemoryBytes = 152 << 20
	// maxHeaderMemory bounds the bytes that a server keeps of a request's header: twenty endless headers at once must fit.
	maxHeaderMemory = agentMemoryBytes / 20
	// endlessBytes is the length of a header that the test treats as endless.
	endlessBytes = 64 << 20
)

func totalAllocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

// Guards against an endless request header that exhausts the memory.
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
			before := totalAllocated()
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nLong: ")
			for sent := 0; err == nil; {
				must.Less(t, endlessBytes, sent)
				var n int
				n, err = io.WriteString(conn, parts)
				sent += n
			}
			// All that was allocated is an upper bound of what is kept.
			must.Less(t, maxHeaderMemory, int64(totalAllocated()-before))
		})
	}
}
