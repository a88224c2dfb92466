package relayer_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

const (
	// silence is for how long a sound upstream may send nothing.
	silence = 1500 * time.Millisecond
	// plainTimeout is the timeout of plain routes whose upstreams are silent.
	plainTimeout = 3 * time.Second
)

// pausedReply is what an upstream sends in two parts, with a silence between them.
type pausedReply struct {
	path         string
	before, rest func(id string) string
	body         string
}

func plainHead(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: x\r\nContent-Length: 9\r\n\r\n", id)
}

// replies are those of sound upstreams with a silence somewhere.
func replies() map[string]pausedReply {
	nothing := func(string) string { return "" }
	text := func(s string) func(string) string { return func(string) string { return s } }
	whole := func(id string) string { return streamHead(id) + chunked(event(1)) + chunked(event(2)) + "0\r\n\r\n" }
	ends := chunked(event(1)) + chunked(event(2)) + "0\r\n\r\n"
	half, rest := chunked(event(1)+"id: 2\nda"), chunked("ta: e2\n\n")+"0\r\n\r\n"
	events := event(1) + event(2)
	return map[string]pausedReply{
		"stream, before the header":      {"/stream/", nothing, whole, events},
		"stream, before the first event": {"/stream/", streamHead, text(ends), events},
		"stream, between events": {"/stream/", func(id string) string { return streamHead(id) + chunked(event(1)) },
			text(chunked(event(2)) + "0\r\n\r\n"), events},
		"stream, inside an event":    {"/stream/", func(id string) string { return streamHead(id) + half }, text(rest), events},
		"plain, before the header":   {"/safe/", nothing, func(id string) string { return plainHead(id) + "all of it" }, "all of it"},
		"plain, in the body":         {"/safe/", func(id string) string { return plainHead(id) + "all" }, text(" of it"), "all of it"},
		"booking, before the header": {"/once/", nothing, func(id string) string { return plainHead(id) + "all of it" }, "all of it"},
		"draft, between events": {"/draft/", func(id string) string { return streamHead(id) + chunked(event(1)) },
			text(chunked(event(2)) + "0\r\n\r\n"), events},
	}
}

// pause sends the first part of a reply, is silent, and sends the rest.
func (r pausedReply) pause(id string, conn net.Conn) bool {
	say(conn, r.before(id))
	time.Sleep(silence)
	say(conn, r.rest(id))
	return true
}

// silentFirst is an entry before upstreams of which the first that gets a request pauses, and the others answer
// as they do.
func silentFirst(t *testing.T, r pausedReply, first *once, others func(int, string, net.Conn) bool, names ...string) *world {
	us := make([]*upstream, 0, len(names))
	for _, name := range names {
		us = append(us, newUpstream(t, name, func(n int, id string, conn net.Conn) bool {
			if first.is(name) {
				return r.pause(id, conn)
			}
			return others(n, id, conn)
		}))
	}
	return newWorld(t, us...).hurried()
}

// hurried gives plain routes a timeout within which a silence of an upstream counts.
func (w *world) hurried() *world {
	for _, r := range w.registrar.View().Table.Routes {
		if r.Kind != matcher.Streaming {
			r.Timeout = plainTimeout
		}
	}
	return w
}

func runs(us []*upstream) int {
	n := 0
	for _, u := range us {
		n += len(u.came())
	}
	return n
}

func fails(status string) func(int, string, net.Conn) bool {
	return func(_ int, id string, conn net.Conn) bool {
		say(conn, "HTTP/1.1 "+status+"\r\nId: "+id+"\r\nSeal: x\r\nContent-Length: 0\r\n\r\n")
		return true
	}
}

func otherVersion(_ int, id string, conn net.Conn) bool {
	say(conn, "HTTP/1.1 421 Misdirected Request\r\nId: "+id+"\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	return true
}

// crashes breaks off inside an event.
func crashes(_ int, id string, conn net.Conn) bool {
	say(conn, streamHead(id)+"5\r\nid: 2")
	return false
}

// skips goes on with the wrong event.
func skips(_ int, id string, conn net.Conn) bool {
	say(conn, streamHead(id)+chunked(event(7))+"0\r\n\r\n")
	return true
}

func staysSilent(_ int, _ string, conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(patience))
	_, _ = conn.Read(make([]byte, 1))
	return false
}

