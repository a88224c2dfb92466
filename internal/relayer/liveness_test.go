package relayer_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/observer"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
)

// dies closes the connection as the end of an upstream's process does: its listener is closed as well.
func (u *upstream) dies(conn net.Conn) bool {
	u.listener.Close()
	conn.Close()
	return true
}

// dyingFirst is an entry before two upstreams. The first that gets a request sends what it can and dies, the other
// one answers as it does.
func dyingFirst(t *testing.T, sent func(id string) string, then func(int, string, net.Conn) bool) *world {
	var o once
	var us []*upstream
	for i, name := range []string{"u1", "u2"} {
		us = append(us, newUpstream(t, name, nil))
		us[i].answer = func(n int, id string, conn net.Conn) bool {
			if !o.is(name) {
				return then(n, id, conn)
			}
			say(conn, sent(id))
			return us[i].dies(conn)
		}
	}
	w := newWorld(t, us...)
	w.relayer.Liveness = relayer.NetworkLiveness{}
	return w
}

// unframed begins a stream that ends with its connection.
func unframed(events string) func(id string) string {
	return func(id string) string {
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSeal: x\r\nContent-Type: text/event-stream\r\n\r\n" + events
	}
}

// Guards against a stream without a length that ends as complete though its upstream died between two events.
func TestStreamOfADeadUpstreamIsNotCompleted(t *testing.T) {
	for what, then := range map[string]func(int, string, net.Conn) bool{
		"draft": sends(numbered(3, 4)...), "no other upstream": refuses, "the other one fails": fails("500 Internal Server Error"),
		"the other one goes on wrongly": sends(numbered(4)...),
	} {
		t.Run(what, func(t *testing.T) {
			path := "/stream/1"
			if what == "draft" {
				path = "/draft/1"
			}
			got := dyingFirst(t, unframed(events(1, 3)), then).ask(t, path, "r1")
			must.True(t, got.broken)
			must.Eq(t, events(1, 3), got.body)
		})
	}
}

// Guards against a stream without a length that is cut, or ends as complete, though another upstream can go on
// where the first one died.
func TestStreamOfADeadUpstreamIsResumed(t *testing.T) {
	for what, rest := range map[string][]string{"events left": numbered(3, 4), "nothing left": nil} {
		t.Run(what, func(t *testing.T) {
			w := dyingFirst(t, unframed(events(1, 3)), sends(rest...))
			got := w.ask(t, "/stream/1", "r1")
			must.False(t, got.broken)
			must.Eq(t, events(1, 3)+strings.Join(rest, ""), got.body)
			must.Eq(t, 2, runs(w.upstreams))
		})
	}
}

// Guards against a part of a plain reply without a length that passes for the whole as its upstream died.
func TestPlainReplyOfADeadUpstreamIsNoSuccess(t *testing.T) {
	for name, size := range map[string]int{"empty": 0, "short": 700, "long": 900 << 10} {
		t.Run(name, func(t *testing.T) {
			part := func(id string) string { return plainReply(id, strings.Repeat("x", size)) }
			w := dyingFirst(t, part, func(_ int, id string, conn net.Conn) bool { say(conn, sealed(id, "all of it")); return true })
			got := w.ask(t, "/once/1", "r1")
			must.True(t, got.broken || got.status == http.StatusBadGateway, must.Sprintf("status %d, %d bytes", got.status, len(got.body)))
			must.Eq(t, 1, runs(w.upstreams))
		})
	}
}

// Guards against a part of a plain reply that is handed on though another upstream has all of it.
func TestPlainReplyOfADeadUpstreamIsAskedForAgain(t *testing.T) {
	part := func(id string) string { return plainReply(id, "all o") }
	w := dyingFirst(t, part, func(_ int, id string, conn net.Conn) bool { say(conn, sealed(id, "all of it")); return true })
	got := w.ask(t, "/safe/1", "r1")
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, "all of it", got.body)
}

// liveness is an answer to all who ask, counted.
type liveness struct {
	alive bool
	asked int
}

func (l *liveness) Alive(context.Context, registrar.Upstream) bool {
	l.asked++
	return l.alive
}

// Guards against whole replies that are refused, and against upstreams that are asked without need.
func TestOnlyRepliesThatEndWithTheirConnectionAreDoubted(t *testing.T) {
	for _, framing := range framings {
		for _, path := range []string{"/stream/1", "/draft/1", "/once/1"} {
			t.Run(string(framing)+path, func(t *testing.T) {
				u := newUpstream(t, "u", func(_ int, id string, conn net.Conn) bool {
					return reply{framing: framing, ending: ends, whole: events(1, 3), sent: events(1, 3)}.write(id, conn)
				})
				w := newWorld(t, u)
				l := &liveness{alive: framing == byConnection}
				w.relayer.Liveness = l
				got := w.ask(t, path, "r1")
				must.False(t, got.broken)
				must.Eq(t, http.StatusOK, got.status)
				must.Eq(t, events(1, 3), got.body)
				must.Eq(t, framing == byConnection, l.asked == 1)
				must.LessEq(t, 1, l.asked)
			})
		}
	}
}

// Guards against questions to an upstream that asked for rest or leaves, and replies of it that are refused for want
// of an answer.
func TestUpstreamThatWantsNothingIsNotAsked(t *testing.T) {
	for what, statement := range map[string]observer.Statement{"rests": observer.Backoff{For: time.Minute}, "leaves": observer.Leaving{}} {
		t.Run(what, func(t *testing.T) {
			var w *world
			u := newUpstream(t, "u", func(_ int, id string, conn net.Conn) bool {
				w.relayer.Placer.Observer.Record(observer.Start{ID: "u"}, observer.Statements{statement})
				return reply{framing: byConnection, ending: ends, sent: events(1, 3)}.write(id, conn)
			})
			w = newWorld(t, u)
			l := &liveness{alive: false}
			w.relayer.Liveness = l
			got := w.ask(t, "/draft/1", "r1")
			must.False(t, got.broken)
			must.Eq(t, events(1, 3), got.body)
			must.Zero(t, l.asked)
		})
	}
}
