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
	// replyPause is for how long a working upstream may send nothing.
	replyPause = 1500 * time.Millisecond
	// plainTimeout is the timeout of plain routes whose upstreams pause.
	plainTimeout = 3 * time.Second
)

// pausedReply is what an upstream sends in two parts, with a pause between them.
type pausedReply struct {
	path         string
	before, rest func(id string) string
	body         string
}

func plainHead(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: x\r\nContent-Length: 9\r\n\r\n", id)
}

// pausedReplies are replies of working upstreams with a pause somewhere.
func pausedReplies() map[string]pausedReply {
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

// sendWithPause sends the first part of a reply, pauses, and sends the rest.
func (r pausedReply) sendWithPause(id string, conn net.Conn) bool {
	writeString(conn, r.before(id))
	time.Sleep(replyPause)
	writeString(conn, r.rest(id))
	return true
}

// newSilentFirstEntry starts an entry with upstreams of which the first that gets a request pauses, and the
// others answer with others.
func newSilentFirstEntry(t *testing.T, r pausedReply, first *firstUpstream, others func(int, string, net.Conn) bool, names ...string) *testEntry {
	us := make([]*upstream, 0, len(names))
	for _, name := range names {
		us = append(us, newUpstream(t, name, func(n int, id string, conn net.Conn) bool {
			if first.claim(name) {
				return r.sendWithPause(id, conn)
			}
			return others(n, id, conn)
		}))
	}
	return newTestEntry(t, us...).withPlainTimeout()
}

// withPlainTimeout gives plain routes a timeout within which a pause of an upstream counts.
func (w *testEntry) withPlainTimeout() *testEntry {
	for _, r := range w.registrar.View().Table.Routes {
		if r.Kind != matcher.Streaming {
			r.Timeout = plainTimeout
		}
	}
	return w
}

func totalRequests(us []*upstream) int {
	n := 0
	for _, u := range us {
		n += len(u.received())
	}
	return n
}

func failsWith(status string) func(int, string, net.Conn) bool {
	return func(_ int, id string, conn net.Conn) bool {
		writeString(conn, "HTTP/1.1 "+status+"\r\nId: "+id+"\r\nSeal: x\r\nContent-Length: 0\r\n\r\n")
		return true
	}
}

func refusesVersion(_ int, id string, conn net.Conn) bool {
	writeString(conn, "HTTP/1.1 421 Misdirected Request\r\nId: "+id+"\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	return true
}

// breaksOffInEvent breaks off inside an event.
func breaksOffInEvent(_ int, id string, conn net.Conn) bool {
	writeString(conn, streamHead(id)+"5\r\nid: 2")
	return false
}

// skipsEvents resumes with the wrong event.
func skipsEvents(_ int, id string, conn net.Conn) bool {
	writeString(conn, streamHead(id)+chunked(event(7))+"0\r\n\r\n")
	return true
}

func staysSilent(_ int, _ string, conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(stepTimeout))
	_, _ = conn.Read(make([]byte, 1))
	return false
}

// Guards against giving up working upstreams for a pause, and losing their answer as the upstream that takes
// over fails.
func TestSilentUpstreamIsNotGivenUpForOneThatFails(t *testing.T) {
	others := map[string]func(int, string, net.Conn) bool{"resets": resets, "refuses": refuses, "holds another version": refusesVersion,
		"answers 500": failsWith("500 Internal Server Error"), "crashes": breaksOffInEvent, "is silent too": staysSilent}
	for where, r := range pausedReplies() {
		for what, other := range others {
			t.Run(where+", the other one "+what, func(t *testing.T) {
				t.Parallel()
				w := newSilentFirstEntry(t, r, &firstUpstream{}, other, "u1", "u2")
				a := w.request(t, r.path, "r1")
				must.False(t, a.broken)
				must.Eq(t, http.StatusOK, a.status)
				must.Eq(t, r.body, a.body)
				must.LessEq(t, 2, totalRequests(w.upstreams))
			})
		}
	}
}

// Guards against cutting streams because another upstream resumes with the wrong event.
func TestSilentUpstreamIsNotGivenUpForAGap(t *testing.T) {
	r := pausedReplies()["stream, between events"]
	a := newSilentFirstEntry(t, r, &firstUpstream{}, skipsEvents, "u1", "u2").request(t, r.path, "r1")
	must.False(t, a.broken)
	must.Eq(t, r.body, a.body)
}

// Guards against giving up pausing upstreams with no other upstream, no retry or little time left.
func TestSilentUpstreamIsNotGivenUpWithNothingLeft(t *testing.T) {
	for where, r := range pausedReplies() {
		for what, make := range map[string]func(t *testing.T) *testEntry{
			"no other": func(t *testing.T) *testEntry { return newSilentFirstEntry(t, r, &firstUpstream{}, resets, "u1") },
			"no retry": func(t *testing.T) *testEntry {
				return newSilentFirstEntry(t, r, &firstUpstream{}, resets, "u1", "u2").withoutRetries()
			},
			"little time": func(t *testing.T) *testEntry {
				w := newSilentFirstEntry(t, r, &firstUpstream{}, resets, "u1", "u2")
				for _, route := range w.registrar.View().Table.Routes {
					route.Timeout = replyPause + time.Second
				}
				return w
			},
		} {
			t.Run(where+", "+what, func(t *testing.T) {
				t.Parallel()
				w := make(t)
				a := w.request(t, r.path, "r1")
				must.False(t, a.broken)
				must.Eq(t, http.StatusOK, a.status)
				must.Eq(t, r.body, a.body)
			})
		}
	}
}

// changeTable delivers a new route table, and deletes the records of the given keys.
func (w *testEntry) changeTable(change func(*matcher.Table), gone ...string) {
	revision, _, _ := w.registrar.Revision()
	next := newTable()
	change(next)
	next.Version = revision + 1
	next.Index()
	decode := w.registrar.Decode
	w.registrar.Decode = func(key string, value []byte) (registrar.Fact, error) {
		if key == "table" {
			return registrar.Table{Table: next}, nil
		}
		return decode(key, value)
	}
	b := registrar.Batch{After: revision, At: revision + 1, Records: []registrar.Record{{Key: "table", Revision: revision + 1}}}
	for _, key := range gone {
		b.Records = append(b.Records, registrar.Record{Key: key, Revision: revision + 1, Deleted: true})
	}
	w.registrar.Apply(b)
}

// Guards against losing answers when the route table changes while their upstream pauses.
func TestSilentUpstreamIsNotGivenUpBesideAChangeOfTheTable(t *testing.T) {
	nothing := func(*matcher.Table) {}
	changes := map[string]func(w *testEntry){
		"routes removed": func(w *testEntry) { w.changeTable(func(t *matcher.Table) { t.Routes = nil }) },
		"service removed": func(w *testEntry) {
			w.changeTable(func(t *matcher.Table) { t.Services = map[string]*matcher.Service{} })
		},
		"service moved": func(w *testEntry) {
			w.changeTable(func(t *matcher.Table) {
				for _, r := range t.Routes {
					r.Targets = []matcher.Target{{Service: "office", Weight: 1}}
				}
			})
		},
		"shorter timeout": func(w *testEntry) {
			w.changeTable(func(t *matcher.Table) {
				for _, r := range t.Routes {
					r.Timeout = replyPause / 2
				}
			})
		},
		"upstreams gone": func(w *testEntry) { w.changeTable(nothing, "u1", "u2") },
		"keys gone":      func(w *testEntry) { w.changeTable(func(t *matcher.Table) { t.Keys = map[string]*matcher.Workspace{} }) },
	}
	for where, r := range pausedReplies() {
		for what, change := range changes {
			t.Run(where+", "+what, func(t *testing.T) {
				t.Parallel()
				w := newSilentFirstEntry(t, r, &firstUpstream{}, resets, "u1", "u2")
				time.AfterFunc(replyPause/4, func() { change(w) })
				a := w.request(t, r.path, "r1")
				must.False(t, a.broken)
				must.Eq(t, http.StatusOK, a.status)
				must.Eq(t, r.body, a.body)
			})
		}
	}
}

// requestAtTwoUpstreams has a request fail at two upstreams in turn, and returns the answer and how many ran it.
func TestSilenceThatEndsIsNoFailure(t *testing.T) {
	for where, r := range pausedReplies() {
		t.Run(where, func(t *testing.T) {
			t.Parallel()
			var first firstUpstream
			w := newSilentFirstEntry(t, r, &first, refuses, "u1", "u2")
			must.Eq(t, r.body, w.request(t, r.path, "r1").body)
			must.False(t, w.relayer.Chooser.Avoided(first.name))
		})
	}
}

// Guards against an entry that sends new requests to an upstream that has sent nothing for long.
func TestUpstreamThatStaysSilentIsPassedOver(t *testing.T) {
	r := pausedReplies()["stream, between events"]
	var first firstUpstream
	answer := func(name string) func(int, string, net.Conn) bool {
		return func(n int, id string, conn net.Conn) bool {
			if first.claim(name) {
				writeString(conn, r.before(id))
				return staysSilent(n, id, conn)
			}
			writeString(conn, streamHead(id)+chunked(event(2))+"0\r\n\r\n")
			return true
		}
	}
	w := newTestEntry(t, newUpstream(t, "u1", answer("u1")), newUpstream(t, "u2", answer("u2")))
	must.Eq(t, r.body, w.request(t, r.path, "r1").body)
	must.True(t, w.relayer.Chooser.Avoided(first.name))
}

// Guards against hedges that go on after the first upstream's pause has ended, and against a caller that waits
// for them.
func TestHedgeIsCancelledOnceTheSilenceEnds(t *testing.T) {
	for _, where := range []string{"stream, before the header", "stream, before the first event", "stream, between events", "plain, before the header"} {
		t.Run(where, func(t *testing.T) {
			t.Parallel()
			r := pausedReplies()[where]
			var first firstUpstream
			came, closed := make(chan struct{}), make(chan time.Time, 1)
			var goesOn time.Time
			answer := func(name string) func(int, string, net.Conn) bool {
				return func(n int, id string, conn net.Conn) bool {
					if !first.claim(name) {
						close(came)
						staysSilent(n, id, conn)
						closed <- time.Now()
						return false
					}
					writeString(conn, r.before(id))
					<-came
					time.Sleep(replyPause / 10)
					goesOn = time.Now()
					writeString(conn, r.rest(id))
					return true
				}
			}
			w := newTestEntry(t, newUpstream(t, "u1", answer("u1")), newUpstream(t, "u2", answer("u2"))).withPlainTimeout()
			must.Eq(t, r.body, w.request(t, r.path, "r1").body)
			must.Less(t, closeWithin, time.Since(goesOn))
			must.Less(t, closeWithin, (<-closed).Sub(goesOn))
		})
	}
}

// Guards against hedges of requests that may run only once, and against more attempts than a route allows.
func TestHedgesKeepTheLimitOfAttempts(t *testing.T) {
	for where, r := range pausedReplies() {
		t.Run(where, func(t *testing.T) {
			t.Parallel()
			w := newSilentFirstEntry(t, r, &firstUpstream{}, resets, "u1", "u2", "u3")
			must.Eq(t, r.body, w.request(t, r.path, "r1").body)
			limit := 2
			if r.path == "/once/" || r.path == "/draft/" {
				limit = 1
			}
			must.LessEq(t, limit, totalRequests(w.upstreams))
		})
	}
}

// Guards against a hedge whose reply waits for the next check of the pausing upstream.
func TestHedgeAnswersAtOnce(t *testing.T) {
	var first firstUpstream
	answer := func(name string) func(int, string, net.Conn) bool {
		return func(n int, id string, conn net.Conn) bool {
			if first.claim(name) {
				return staysSilent(n, id, conn)
			}
			return serves(n, id, conn)
		}
	}
	w := newTestEntry(t, newUpstream(t, "u1", answer("u1")), newUpstream(t, "u2", answer("u2"))).withPlainTimeout()
	start := time.Now()
	must.Eq(t, "done", w.request(t, "/safe/", "r1").body)
	must.Less(t, plainTimeout*2/5+100*time.Millisecond, time.Since(start))
}

// Guards against losing a stream whose first upstream breaks off during a hedge: the hedge resumes it.
func TestHedgeGoesOnAfterItsFirstUpstreamFails(t *testing.T) {
	var first firstUpstream
	answer := func(name string) func(int, string, net.Conn) bool {
		return func(_ int, id string, conn net.Conn) bool {
			if first.claim(name) {
				writeString(conn, streamHead(id)+chunked(event(1)))
				time.Sleep(replyPause)
				return false
			}
			time.Sleep(replyPause)
			writeString(conn, streamHead(id)+chunked(event(2))+"0\r\n\r\n")
			return true
		}
	}
	w := newTestEntry(t, newUpstream(t, "u1", answer("u1")), newUpstream(t, "u2", answer("u2")))
	a := w.request(t, "/stream/", "r1")
	must.False(t, a.broken)
	must.Eq(t, event(1)+event(2), a.body)
	must.Eq(t, 2, totalRequests(w.upstreams))
}

// Guards against upstreams that work on after their caller has left, both the unresponsive one and the hedge.
func TestBothUpstreamsOfAHedgeSeeThatTheCallerLeft(t *testing.T) {
	closed := make(chan time.Time, 2)
	answer := func(n int, id string, conn net.Conn) bool {
		staysSilent(n, id, conn)
		closed <- time.Now()
		return false
	}
	w := newTestEntry(t, newUpstream(t, "u1", answer), newUpstream(t, "u2", answer)).withPlainTimeout()
	c := w.call(t, "/safe/", "r1", "", "order", "")
	time.Sleep(replyPause)
	left := time.Now()
	c.Close()
	for range 2 {
		must.Less(t, closeWithin, (<-closed).Sub(left))
	}
}

// Guards against slots that stay taken after a hedge, whichever reply is used.
func TestHedgesFreeTheirSlots(t *testing.T) {
	for where, r := range pausedReplies() {
		t.Run(where, func(t *testing.T) {
			t.Parallel()
			for _, other := range []func(int, string, net.Conn) bool{resets, staysSilent, serves} {
				w := newSilentFirstEntry(t, r, &firstUpstream{}, other, "u1", "u2")
				w.request(t, r.path, "r1")
				must.Eq(t, []int{0, 0}, []int{w.relayer.Chooser.Running("u1"), w.relayer.Chooser.Running("u2")})
			}
		})
	}
}

// newThreeAttemptEntry starts an entry whose routes allow three attempts.
func newThreeAttemptEntry(t *testing.T, us ...*upstream) *testEntry {
	w := newTestEntry(t, us...).withPlainTimeout()
	for _, r := range w.registrar.View().Table.Routes {
		r.MaxAttempts = 3
	}
	return w
}

// Guards against a request that waits for an unresponsive hedge, although one more attempt is allowed.
func TestSilentHedgeLeavesTheThirdAttempt(t *testing.T) {
	for name, first := range map[string]func(int, string, net.Conn) bool{
		"first stays silent": staysSilent,
		"first breaks off": func(int, string, net.Conn) bool {
			time.Sleep(replyPause)
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var one, two firstUpstream
			answer := func(name string) func(int, string, net.Conn) bool {
				return func(n int, id string, conn net.Conn) bool {
					switch {
					case one.claim(name):
						return first(n, id, conn)
					case two.claim(name):
						return staysSilent(n, id, conn)
					default:
						return serves(n, id, conn)
					}
				}
			}
			w := newThreeAttemptEntry(t, newUpstream(t, "u1", answer("u1")), newUpstream(t, "u2", answer("u2")), newUpstream(t, "u3", answer("u3")))
			a := w.request(t, "/safe/", "r1")
			must.Eq(t, http.StatusOK, a.status)
			must.Eq(t, "done", a.body)
		})
	}
}