// Guards against sound upstreams that are given up for a silence, with an answer that is lost as the upstream
// that takes over fails.
func TestSilentUpstreamIsNotGivenUpForOneThatFails(t *testing.T) {
	others := map[string]func(int, string, net.Conn) bool{"resets": resets, "refuses": refuses, "holds another version": otherVersion,
		"answers 500": fails("500 Internal Server Error"), "crashes": crashes, "is silent too": staysSilent}
	for at, r := range replies() {
		for what, other := range others {
			t.Run(at+", the other one "+what, func(t *testing.T) {
				t.Parallel()
				w := silentFirst(t, r, &once{}, other, "u1", "u2")
				a := w.ask(t, r.path, "r1")
				must.False(t, a.broken)
				must.Eq(t, http.StatusOK, a.status)
				must.Eq(t, r.body, a.body)
				must.LessEq(t, 2, runs(w.upstreams))
			})
		}
	}
}

// Guards against streams that are cut as another upstream goes on with the wrong event.
func TestSilentUpstreamIsNotGivenUpForAGap(t *testing.T) {
	r := replies()["stream, between events"]
	a := silentFirst(t, r, &once{}, skips, "u1", "u2").ask(t, r.path, "r1")
	must.False(t, a.broken)
	must.Eq(t, r.body, a.body)
}

// Guards against silent upstreams that are given up with no other upstream, no retry or little time left.
func TestSilentUpstreamIsNotGivenUpWithNothingLeft(t *testing.T) {
	for at, r := range replies() {
		for what, make := range map[string]func(t *testing.T) *world{
			"no other": func(t *testing.T) *world { return silentFirst(t, r, &once{}, resets, "u1") },
			"no retry": func(t *testing.T) *world {
				return silentFirst(t, r, &once{}, resets, "u1", "u2").withoutRetries()
			},
			"little time": func(t *testing.T) *world {
				w := silentFirst(t, r, &once{}, resets, "u1", "u2")
				for _, route := range w.registrar.View().Table.Routes {
					route.Timeout = silence + time.Second
				}
				return w
			},
		} {
			t.Run(at+", "+what, func(t *testing.T) {
				t.Parallel()
				w := make(t)
				a := w.ask(t, r.path, "r1")
				must.False(t, a.broken)
				must.Eq(t, http.StatusOK, a.status)
				must.Eq(t, r.body, a.body)
			})
		}
	}
}

// change has a new route table come, without what is named.
func (w *world) change(change func(*matcher.Table), gone ...string) {
	at, _, _ := w.registrar.Revision()
	next := table()
	change(next)
	next.Version = at + 1
	next.Index()
	decode := w.registrar.Decode
	w.registrar.Decode = func(key string, value []byte) (registrar.Fact, error) {
		if key == "table" {
			return registrar.Table{Table: next}, nil
		}
		return decode(key, value)
	}
	b := registrar.Batch{After: at, At: at + 1, Records: []registrar.Record{{Key: "table", Revision: at + 1}}}
	for _, key := range gone {
		b.Records = append(b.Records, registrar.Record{Key: key, Revision: at + 1, Deleted: true})
	}
	w.registrar.Apply(b)
}

// Guards against answers that are lost beside a change of the route table, while their upstream is silent.
func TestSilentUpstreamIsNotGivenUpBesideAChangeOfTheTable(t *testing.T) {
	nothing := func(*matcher.Table) {}
	changes := map[string]func(w *world){
		"routes removed":  func(w *world) { w.change(func(t *matcher.Table) { t.Routes = nil }) },
		"service removed": func(w *world) { w.change(func(t *matcher.Table) { t.Services = map[string]*matcher.Service{} }) },
		"service moved": func(w *world) {
			w.change(func(t *matcher.Table) {
				for _, r := range t.Routes {
					r.Targets = []matcher.Target{{Service: "office", Weight: 1}}
				}
			})
		},
		"shorter timeout": func(w *world) {
			w.change(func(t *matcher.Table) {
				for _, r := range t.Routes {
					r.Timeout = silence / 2
				}
			})
		},
		"upstreams gone": func(w *world) { w.change(nothing, "u1", "u2") },
		"keys gone":      func(w *world) { w.change(func(t *matcher.Table) { t.Keys = map[string]*matcher.Workspace{} }) },
	}
	for at, r := range replies() {
		for what, change := range changes {
			t.Run(at+", "+what, func(t *testing.T) {
				t.Parallel()
				w := silentFirst(t, r, &once{}, resets, "u1", "u2")
				time.AfterFunc(silence/4, func() { change(w) })
				a := w.ask(t, r.path, "r1")
				must.False(t, a.broken)
				must.Eq(t, http.StatusOK, a.status)
				must.Eq(t, r.body, a.body)
			})
		}
	}
}

