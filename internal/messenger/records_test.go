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

// countedConn adds up the bytes that are read.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// counting dials connections whose bytes are counted.
func counting(read *atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return countedConn{conn, read}, err
	}
}

// upstreams are the records of so many upstreams, as a platform writes them.
func upstreams(n int) registrar.Batch {
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
	b.Records[0].Namings = []registrar.AnnouncementReport{{Version: 3, Age: time.Second, Replaced: 2, SinceAge: 2 * time.Second}}
	b.Records[1] = registrar.Record{Key: "gone", Revision: 2, Deleted: true, Age: registrar.UnknownAge}
	return b
}

// ask fetches a batch over a connection and counts its bytes.
func ask(t *testing.T, b registrar.Batch) (got registrar.Batch, read int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &messenger.Server{Listener: l, OnRecords: func(context.Context, messenger.RecordsQuery) registrar.Batch { return b }}
	go func() { _ = s.Serve(t.Context()) }()
	var counted atomic.Int64
	c := &messenger.Client{Address: netip.MustParseAddrPort(l.Addr().String()), Timeout: patience,
		Dial: counting(&counted)}
	defer c.Close()
	got, err = c.Records(t.Context(), messenger.RecordsQuery{}, c.Timeout)
	must.NoError(t, err)
	return got, counted.Load()
}

// A fleet of three thousand upstreams loses power. Hundreds of processes ask the few
// that know its records at once, each within a quarter of a second; were the records sent
// as they are, links of 100 Mbit/s would need 0.13 s for one of them, and callers would
// be refused for many seconds until the last process has its turn.
func TestRecordsOfManyUpstreamsAreSmall(t *testing.T) {
	sent := upstreams(3000)
	got, read := ask(t, sent)
	must.Eq(t, sent, got)
	must.Less(t, 300_000, read, must.Sprint("bytes, 100 for each upstream"))
}

// A few changes go as they are.
func TestRecordsArriveWhole(t *testing.T) {
	for _, n := range []int{2, 15, 16, 17} {
		sent := upstreams(n)
		got, _ := ask(t, sent)
		must.Eq(t, sent, got)
	}
}

// A peer of a newer version answers a question of an older one. That one doesn't know
// packed records: it would take the answer for one without news and miss all changes.
func TestWhoDoesNotAskForPackedRecordsGetsThemPlain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &messenger.Server{Listener: l, OnRecords: func(context.Context, messenger.RecordsQuery) registrar.Batch { return upstreams(100) }}
	go func() { _ = s.Serve(t.Context()) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte(`{"jsonrpc":"2.0","id":1,"method":"records","params":{"after":0,"waitMs":0}}`))
	must.NoError(t, err)
	var answer struct {
		Result registrar.Batch `json:"result"`
	}
	must.NoError(t, json.NewDecoder(conn).Decode(&answer))
	must.Len(t, 100, answer.Result.Records)
}

// A peer's memory has gone bad, and its packed records are nonsense. Taken for a batch
// without records, the revision would move past changes that nobody saw.
func TestUnreadableRecordsAreNotTaken(t *testing.T) {
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
	c := &messenger.Client{Address: netip.MustParseAddrPort(l.Addr().String()), Timeout: patience}
	defer c.Close()
	_, err = c.Records(t.Context(), messenger.RecordsQuery{}, c.Timeout)
	var unreadable *messenger.UnreadableError
	must.True(t, errors.As(err, &unreadable), must.Sprint(err))
}

// readCallID reads a call and gives its id.
func readCallID(r io.Reader) (json.RawMessage, error) {
	var call struct {
		ID json.RawMessage `json:"id"`
	}
	err := json.NewDecoder(r).Decode(&call)
	return call.ID, err
}

// Records of 3,000 upstreams asked for over loopback, plain 991 kB.
func BenchmarkRecordsOfManyUpstreams(b *testing.B) {
	batch := upstreams(3000)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	s := &messenger.Server{Listener: l, OnRecords: func(context.Context, messenger.RecordsQuery) registrar.Batch { return batch }}
	go func() { _ = s.Serve(b.Context()) }()
	var counted atomic.Int64
	c := &messenger.Client{Address: netip.MustParseAddrPort(l.Addr().String()), Timeout: patience, Dial: counting(&counted)}
	defer c.Close()
	asked := 0
	for b.Loop() {
		_, err := c.Records(b.Context(), messenger.RecordsQuery{}, c.Timeout)
		must.NoError(b, err)
		asked++
	}
	b.ReportMetric(float64(counted.Load())/float64(asked)/1000, "kB/answer")
}