// Guards against replacing an upstream's own failure by one of the entry's because the last attempt was a hedge.
func TestFailureOfTheLastAttemptIsPassedOn(t *testing.T) {
	for name, wait := range map[string]time.Duration{"hedge fails before the first upstream": 0, "hedge fails after it": time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var one firstUpstream
			answer := func(name string) func(int, string, net.Conn) bool {
				return func(n int, id string, conn net.Conn) bool {
					if one.claim(name) {
						time.Sleep(replyPause)
						return false
					}
					time.Sleep(wait)
					return failsWith("500 Internal Server Error")(n, id, conn)
				}
			}
			w := newTestEntry(t, newUpstream(t, "u1", answer("u1")), newUpstream(t, "u2", answer("u2"))).withPlainTimeout()
			must.Eq(t, http.StatusInternalServerError, w.request(t, "/safe/", "r1").status)
		})
	}
}

// Guards against a refusal which states that a request did not run, although a hedge may have run it.
func TestCancelledHedgeMayHaveRun(t *testing.T) {
	var one, two firstUpstream
	answer := func(name string) func(int, string, net.Conn) bool {
		return func(n int, id string, conn net.Conn) bool {
			switch {
			case one.claim(name):
				time.Sleep(plainTimeout * 9 / 10)
			case two.claim(name):
				return staysSilent(n, id, conn)
			}
			return refuses(n, id, conn)
		}
	}
	w := newThreeAttemptEntry(t, newUpstream(t, "u1", answer("u1")), newUpstream(t, "u2", answer("u2")), newUpstream(t, "u3", answer("u3")))
	must.Eq(t, http.StatusBadGateway, w.request(t, "/safe/", "r1").status)
	must.Eq(t, 3, totalRequests(w.upstreams))
}
