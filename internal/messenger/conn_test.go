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

const testTimeout = 10 * time.Second

// serve starts an entry on an address; links receives the link of each report.
func serve(t *testing.T, address string) (addr netip.AddrPort, links chan *messenger.Link, stop func()) {
	l, err := net.Listen("tcp", address)
	must.NoError(t, err)
	links = make(chan *messenger.Link, 100)
	s := &messenger.Server{
		Listener: l,
		OnReport: func(r messenger.Report, link *messenger.Link) messenger.Update {
			links <- link
			if r.State == nil {
				return messenger.Update{Resend: true}
			}
			return messenger.Update{Assignment: r.State.ID}
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

func report(c *messenger.Client, id string) (messenger.Update, error) {
	return c.Report(context.Background(), messenger.Report{State: &messenger.AgentState{ID: id}})
}

// Guards against an agent that does not reconnect when its entry is replaced by another
// on the same address. The new entry would route nothing to it.
func TestClientReconnects(t *testing.T) {
	addr, _, stop := serve(t, "127.0.0.1:0")
	c := &messenger.Client{Address: addr, Timeout: testTimeout}
	defer c.Close()
	n, err := report(c, "vm-1")
	must.NoError(t, err)
	must.Eq(t, "vm-1", n.Assignment)
	stop()
	for err == nil {
		_, err = report(c, "vm-1")
	}
	must.True(t, messenger.IsUnreachable(err))
	serve(t, addr.String())
	_, err = report(c, "vm-1")
	must.NoError(t, err)
}

// dial opens a plain connection with a deadline for all reads and writes.
func dial(t *testing.T, addr netip.AddrPort) net.Conn {
	c, err := net.DialTimeout("tcp", addr.String(), testTimeout)
	must.NoError(t, err)
	must.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	t.Cleanup(func() { c.Close() })
	return c
}

// An agent's VM is suspended with its connection open, while bundles are rolled out
// one after another. The other agents must receive each update without delay, and the suspended
// one only the latest after it resumes: older ones would prolong its use of an old bundle.
func TestSuspendedPeerReceivesOnlyLatestUpdate(t *testing.T) {
	const pushes = 24
	addr, links, _ := serve(t, "127.0.0.1:0")
	suspended := dial(t, addr)
	_, err := io.WriteString(suspended, `{"jsonrpc":"2.0","id":1,"method":"report","params":{}}`)
	must.NoError(t, err)
	updates := make(chan messenger.Update, pushes)
	c := &messenger.Client{Address: addr, Timeout: testTimeout, OnNews: func(n messenger.Update) { updates <- n }}
	defer c.Close()
	slowLink := <-links
	_, err = report(c, "vm-2")
	must.NoError(t, err)
	fastLink := <-links
	record := &bundler.Record{Payload: make([]byte, 1<<20)}
	for i := range pushes {
		n := messenger.Update{Freshness: messenger.Freshness{Revision: uint64(i + 1)}}
		fastLink.Push(n)
		n.Record = record
		push(t, slowLink, n)
		for latest := (messenger.Update{}); latest.Freshness.Revision <= uint64(i); {
			latest = receiveUpdate(t, updates)
		}
	}
	d := json.NewDecoder(suspended)
	received := 0
	for last := uint64(0); last < pushes; received++ {
		var m struct{ Params messenger.Update }
		must.NoError(t, d.Decode(&m))
		last = m.Params.Freshness.Revision
	}
	must.Less(t, pushes, received)
}

// push fails the test when Push blocks on its agent.
func push(t *testing.T, l *messenger.Link, n messenger.Update) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Push(n)
	}()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("Push blocks on a suspended agent")
	}
}

func receiveUpdate(t *testing.T, c <-chan messenger.Update) messenger.Update {
	t.Helper()
	select {
	case n := <-c:
		return n
	case <-time.After(testTimeout):
		t.Fatal("no update received")
		return messenger.Update{}
	}
}

// Guards against an entry that fails for all agents when it receives data of a foreign
// protocol, or of an agent of another release with other fields.
func TestServerSurvivesMalformedMessages(t *testing.T) {
	addr, _, _ := serve(t, "127.0.0.1:0")
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
		raw := dial(t, addr)
		_, err := io.WriteString(raw, text)
		must.NoError(t, err)
		must.NoError(t, raw.(*net.TCPConn).CloseWrite())
		_, err = io.Copy(io.Discard, raw)
		var n net.Error
		must.False(t, errors.As(err, &n) && n.Timeout(), must.Sprint(text))
	}
	c := &messenger.Client{Address: addr, Timeout: testTimeout}
	defer c.Close()
	_, err := report(c, "vm-1")
	must.NoError(t, err)
}

// Guards against buffering a message without end from a faulty peer, which would get the
// entry killed for its memory use, with all its requests.
func TestOversizedMessageIsRejected(t *testing.T) {
	addr, _, _ := serve(t, "127.0.0.1:0")
	raw := dial(t, addr)
	_, err := io.WriteString(raw, `{"jsonrpc":"2.0","id":1,"method":"`)
	piece := []byte(strings.Repeat("x", 1<<20))
	for sent := 0; err == nil && sent < 4*messenger.MaxMessage; sent += len(piece) {
		_, err = raw.Write(piece)
	}
	must.Error(t, err)
	must.StrNotContains(t, err.Error(), "timeout")
}

// Guards against an agent that hangs on malformed or missing replies. It must detect
// them within its timeout and continue with its other entries.
func TestClientSurvivesMalformedReplies(t *testing.T) {
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
			go replyWith(l, text)
			addr := netip.MustParseAddrPort(l.Addr().String())
			c := &messenger.Client{Address: addr, Timeout: 200 * time.Millisecond}
			defer c.Close()
			_, err = report(c, "vm-1")
			must.True(t, messenger.IsUnreachable(err), must.Sprint(err))
		})
	}
}

// replyWith writes a text on the first connection and keeps it open until the
// client closes it.
func replyWith(l net.Listener, text string) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(c, text)
	_, _ = io.Copy(io.Discard, c)
}
