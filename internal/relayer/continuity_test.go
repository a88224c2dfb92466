package relayer_test

import (
	"io"
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
		writeString(conn, streamHead(id))
		for _, e := range events {
			writeString(conn, chunked(e))
		}
		writeString(conn, "0\r\n\r\n")
		return true
	}
}

// firstThen has the first of some upstreams answer in one way, and the others in another one.
func firstThen(t *testing.T, first, then func(int, string, net.Conn) bool) *testEntry {
	var o firstUpstream
	var us []*upstream
	for _, name := range []string{"u1", "u2"} {
		us = append(us, newUpstream(t, name, func(n int, id string, conn net.Conn) bool {
			if o.claim(name) {
				return first(n, id, conn)
			}
			return then(n, id, conn)
		}))
	}
	return newTestEntry(t, us...)
}

// askBehind asks for the rest of a stream of which the caller has some events.
func (w *testEntry) askBehind(t *testing.T, path string, last int) answer {
	return w.sendWithHeader(t, path, "order", http.Header{"Id": {"r1"}, "Key": {"k"}, "Last": {strconv.Itoa(last)}})
}

// wrongRests are streams that don't go on behind event 2.
func wrongRests() map[string][]string {
	return map[string][]string{
		"repeats the last event":     numbered(2, 3, 4),
		"restarts":                   numbered(1, 2, 3, 4),
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

			got = newTestEntry(t, newUpstream(t, "u", sends(wrong...))).askBehind(t, "/stream/1", 2)
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
				time.Sleep(replyPause)
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
				got := newTestEntry(t, newUpstream(t, "u", sends(rest...))).askBehind(t, path, 2)
				must.False(t, got.broken)
				must.Eq(t, http.StatusOK, got.status)
				must.Eq(t, strings.Join(rest, ""), got.body)
			})
		}
	}
}

// brokenSequences are streams in which an event is missing or comes twice, with what of them is sound.
func brokenSequences() map[string]struct {
	events []string
	sound  string
} {
	return map[string]struct {
		events []string
		sound  string
	}{
		"an event missing":          {numbered(1, 2, 4, 5), events(1, 3)},
		"an event twice":            {numbered(1, 2, 2, 3, 4, 5), events(1, 3)},
		"another run joined":        {numbered(1, 2, 1, 2, 3, 4, 5), events(1, 3)},
		"an earlier event":          {numbered(1, 2, 3, 2, 4, 5), events(1, 4)},
		"the last one missing":      {numbered(1, 2, 3, 5), events(1, 4)},
		"a number, then a word":     {append(numbered(1, 2), "id: x\ndata: e3\n\n"), events(1, 3)},
		"missing behind a comment":  {append(numbered(1, 2), ": hello\n\n", event(4), event(5)), events(1, 3) + ": hello\n\n"},
		"ids that are words, twice": {[]string{"id: a\ndata: e1\n\n", "id: b\ndata: e2\n\n", "id: b\ndata: e2\n\n"}, "id: a\ndata: e1\n\nid: b\ndata: e2\n\n"},
	}
}

// Guards against sound streams that are cut as their ids don't count by one.
func TestStreamWhoseIDsDoNotCountByOneIsPassedOn(t *testing.T) {
	for what, ids := range map[string][]int{"by fives": {5, 10, 15, 18}, "not evenly": {0, 3, 4, 9, 10, 17}} {
		for _, path := range []string{"/stream/1", "/draft/1"} {
			t.Run(what+path, func(t *testing.T) {
				t.Parallel()
				got := newTestEntry(t, newUpstream(t, "u", sends(numbered(ids...)...))).request(t, path, "r1")
				must.False(t, got.broken)
				must.Eq(t, strings.Join(numbered(ids...), ""), got.body)

				again := append(numbered(ids...), event(ids[len(ids)-1]))
				got = newTestEntry(t, newUpstream(t, "u", sends(again...))).request(t, path, "r1")
				must.True(t, got.broken)
				must.Eq(t, strings.Join(numbered(ids...), ""), got.body)
			})
		}
	}
}

// Guards against a stream that ends as complete though an event of it is missing or came twice.
func TestBrokenSequenceIsNotCompleted(t *testing.T) {
	for what, broken := range brokenSequences() {
		for _, path := range []string{"/stream/1", "/draft/1"} {
			t.Run(what+path, func(t *testing.T) {
				t.Parallel()
				u := newUpstream(t, "u", sends(broken.events...))
				got := newTestEntry(t, u).request(t, path, "r1")
				must.True(t, got.broken)
				must.Eq(t, broken.sound, got.body)
				must.Len(t, 1, u.received())
			})
		}
	}
}

