package relayer_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"github.com/oriolecroft/oriolecroft/internal/observer"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
)

// die closes the connection as the end of an upstream's process does: its listener is closed as well.
func (u *upstream) die(conn net.Conn) bool {
	u.listener.Close()
	conn.Close()
	return true
}

// dieSlowly is die for a process whose listener is closed after its connections.
func (u *upstream) dieSlowly(conn net.Conn) bool {
	conn.Close()
	time.AfterFunc(15*time.Millisecond, func() { u.listener.Close() })
	return true
}

// newDyingFirstEntry starts an entry with two upstreams. The first that gets a request sends the given bytes and
// dies, the other one answers with then.
func newDyingFirstEntry(t *testing.T, sent func(id string) string, then func(int, string, net.Conn) bool) *testEntry {
	return newEntryWithDeath(t, (*upstream).die, sent, then)
}

// newEntryWithDeath is newDyingFirstEntry with the way in which the upstream dies.
func newEntryWithDeath(t *testing.T, die func(*upstream, net.Conn) bool, sent func(id string) string, then func(int, string, net.Conn) bool) *testEntry {
	var o firstUpstream
	var us []*upstream
	for i, name := range []string{"u1", "u2"} {
		us = append(us, newUpstream(t, name, nil))
		us[i].answer = func(n int, id string, conn net.Conn) bool {
			if !o.claim(name) {
				return then(n, id, conn)
			}
			writeString(conn, sent(id))
			return die(us[i], conn)
		}
	}
	w := newTestEntry(t, us...)
	w.relayer.Liveness = relayer.NetworkLivenessChecker{}
	return w
}

// unframedStream starts a stream that ends with its connection.
func unframedStream(events string) func(id string) string {
	return func(id string) string {
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSeal: x\r\nContent-Type: text/event-stream\r\n\r\n" + events
	}
}

// Guards against a stream without a length that ends as complete though its upstream died between two events.
func TestStreamOfADeadUpstreamIsNotCompleted(t *testing.T) {
	for what, then := range map[string]func(int, string, net.Conn) bool{
		"draft": streamsEvents(numberedEvents(3, 4)...), "no other upstream": refuses, "the other one fails": failsWith("500 Internal Server Error"),
		"the other one goes on wrongly": streamsEvents(numberedEvents(4)...),
	} {
		t.Run(what, func(t *testing.T) {
			path := "/stream/1"
			if what == "draft" {
				path = "/draft/1"
			}
			got := newDyingFirstEntry(t, unframedStream(events(1, 3)), then).request(t, path, "r1")
			must.True(t, got.broken)
			must.Eq(t, events(1, 3), got.body)
		})
	}
}

// Guards against a stream without a length that is cut, or ends as complete, though another upstream can resume
// it where the first one died.
func TestStreamOfADeadUpstreamIsResumed(t *testing.T) {
	for what, rest := range map[string][]string{"events left": numberedEvents(3, 4), "nothing left": nil} {
		t.Run(what, func(t *testing.T) {
			w := newDyingFirstEntry(t, unframedStream(events(1, 3)), streamsEvents(rest...))
			got := w.request(t, "/stream/1", "r1")
			must.False(t, got.broken)
			must.Eq(t, events(1, 3)+strings.Join(rest, ""), got.body)
			must.Eq(t, 2, totalRequests(w.upstreams))
		})
	}
}

// Guards against passing on a part of a plain reply without a length as the whole because its upstream died.
func TestPlainReplyOfADeadUpstreamIsNoSuccess(t *testing.T) {
	for way, die := range map[string]func(*upstream, net.Conn) bool{"listener first": (*upstream).die, "connections first": (*upstream).dieSlowly} {
		for name, size := range map[string]int{"empty": 0, "short": 700, "long": 900 << 10} {
			t.Run(way+"/"+name, func(t *testing.T) {
				part := func(id string) string { return plainReply(id, strings.Repeat("x", size)) }
				w := newEntryWithDeath(t, die, part, func(_ int, id string, conn net.Conn) bool {
					writeString(conn, sealedReply(id, "all of it"))
					return true
				})
				got := w.request(t, "/once/1", "r1")
				must.True(t, got.broken || got.status == http.StatusBadGateway, must.Sprintf("status %d, %d bytes", got.status, len(got.body)))
				must.Eq(t, 1, totalRequests(w.upstreams))
			})
		}
	}
}

// Guards against passing on a part of a plain reply though another upstream has all of it.
func TestPlainReplyOfADeadUpstreamIsRetried(t *testing.T) {
	part := func(id string) string { return plainReply(id, "all o") }
	w := newDyingFirstEntry(t, part, func(_ int, id string, conn net.Conn) bool {
		writeString(conn, sealedReply(id, "all of it"))
		return true
	})
	got := w.request(t, "/safe/1", "r1")
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, "all of it", got.body)
}

