package messenger_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

const patience = 10 * time.Second

// serve starts an entry at an address; links carries the link of each report.
func serve(t *testing.T, address string) (at netip.AddrPort, links chan *messenger.Link, stop func()) {
	l, err := net.Listen("tcp", address)
	must.NoError(t, err)
	links = make(chan *messenger.Link, 100)
	s := &messenger.Server{
		Listener: l,
		OnReport: func(r messenger.Report, k *messenger.Link) messenger.News {
			links <- k
			if r.State == nil {
				return messenger.News{Resend: true}
			}
			return messenger.News{Assignment: r.State.ID}
		},
		OnExchange: func(x messenger.Exchange) messenger.Exchange { return x },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx)
	}()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return netip.MustParseAddrPort(l.Addr().String()), links, stop
}

func report(c *messenger.Client, id string) (messenger.News, error) {
	return c.Report(context.Background(), messenger.Report{State: &messenger.AgentState{ID: id}})
}

// An entry is replaced, and its successor listens on the same address. The agent
// must find its way back by itself, or the new entry would route nothing to it.
func TestClientReconnects(t *testing.T) {
	at, _, stop := serve(t, "127.0.0.1:0")
	c := &messenger.Client{Address: at, Timeout: patience}
	defer c.Close()
	n, err := report(c, "vm-1")
	must.NoError(t, err)
	must.Eq(t, "vm-1", n.Assignment)
	stop()
	for err == nil {
		_, err = report(c, "vm-1")
	}
	must.True(t, messenger.IsUnreachable(err))
	serve(t, at.String())
	_, err = report(c, "vm-1")
	must.NoError(t, err)
}

// dial opens a bare connection whose every use has a deadline.
func dial(t *testing.T, at netip.AddrPort) net.Conn {
	c, err := net.DialTimeout("tcp", at.String(), patience)
	must.NoError(t, err)
	must.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	t.Cleanup(func() { c.Close() })
	return c
}

// An agent's VM freezes with its connection open, while bundles roll one after
// another. The other agents must hear of each at once, and the frozen one on
// waking of the newest: the older would only be more time on the old bundle.
func TestFrozenPeerGetsTheNewestOnly(t *testing.T) {
	const pushes = 24
	at, links, _ := serve(t, "127.0.0.1:0")
	frozen := dial(t, at)
	_, err := io.WriteString(frozen, `{"jsonrpc":"2.0","id":1,"method":"report","params":{}}`)
	must.NoError(t, err)
	heard := make(chan messenger.News, pushes)
	c := &messenger.Client{Address: at, Timeout: patience, OnNews: func(n messenger.News) { heard <- n }}
	defer c.Close()
	slow := <-links
	_, err = report(c, "vm-2")
	must.NoError(t, err)
	quick := <-links
	record := &bundler.Record{Payload: make([]byte, 1<<20)}
	for i := range pushes {
		n := messenger.News{Word: messenger.Word{Revision: uint64(i + 1)}}
		quick.Push(n)
		n.Record = record
		push(t, slow, n)
		for got := (messenger.News{}); got.Word.Revision <= uint64(i); {
			got = receive(t, heard)
		}
	}
	d := json.NewDecoder(frozen)
	got := 0
	for last := uint64(0); last < pushes; got++ {
		var m struct{ Params messenger.News }
		must.NoError(t, d.Decode(&m))
		last = m.Params.Word.Revision
	}
	must.Less(t, pushes, got)
}

// push fails the test when Push waits for its agent.
func push(t *testing.T, l *messenger.Link, n messenger.News) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Push(n)
	}()
	select {
	case <-done:
	case <-time.After(patience):
		t.Fatal("push waits for a frozen agent")
	}
}

func receive(t *testing.T, c <-chan messenger.News) messenger.News {
	t.Helper()
	select {
	case n := <-c:
		return n
	case <-time.After(patience):
		t.Fatal("no news")
		return messenger.News{}
	}
}

// Something that is no agent connects to an entry, or an agent of another release
// with other fields. The entry must go on serving all others.
func TestServerOutlivesMalformedMessages(t *testing.T) {
	at, _, _ := serve(t, "127.0.0.1:0")
	for _, text := range []string{
		"", "GET / HTTP/1.1\r\n\r\n", "[]", "null", "{}", `{"id":1}`, `{"jsonrpc":"2.0","id":1,"result":{}}`,
		`{"jsonrpc":"2.0","id":1,"method":"report"}`,
		`{"jsonrpc":"2.0","id":1,"method":"report","params":null}`,
		`{"jsonrpc":"2.0","id":1,"method":"report","params":[1]}`,
		`{"jsonrpc":"2.0","id":1,"method":"report","params":{"state":{"address":"nowhere"}}}`,
		`{"jsonrpc":"2.0","id":{},"method":"exchange","params":{}}`,
		`{"jsonrpc":"2.0","id":1,"method":"other","params":{}}`,
		`{"jsonrpc":"2.0","id":1,"method":"report","params":` + strings.Repeat("[", 200),
	} {
		raw := dial(t, at)
		_, err := io.WriteString(raw, text)
		must.NoError(t, err)
		must.NoError(t, raw.(*net.TCPConn).CloseWrite())
		_, err = io.Copy(io.Discard, raw)
		var n net.Error
		must.False(t, errors.As(err, &n) && n.Timeout(), must.Sprint(text))
	}
	c := &messenger.Client{Address: at, Timeout: patience}
	defer c.Close()
	_, err := report(c, "vm-1")
	must.NoError(t, err)
}

// A peer gone wrong sends one message without end. Kept in memory as it comes, it
// would get the entry killed with all the requests that it carries.
func TestEndlessMessageIsCut(t *testing.T) {
	at, _, _ := serve(t, "127.0.0.1:0")
	raw := dial(t, at)
	_, err := io.WriteString(raw, `{"jsonrpc":"2.0","id":1,"method":"`)
	piece := []byte(strings.Repeat("x", 1<<20))
	for sent := 0; err == nil && sent < 4*messenger.MaxMessage; sent += len(piece) {
		_, err = raw.Write(piece)
	}
	must.Error(t, err)
	must.StrNotContains(t, err.Error(), "timeout")
}

// What an agent takes for an entry answers nonsense, or nothing. The agent must
// hear of it in time and go on with its other entries.
func TestClientOutlivesMalformedAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"nothing":      "",
		"HTTP":         "HTTP/1.1 400 Bad Request\r\n\r\n",
		"other id":     `{"jsonrpc":"2.0","id":7,"result":{}}`,
		"wrong type":   `{"jsonrpc":"2.0","id":0,"result":{"word":7}}`,
		"null":         "null",
		"both":         `{"jsonrpc":"2.0","id":0,"result":{},"error":{"code":1,"message":"m"}}`,
		"bad news":     `{"jsonrpc":"2.0","method":"news","params":[]}`,
		"news without": `{"jsonrpc":"2.0","method":"news"}`,
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer l.Close()
			go answer(l, text)
			at := netip.MustParseAddrPort(l.Addr().String())
			c := &messenger.Client{Address: at, Timeout: 200 * time.Millisecond}
			defer c.Close()
			_, err = report(c, "vm-1")
			must.True(t, messenger.IsUnreachable(err), must.Sprint(err))
		})
	}
}

// answer writes a text on the first connection and leaves it open until the
// client gives it up.
func answer(l net.Listener, text string) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(patience))
	_, _ = io.WriteString(c, text)
	_, _ = io.Copy(io.Discard, c)
}