// Guards against a stream with a missing event that nobody goes on with though another upstream can.
func TestBrokenSequenceIsResumedBehindItsLastSoundEvent(t *testing.T) {
	for what, broken := range brokenSequences() {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			goOn := func(n int, id string, conn net.Conn) bool {
				return sends("id: c\ndata: e3\n\n")(n, id, conn)
			}
			rest := "id: c\ndata: e3\n\n"
			if last := strings.Count(broken.sound, "id: "); strings.Contains(broken.sound, "id: 1\n") {
				goOn, rest = sends(event(last+1)), event(last+1)
			}
			w := firstThen(t, sends(broken.events...), goOn)
			got := w.request(t, "/stream/1", "r1")
			must.False(t, got.broken)
			must.Eq(t, broken.sound+rest, got.body)
			must.Eq(t, 2, totalRequests(w.upstreams))
		})
	}
}

// Guards against the rest of a stream that ends as complete though an event of it is missing or came twice.
func TestBrokenSequenceOfAMovedStreamIsNotCompleted(t *testing.T) {
	for what, rest := range map[string][]string{
		"missing": numbered(2, 4), "twice": numbered(2, 2, 3), "another run joined": numbered(2, 1, 2, 3),
	} {
		t.Run(what, func(t *testing.T) {
			cutBehindOne := func(_ int, id string, conn net.Conn) bool {
				writeString(conn, streamHead(id)+chunked(event(1)))
				return false
			}
			got := firstThen(t, cutBehindOne, sends(rest...)).request(t, "/stream/1", "r1")
			must.True(t, got.broken)
			must.Eq(t, events(1, 3), got.body)
		})
	}
}

// headed has an upstream answer with a stream that has some more lines in its header, and end it in some way.
func headed(lines string, events []string, ending string, keep bool) func(int, string, net.Conn) bool {
	return func(_ int, id string, conn net.Conn) bool {
		head := "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSeal: x\r\n" + lines + "Transfer-Encoding: chunked\r\n\r\n"
		writeString(conn, head)
		for _, e := range events {
			writeString(conn, chunked(e))
		}
		writeString(conn, ending)
		return keep
	}
}

const (
	eventStream = "Content-Type: text/event-stream\r\n"
	lastChunk   = "0\r\n\r\n"
)

// continued is a stream that breaks off at one upstream and that another one goes on with.
type continued struct {
	// begins and goesOn are lines of both headers, had and rest both lists of events.
	begins, goesOn string
	had, rest      []string
	// fits tells that the rest may follow.
	fits bool
}

func (c continued) check(t *testing.T) {
	t.Parallel()
	w := firstThen(t, headed(c.begins, c.had, "", false), headed(c.goesOn, c.rest, lastChunk, true))
	got := w.request(t, "/stream/1", "r1")
	want := strings.Join(c.had, "")
	if c.fits {
		want += strings.Join(c.rest, "")
	}
	must.Eq(t, want, got.body)
	must.Eq(t, !c.fits, got.broken)
}

// Guards against a stream that goes on with other weights than those that wrote its last event.
func TestStreamGoesOnWithItsWeights(t *testing.T) {
	const first, second = eventStream + "Version: 1\r\n", eventStream + "Version: 2\r\n"
	changed := "version: 2\n" + event(2)
	for what, c := range map[string]continued{
		"same":                     {first, first, numbered(1), numbered(2, 3), true},
		"unknown":                  {first, eventStream, numbered(1), numbered(2, 3), true},
		"unknown before":           {eventStream, second, numbered(1), numbered(2, 3), true},
		"others":                   {first, second, numbered(1), numbered(2, 3), false},
		"others from its event on": {first, first, numbered(1), []string{changed, event(3)}, false},
		"changed before":           {first, second, []string{event(1), changed}, numbered(3), true},
		"changed back":             {first, first, []string{event(1), changed}, numbered(3), false},
		"changed within it":        {first, first, numbered(1), []string{event(2), "version: 2\n" + event(3)}, true},
	} {
		t.Run(what, c.check)
	}
}

// Guards against a stream that is continued by something else than events.
func TestStreamGoesOnAsAStream(t *testing.T) {
	for what, c := range map[string]continued{
		"text":                 {eventStream, "Content-Type: text/plain\r\n", numbered(1), []string{"out of memory\n\n"}, false},
		"JSON":                 {eventStream, "Content-Type: application/json\r\n", numbered(1), []string{"{}\n\n"}, false},
		"no type":              {eventStream, "", numbered(1), []string{"out of memory\n\n"}, false},
		"with a character set": {eventStream, "Content-Type: Text/Event-Stream; charset=utf-8\r\n", numbered(1), numbered(2), true},
	} {
		t.Run(what, c.check)
	}
}