// Guards against cutting a whole reply because its deadline is near when its upstream's liveness is checked.
func TestLivenessIsKnownBeforeTheDeadline(t *testing.T) {
	u := newUpstream(t, "u", serves)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	must.True(t, relayer.NetworkLivenessChecker{}.Alive(ctx, registrar.Upstream{Address: netip.MustParseAddrPort(u.listener.Addr().String())}))
}

// limitedLiveness is a LivenessChecker that takes upstreams for alive if the check has a deadline.
type limitedLiveness struct{}

func (limitedLiveness) Alive(ctx context.Context, _ registrar.Upstream) bool {
	_, limited := ctx.Deadline()
	return limited
}

// Guards against checks of liveness that don't know the request's deadline: whole replies that arrive shortly before it are cut.
func TestLivenessCheckHasTheDeadline(t *testing.T) {
	for name, size := range map[string]int{"short": 700, "long": 900 << 10} {
		t.Run(name, func(t *testing.T) {
			body := strings.Repeat("x", size)
			w := newTestEntry(t, newUpstream(t, "u", func(_ int, id string, conn net.Conn) bool {
				writeString(conn, plainReply(id, body))
				conn.Close()
				return true
			}))
			w.relayer.Liveness = limitedLiveness{}
			got := w.request(t, "/once/1", "r1")
			must.Eq(t, http.StatusOK, got.status)
			must.False(t, got.broken)
			must.Eq(t, size, len(got.body))
		})
	}
}

// listenWithoutRoom listens with a backlog that is full until the returned function is called.
func listenWithoutRoom(t *testing.T) (address netip.AddrPort, acceptAll func()) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	must.NoError(t, err)
	must.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	must.NoError(t, unix.Listen(fd, 0))
	f := os.NewFile(uintptr(fd), "listener")
	l, err := net.FileListener(f)
	must.NoError(t, err)
	must.NoError(t, f.Close())
	t.Cleanup(func() { l.Close() })
	address = netip.MustParseAddrPort(l.Addr().String())
	for {
		conn, err := net.DialTimeout("tcp", address.String(), 50*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { conn.Close() })
	}
	return address, func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conn.Close()
		}
	}
}

// Guards against cutting whole replies because the check of their upstream timed out, as this process got no processor time.
func TestLivenessIsCheckedAgainAfterATimeout(t *testing.T) {
	address, acceptAll := listenWithoutRoom(t)
	time.AfterFunc(150*time.Millisecond, acceptAll)
	must.True(t, relayer.NetworkLivenessChecker{}.Alive(t.Context(), registrar.Upstream{Address: address}))
}

// fixedLiveness is a LivenessChecker that gives one answer and counts the checks.
type fixedLiveness struct {
	alive  bool
	checks int
}

func (l *fixedLiveness) Alive(context.Context, registrar.Upstream) bool {
	l.checks++
	return l.alive
}

// Guards against refusing whole replies, and against checking upstreams without need.
func TestLivenessIsCheckedOnlyForUnframedReplies(t *testing.T) {
	for _, framing := range framings {
		for _, path := range []string{"/stream/1", "/draft/1", "/once/1"} {
			t.Run(string(framing)+path, func(t *testing.T) {
				u := newUpstream(t, "u", func(_ int, id string, conn net.Conn) bool {
					return reply{framing: framing, ending: ends, whole: events(1, 3), sent: events(1, 3)}.write(id, conn)
				})
				w := newTestEntry(t, u)
				l := &fixedLiveness{alive: framing == byConnection}
				w.relayer.Liveness = l
				got := w.request(t, path, "r1")
				must.False(t, got.broken)
				must.Eq(t, http.StatusOK, got.status)
				must.Eq(t, events(1, 3), got.body)
				must.Eq(t, framing == byConnection, l.checks == 1)
				must.LessEq(t, 1, l.checks)
			})
		}
	}
}

// Guards against checking an upstream that is backing off or draining, and against refusing its replies because
// the check gets no answer.
func TestBackingOffUpstreamGetsNoLivenessCheck(t *testing.T) {
	for what, statement := range map[string]observer.Statement{"rests": observer.Backoff{For: time.Minute}, "leaves": observer.Leaving{}} {
		t.Run(what, func(t *testing.T) {
			var w *testEntry
			u := newUpstream(t, "u", func(_ int, id string, conn net.Conn) bool {
				w.relayer.Placer.Observer.Record(observer.Start{ID: "u"}, observer.Statements{statement})
				return reply{framing: byConnection, ending: ends, sent: events(1, 3)}.write(id, conn)
			})
			w = newTestEntry(t, u)
			l := &fixedLiveness{alive: false}
			w.relayer.Liveness = l
			got := w.request(t, "/draft/1", "r1")
			must.False(t, got.broken)
			must.Eq(t, events(1, 3), got.body)
			must.Zero(t, l.checks)
		})
	}
}