// Guards against silences that end and are taken for failures of their upstreams.
func TestSilenceThatEndsIsNoFailure(t *testing.T) {
	for at, r := range replies() {
		t.Run(at, func(t *testing.T) {
			t.Parallel()
			var first once
			w := silentFirst(t, r, &first, refuses, "u1", "u2")
			must.Eq(t, r.body, w.ask(t, r.path, "r1").body)
			must.False(t, w.relayer.Chooser.Avoided(first.name))
		})
	}
}

// Guards against an entry that sends new requests to an upstream that has been silent for long.
func TestUpstreamThatStaysSilentIsPassedOver(t *testing.T) {
	r := replies()["stream, between events"]
	var first once
	answer := func(name string) func(int, string, net.Conn) bool {
		return func(n int, id string, conn net.Conn) bool {
			if first.is(name) {
				say(conn, r.before(id))
				return staysSilent(n, id, conn)
			}
			say(conn, streamHead(id)+chunked(event(2))+"0\r\n\r\n")
			return true
		}
	}
	w := newWorld(t, newUpstream(t, "u1", answer("u1")), newUpstream(t, "u2", answer("u2")))
	must.Eq(t, r.body, w.ask(t, r.path, "r1").body)
	must.True(t, w.relayer.Chooser.Avoided(first.name))
}

// Guards against hedges that go on after the first upstream has ended its silence, and against a caller that
// waits for them.
func TestHedgeIsCancelledOnceTheSilenceEnds(t *testing.T) {
	for _, at := range []string{"stream, before the header", "stream, before the first event", "stream, between events", "plain, before the header"} {
		t.Run(at, func(t *testing.T) {
			t.Parallel()
			r := replies()[at]
			var first once
			came, closed := make(chan struct{}), make(chan time.Time, 1)
			var goesOn time.Time
			answer := func(name string) func(int, string, net.Conn) bool {
				return func(n int, id string, conn net.Conn) bool {
					if !first.is(name) {
						close(came)
						staysSilent(n, id, conn)
						closed <- time.Now()
						return false
					}
					say(conn, r.before(id))
					<-came
					time.Sleep(silence / 10)
					goesOn = time.Now()
					say(conn, r.rest(id))
					return true
				}
			}
			w := newWorld(t, newUpstream(t, "u1", answer("u1")), newUpstream(t, "u2", answer("u2"))).hurried()
			must.Eq(t, r.body, w.ask(t, r.path, "r1").body)
			must.Less(t, closeWithin, time.Since(goesOn))
			must.Less(t, closeWithin, (<-closed).Sub(goesOn))
		})
	}
}

// Guards against hedges of what may run once only, and against more attempts than a route allows.
func TestHedgesKeepTheLimitOfAttempts(t *testing.T) {
	for at, r := range replies() {
		t.Run(at, func(t *testing.T) {
			t.Parallel()
			w := silentFirst(t, r, &once{}, resets, "u1", "u2", "u3")
			must.Eq(t, r.body, w.ask(t, r.path, "r1").body)
			limit := 2
			if r.path == "/once/" || r.path == "/draft/" {
				limit = 1
			}
			must.LessEq(t, limit, runs(w.upstreams))
		})
	}
}

// Guards against a hedge whose reply waits for the next look at the silent upstream.
func TestHedgeAnswersAtOnce(t *testing.T) {
	var first once
	answer := func(name string) func(int, string, net.Conn) bool {
		return func(n int, id string, conn net.Conn) bool {
			if first.is(name) {
				return staysSilent(n, id, conn)
			}
			return serves(n, id, conn)
		}
	}
	w := newWorld(t, newUpstream(t, "u1", answer("u1")), newUpstream(t, "u2", answer("u2"))).hurried()
	began := time.Now()
	must.Eq(t, "done", w.ask(t, "/safe/", "r1").body)
	must.Less(t, plainTimeout*2/5+100*time.Millisecond, time.Since(began))
}

// Guards against a stream whose first upstream breaks off while a hedge is under way: the hedge goes on with it.
func TestHedgeGoesOnAfterItsFirstUpstreamFails(t *testing.T) {
	var first once
	answer := func(name string) func(int, string, net.Conn) bool {
		return func(_ int, id string, conn net.Conn) bool {
			if first.is(name) {
				say(conn, streamHead(id)+chunked(event(1)))
				time.Sleep(silence)
				return false
			}
			time.Sleep(silence)
			say(conn, streamHead(id)+chunked(event(2))+"0\r\n\r\n")
			return true
		}
	}
	w := newWorld(t, newUpstream(t, "u1", answer("u1")), newUpstream(t, "u2", answer("u2")))
	a := w.ask(t, "/stream/", "r1")
	must.False(t, a.broken)
	must.Eq(t, event(1)+event(2), a.body)
	must.Eq(t, 2, runs(w.upstreams))
}