// Guards against events that come twice, as the upstream that goes on can't know which one was the last.
func TestStreamIsNotResumedBehindAnEventWithoutID(t *testing.T) {
	for what, c := range map[string]continued{
		"none has one":       {eventStream, eventStream, []string{"data: e1\n\n"}, []string{"data: e1\n\n", "data: e2\n\n"}, false},
		"the last has none":  {eventStream, eventStream, []string{event(1), "data: e2\n\n"}, []string{"id: 2\ndata: e2\n\n"}, false},
		"the last has one":   {eventStream, eventStream, []string{event(1), "data: e2\n\n", event(2)}, numbered(3), true},
		"only a comment out": {eventStream, eventStream, []string{": hello\n\n"}, numbered(1, 2), true},
	} {
		t.Run(what, c.check)
	}
}

// Guards against a hedge that sends events again which the silent upstream has sent without ids.
func TestStreamIsNotHedgedBehindAnEventWithoutID(t *testing.T) {
	pauses := func(_ int, id string, conn net.Conn) bool {
		writeString(conn, streamHead(id)+chunked("data: e1\n\n"))
		time.Sleep(replyPause)
		writeString(conn, chunked("data: e2\n\n")+lastChunk)
		return true
	}
	w := firstThen(t, pauses, sends("data: e1\n\n", "data: e2\n\n"))
	got := w.request(t, "/stream/1", "r1")
	must.False(t, got.broken)
	must.Eq(t, "data: e1\n\ndata: e2\n\n", got.body)
	must.Eq(t, 1, totalRequests(w.upstreams))
}

// Guards against streams of another status than 200 that aren't looked at, or are held back until they end.
func TestStreamOfAnySuccessIsAStream(t *testing.T) {
	for _, status := range []string{"201 Created", "202 Accepted", "206 Partial Content"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			u := newUpstream(t, "u", func(_ int, id string, conn net.Conn) bool {
				writeString(conn, "HTTP/1.1 "+status+"\r\nId: "+id+"\r\nSeal: x\r\n"+eventStream+"Transfer-Encoding: chunked\r\n\r\n"+chunked(event(1)))
				<-release
				writeString(conn, chunked(event(2))+chunked(event(4))+lastChunk)
				return true
			})
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, newTestEntry(t, u).URL+"/draft/1", nil)
			must.NoError(t, err)
			r.Header = http.Header{"Id": {"r1"}, "Key": {"k"}}
			timer := time.AfterFunc(replyPause, func() { close(release) })
			res, err := http.DefaultClient.Do(r)
			must.NoError(t, err)
			defer res.Body.Close()
			first := make([]byte, len(event(1)))
			_, err = io.ReadFull(res.Body, first)
			must.NoError(t, err)
			must.True(t, timer.Stop(), must.Sprint("held back"))
			close(release)
			_, err = io.ReadAll(res.Body)
			must.Error(t, err)
		})
	}
}

// Guards against other successes on such routes that are refused as cut streams.
func TestSuccessThatIsNoStreamIsPassedOn(t *testing.T) {
	u := newUpstream(t, "u", func(_ int, id string, conn net.Conn) bool {
		writeString(conn, "HTTP/1.1 202 Accepted\r\nId: "+id+"\r\nSeal: x\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")
		return true
	})
	got := newTestEntry(t, u).request(t, "/draft/1", "r1")
	must.Eq(t, http.StatusAccepted, got.status)
	must.Eq(t, "{}", got.body)
}

// Guards against a reply that ends, after a pause, while a hedge is under way, and is cut or gets the hedge's events
// as well.
func TestStreamThatEndsBesideItsHedgeIsComplete(t *testing.T) {
	hedged := make(chan struct{})
	pauses := func(_ int, id string, conn net.Conn) bool {
		writeString(conn, streamHead(id)+chunked(event(1)))
		<-hedged
		writeString(conn, lastChunk)
		return true
	}
	slow := func(n int, id string, conn net.Conn) bool {
		close(hedged)
		time.Sleep(replyPause)
		return sends(numbered(2, 3)...)(n, id, conn)
	}
	got := firstThen(t, pauses, slow).request(t, "/stream/1", "r1")
	must.False(t, got.broken)
	must.Eq(t, event(1), got.body)
}
