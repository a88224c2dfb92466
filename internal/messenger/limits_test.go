package messenger_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/oriolecroft/oriolecroft/internal/acceptor"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// limitedMemory is the memory for the clients of a server, in bytes.
const limitedMemory = 8 << 20

// limitedServer is a server with limits, whose replies to record queries are a part of the memory for clients.
type limitedServer struct {
	*acceptor.Limits
	address string
}

func newLimitedServer(t *testing.T) *limitedServer {
	t.Helper()
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	l := &acceptor.Limits{Memory: limitedMemory, Reserve: limitedMemory / 8, Metrics: metrics.NewRegistry()}
	limited := l.Listen(nl)
	limited.Share = 1
	batch := registrar.Batch{At: 1, Records: []registrar.Record{{Key: strings.Repeat("k", limitedMemory/100)}}}
	s := &messenger.Server{Listener: limited, OnRecords: func(ctx context.Context, q messenger.RecordsQuery) registrar.Batch {
		select {
		case <-ctx.Done():
		case <-time.After(q.Wait()):
		}
		return batch
	}}
	go func() { _ = s.Serve(t.Context()) }()
	return &limitedServer{Limits: l, address: nl.Addr().String()}
}

func (s *limitedServer) held() int64 {
	return metrics.GetOrRegisterCounter("memory.held", s.Metrics).Count()
}

// recordsQuery returns a query for records that may be delayed.
func recordsQuery(wait time.Duration) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","id":1,"method":"records","params":{"after":0,"waitMs":%d}}`, wait.Milliseconds())
}

// Guards against messages, queries and replies that together exceed the memory, or stay counted afterwards.
func TestMessagesStayWithinMemory(t *testing.T) {
	for name, text := range map[string]string{
		"a text without end":   `{"jsonrpc":"2.0","method":"` + strings.Repeat("x", limitedMemory/10),
		"objects":              `{"jsonrpc":"2.0","id":1,"method":"records","params":{"x":[{}` + strings.Repeat(",{}", 1000) + "]}}",
		"blanks":               strings.Repeat(" \r\n\t", limitedMemory/8),
		"queries that wait":    strings.Repeat(recordsQuery(300*time.Millisecond), 100),
		"replies not read":     strings.Repeat(recordsQuery(0), 100),
		"part of a next query": recordsQuery(0) + recordsQuery(0)[:20],
	} {
		t.Run(name, func(t *testing.T) {
			s := newLimitedServer(t)
			var conns []net.Conn
			for range 40 {
				c, err := net.Dial("tcp", s.address)
				must.NoError(t, err)
				defer c.Close()
				conns = append(conns, c)
				go func() { _, _ = io.WriteString(c, text) }()
			}
			for start := time.Now(); time.Since(start) < 500*time.Millisecond; time.Sleep(time.Millisecond) {
				must.LessEq(t, s.Memory, s.held())
			}
			for _, c := range conns {
				c.Close()
			}
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return s.held() == 0 }), wait.Timeout(10*time.Second)))
		})
	}
}

// Guards against blanks that are dropped within a message because it arrives in parts.
func TestBlanksWithinMessagesAreKept(t *testing.T) {
	s := newLimitedServer(t)
	c, err := net.Dial("tcp", s.address)
	must.NoError(t, err)
	defer c.Close()
	must.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	// The start of the second message arrives with the first one.
	for _, part := range []string{" \n" + recordsQuery(0) + "\n" + `{"jsonrpc":"2.0","id":"a`, `  b","method"`, "  :", ` "records","params":{}}`} {
		_, err = io.WriteString(c, part)
		must.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	d := json.NewDecoder(c)
	var first, second struct{ ID any }
	must.NoError(t, d.Decode(&first))
	must.NoError(t, d.Decode(&second))
	must.Eq(t, any("a  b"), second.ID)
}