// Guards against upstreams that work on after their caller has left, the silent one and the hedge.
func TestBothUpstreamsOfAHedgeSeeThatTheCallerLeft(t *testing.T) {
	closed := make(chan time.Time, 2)
	answer := func(n int, id string, conn net.Conn) bool {
		staysSilent(n, id, conn)
		closed <- time.Now()
		return false
	}
	w := newWorld(t, newUpstream(t, "u1", answer), newUpstream(t, "u2", answer)).hurried()
	c := w.call(t, "/safe/", "r1", "", "order", "")
	time.Sleep(silence)
	left := time.Now()
	c.Close()
	for range 2 {
		must.Less(t, closeWithin, (<-closed).Sub(left))
	}
}

// Guards against slots that stay taken after a hedge, whichever of both is used.
func TestHedgesFreeTheirSlots(t *testing.T) {
	for at, r := range replies() {
		t.Run(at, func(t *testing.T) {
			t.Parallel()
			for _, other := range []func(int, string, net.Conn) bool{resets, staysSilent, serves} {
				w := silentFirst(t, r, &once{}, other, "u1", "u2")
				w.ask(t, r.path, "r1")
				must.Eq(t, []int{0, 0}, []int{w.relayer.Chooser.Running("u1"), w.relayer.Chooser.Running("u2")})
			}
		})
	}
}

// threeAttempts is an entry before upstreams whose plain routes allow three attempts.
func threeAttempts(t *testing.T, us ...*upstream) *world {
	w := newWorld(t, us...).hurried()
	for _, r := range w.registrar.View().Table.Routes {
		r.MaxAttempts = 3
	}
	return w
}

// Guards against a request that waits for a hedge that is silent, although one more attempt is allowed.
func TestSilentHedgeLeavesTheThirdAttempt(t *testing.T) {
	for name, first := range map[string]func(int, string, net.Conn) bool{
		"first stays silent": staysSilent,
		"first breaks off": func(int, string, net.Conn) bool {
			time.Sleep(silence)
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var one, two once
			answer := func(name string) func(int, string, net.Conn) bool {
				return func(n int, id string, conn net.Conn) bool {
					switch {
					case one.is(name):
						return first(n, id, conn)
					case two.is(name):
						return staysSilent(n, id, conn)
					default:
						return serves(n, id, conn)
					}
				}
			}
			w := threeAttempts(t, newUpstream(t, "u1", answer("u1")), newUpstream(t, "u2", answer("u2")), newUpstream(t, "u3", answer("u3")))
			a := w.ask(t, "/safe/", "r1")
			must.Eq(t, http.StatusOK, a.status)
			must.Eq(t, "done", a.body)
		})
	}
}

// Guards against an upstream's own failure that is replaced by one of the entry's, as the last attempt was a hedge.
func TestFailureOfTheLastAttemptIsPassedOn(t *testing.T) {
	for name, wait := range map[string]time.Duration{"hedge fails before the first upstream": 0, "hedge fails after it": time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var one once
			answer := func(name string) func(int, string, net.Conn) bool {
				return func(n int, id string, conn net.Conn) bool {
					if one.is(name) {
						time.Sleep(silence)
						return false
					}
					time.Sleep(wait)
					return fails("500 Internal Server Error")(n, id, conn)
				}
			}
			w := newWorld(t, newUpstream(t, "u1", answer("u1")), newUpstream(t, "u2", answer("u2"))).hurried()
			must.Eq(t, http.StatusInternalServerError, w.ask(t, "/safe/", "r1").status)
		})
	}
}

// Guards against a refusal that says that a request did not run, although a hedge may have run it.
func TestCancelledHedgeMayHaveRun(t *testing.T) {
	var one, two once
	answer := func(name string) func(int, string, net.Conn) bool {
		return func(n int, id string, conn net.Conn) bool {
			switch {
			case one.is(name):
				time.Sleep(plainTimeout * 9 / 10)
			case two.is(name):
				return staysSilent(n, id, conn)
			}
			return refuses(n, id, conn)
		}
	}
	w := threeAttempts(t, newUpstream(t, "u1", answer("u1")), newUpstream(t, "u2", answer("u2")), newUpstream(t, "u3", answer("u3")))
	must.Eq(t, http.StatusBadGateway, w.ask(t, "/safe/", "r1").status)
	must.Eq(t, 3, runs(w.upstreams))
}
