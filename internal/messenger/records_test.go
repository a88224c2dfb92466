package messenger_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// countingDialer returns a dialer of connections whose bytes are counted.
func countingDialer(read *atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return countingConn{conn, read}, err
	}
}

// upstreamRecords returns the records of n upstreams, as a platform writes them.
func upstreamRecords(n int) registrar.Batch {
	r := rand.New(rand.NewPCG(1, 2))
	b := registrar.Batch{Whole: true, At: uint64(n) + 7, Age: 300 * time.Millisecond, Held: time.Millisecond}
	for i := range n {
		id := fmt.Sprintf("i-%010x", r.Uint64()&(1<<40-1))
		b.Records = append(b.Records, registrar.Record{
			Key: "records/" + id, Revision: uint64(i) + 1, Age: time.Duration(r.Int64N(int64(time.Minute))),
			Value: fmt.Appendf(nil, `{"id":%q,"service":"draft-engine","address":"10.3.%d.%d:8604","area":"northgate-%d","slots":12,"state":"up",`+
				`"models":[{"name":"drafts","version":7}],"started":%d}`, id, i/250, i%250, i%3, r.Uint64()),
		})
	}
	b.Records[0].Announcements = []registrar.AnnouncementReport{{Version: 3, Age: time.Second, Replaced: 2, SinceAge: 2 * time.Second}}
	b.Records[1] = registrar.Record{Key: "gone", Revision: 2, Deleted: true, Age: registrar.UnknownAge}
	return b
}

// query fetches a batch over a connection and returns the number of bytes read.
func query(t *testing.T, b registrar.Batch) (got registrar.Batch, bytesRead int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &messenger.Server{Listener: l, OnRecords: func(context.Context, messenger.RecordsQuery) registrar.Batch { return b }}
	go func() { _ = s.Serve(t.Context()) }()
	var bytesCounted atomic.Int64
	c := &messenger.Client{Address: netip.MustParseAddrPort(l.Addr().String()), Timeout: testTimeout,
		Dial: countingDialer(&bytesCounted)}
	defer c.Close()
	got, err = c.Records(t.Context(), messenger.RecordsQuery{}, c.Timeout)
	must.NoError(t, err)
	return got, bytesCounted.Load()
}

// Guards against large replies after a power loss of a fleet of three thousand upstreams.
// Hundreds of processes query the few with records at once, each with a timeout of a quarter of
// a second. Uncompressed, one reply would take 0.13 s on links of 100 Mbit/s, and callers would
// be refused for many seconds until the last process gets its reply.
func TestRecordsOfManyUpstreamsAreCompressed(t *testing.T) {
	sent := upstreamRecords(3000)
	got, bytesRead := query(t, sent)
	must.Eq(t, sent, got)
	must.Less(t, 300_000, bytesRead, must.Sprint("bytes, 100 for each upstream"))
}

// Covers batches on both sides of the threshold for compression.
func TestRecordsRoundTrip(t *testing.T) {
	for _, n := range []int{2, 15, 16, 17} {
		sent := upstreamRecords(n)
		got, _ := query(t, sent)
		must.Eq(t, sent, got)
	}
}

// Guards against packed replies to a query of an older version. It doesn't support
// packed records: it would read the reply as an empty one and miss all changes.
func TestPlainRecordsWithoutPackedQuery(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &messenger.Server{Listener: l, OnRecords: func(context.Context, messenger.RecordsQuery) registrar.Batch { return upstreamRecords(100) }}
	go func() { _ = s.Serve(t.Context()) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte(`{"jsonrpc":"2.0","id":1,"method":"records","params":{"after":0,"waitMs":0}}`))
	must.NoError(t, err)
	var reply struct {
		Result registrar.Batch `json:"result"`
	}
	must.NoError(t, json.NewDecoder(conn).Decode(&reply))
	must.Len(t, 100, reply.Result.Records)
}

// Guards against reading the corrupted records of a faulty peer as an empty batch: the
// revision would advance past changes that were never read.
func TestUnreadableRecordsReturnError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if id, err := readCallID(conn); err == nil {
			fmt.Fprintf(conn, `{"jsonrpc":"2.0","id":%s,"result":{"after":0,"at":9,"packed":"bm9uc2Vuc2U="}}`, id)
		}
		_, _ = io.Copy(io.Discard, conn)
	}()
	c := &messenger.Client{Address: netip.MustParseAddrPort(l.Addr().String()), Timeout: testTimeout}
	defer c.Close()
	_, err = c.Records(t.Context(), messenger.RecordsQuery{}, c.Timeout)
	var unreadable *messenger.UnreadableError
	must.True(t, errors.As(err, &unreadable), must.Sprint(err))
}

// readCallID reads a call and returns its id.
func readCallID(r io.Reader) (json.RawMessage, error) {
	var call struct {
		ID json.RawMessage `json:"id"`
	}
	err := json.NewDecoder(r).Decode(&call)
	return call.ID, err
}

// Queries records of 3,000 upstreams over loopback; uncompressed, they take 991 kB.
func BenchmarkRecordsOfManyUpstreams(b *testing.B) {
	batch := upstreamRecords(3000)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	s := &messenger.Server{Listener: l, OnRecords: func(context.Context, messenger.RecordsQuery) registrar.Batch { return batch }}
	go func() { _ = s.Serve(b.Context()) }()
	var bytesRead atomic.Int64
	c := &messenger.Client{Address: netip.MustParseAddrPort(l.Addr().String()), Timeout: testTimeout, Dial: countingDialer(&bytesRead)}
	defer c.Close()
	queries := 0
	for b.Loop() {
		_, err := c.Records(b.Context(), messenger.RecordsQuery{}, c.Timeout)
		must.NoError(b, err)
		queries++
	}
	b.ReportMetric(float64(bytesRead.Load())/float64(queries)/1000, "kB/answer")
}
