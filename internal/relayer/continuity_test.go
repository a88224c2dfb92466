package relayer_test

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// numbered are events with some ids.
func numbered(ids ...int) []string {
	var all []string
	for _, id := range ids {
		all = append(all, event(id))
	}
	return all
}

// sends has an upstream answer with a stream of events that its framing ends.
func sends(events ...string) func(int, string, net.Conn) bool {
	return func(_ int, id string, conn net.Conn) bool {
		say(conn, streamHead(id))
		for _, e := range events {
			say(conn, chunked(e))
		}
		say(conn, "0\r\n\r\n")
		return true
	}
}

// firstThen has the first of some upstreams answer in one way, and the others in another one.
func firstThen(t *testing.T, first, then func(int, string, net.Conn) bool) *world {
	var o once
	var us []*upstream
	for _, name := range []string{"u1", "u2"} {
		us = append(us, newUpstream(t, name, func(n int, id string, conn net.Conn) bool {
			if o.is(name) {
				return first(n, id, conn)
			}
			return then(n, id, conn)
		}))
	}
	return newWorld(t, us...)
}

// askBehind asks for the rest of a stream of which the caller has some events.
func (w *world) askBehind(t *testing.T, path string, last int) answer {
	return w.sendHeader(t, path, "order", http.Header{"Id": {"r1"}, "Key": {"k"}, "Last": {strconv.Itoa(last)}})
}

// wrongRests are streams that don't go on behind event 2.
func wrongRests() map[string][]string {
	return map[string][]string{
		"repeats the last event":     numbered(2, 3, 4),
		"begins anew":                numbered(1, 2, 3, 4),
		"skips an event":             numbered(4),
		"has no ids":                 {"data: e3\n\n", "data: e4\n\n"},
		"skips behind a comment":     {": hello\n\n", event(4)},
		"has no id behind a comment": {": hello\n\n", "data: e3\n\n"},
	}
}

// Guards against a caller that resumes its stream and gets events twice, or not all of them, as a complete reply.
func TestCallersResumedStreamGoesOnBehindItsLastEvent(t *testing.T) {
	for what, wrong := range wrongRests() {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			right := numbered(3, 4)
			got := firstThen(t, sends(wrong...), sends(right...)).askBehind(t, "/stream/1", 2)
			must.False(t, got.broken)
			must.Eq(t, http.StatusOK, got.status)
			must.Eq(t, events(3, 5), got.body)

			got = newWorld(t, newUpstream(t, "u", sends(wrong...))).askBehind(t, "/stream/1", 2)
			must.Eq(t, http.StatusBadGateway, got.status)
		})
	}
}

// Guards against a caller that resumes its stream and gets the wrong rest of it by a hedge.
func TestHedgeOfACallersResumedStreamGoesOnBehindItsLastEvent(t *testing.T) {
	for what, wrong := range wrongRests() {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			slow := func(n int, id string, conn net.Conn) bool {
				time.Sleep(silence)
				return sends(numbered(3, 4)...)(n, id, conn)
			}
			got := firstThen(t, slow, sends(wrong...)).askBehind(t, "/stream/1", 2)
			must.False(t, got.broken)
			must.Eq(t, events(3, 5), got.body)
		})
	}
}

// Guards against sound rests of a stream that are refused.
func TestSoundRestOfAStreamIsPassedOn(t *testing.T) {
	for what, rest := range map[string][]string{
		"events":              numbered(3, 4),
		"none":                nil,
		"comment before them": {": hello\n\n", event(3)},
		"no id behind them":   {event(3), "data: end\n\n"},
	} {
		for _, path := range []string{"/stream/1", "/draft/1"} {
			t.Run(what+path, func(t *testing.T) {
				t.Parallel()
				got := newWorld(t, newUpstream(t, "u", sends(rest...))).askBehind(t, path, 2)
				must.False(t, got.broken)
				must.Eq(t, http.StatusOK, got.status)
				must.Eq(t, strings.Join(rest, ""), got.body)
			})
		}
	}
}
