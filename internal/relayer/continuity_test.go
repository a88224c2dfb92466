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

// numberedEvents returns events with the given ids.
func numberedEvents(ids ...int) []string {
	var all []string
	for _, id := range ids {
		all = append(all, event(id))
	}
	return all
}

// streamsEvents answers with a stream of events that its framing ends.
func streamsEvents(events ...string) func(int, string, net.Conn) bool {
	return func(_ int, id string, conn net.Conn) bool {
		writeString(conn, streamHead(id))
		for _, e := range events {
			writeString(conn, chunked(e))
		}
		writeString(conn, "0\r\n\r\n")
		return true
	}
}

// firstThen lets the first of two upstreams that is called answer with first, the other with then.
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

// askAfter requests the rest of a stream of which the caller has the events up to last.
func (w *testEntry) askAfter(t *testing.T, path string, last int) answer {
	return w.sendWithHeader(t, path, "order", http.Header{"Id": {"r1"}, "Key": {"k"}, "Last": {strconv.Itoa(last)}})
}

// wrongContinuations returns streams that don't continue after event 2.
func wrongContinuations() map[string][]string {
	return map[string][]string{
		"repeats the last event":    numberedEvents(2, 3, 4),
		"restarts":                  numberedEvents(1, 2, 3, 4),
		"skips an event":            numberedEvents(4),
		"has no ids":                {"data: e3\n\n", "data: e4\n\n"},
		"skips after a comment":     {": hello\n\n", event(4)},
		"has no id after a comment": {": hello\n\n", "data: e3\n\n"},
	}
}

// Guards against a caller that resumes its stream and gets events twice, or not all of them, as a complete reply.
func TestResumedStreamContinuesAfterItsLastEvent(t *testing.T) {
	for what, wrong := range wrongContinuations() {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			right := numberedEvents(3, 4)
			got := firstThen(t, streamsEvents(wrong...), streamsEvents(right...)).askAfter(t, "/stream/1", 2)
			must.False(t, got.broken)
			must.Eq(t, http.StatusOK, got.status)
			must.Eq(t, events(3, 5), got.body)

			got = newTestEntry(t, newUpstream(t, "u", streamsEvents(wrong...))).askAfter(t, "/stream/1", 2)
			must.Eq(t, http.StatusBadGateway, got.status)
		})
	}
}

// Guards against a caller that resumes its stream and gets the wrong rest of it by a hedge.
func TestHedgeOfAResumedStreamContinuesAfterItsLastEvent(t *testing.T) {
	for what, wrong := range wrongContinuations() {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			slow := func(n int, id string, conn net.Conn) bool {
				time.Sleep(replyPause)
				return streamsEvents(numberedEvents(3, 4)...)(n, id, conn)
			}
			got := firstThen(t, slow, streamsEvents(wrong...)).askAfter(t, "/stream/1", 2)
			must.False(t, got.broken)
			must.Eq(t, events(3, 5), got.body)
		})
	}
}

// Guards against valid rests of a stream that are refused.
func TestValidRestOfAStreamIsPassedOn(t *testing.T) {
	for what, rest := range map[string][]string{
		"events":              numberedEvents(3, 4),
		"none":                nil,
		"comment before them": {": hello\n\n", event(3)},
		"no id after them":    {event(3), "data: end\n\n"},
	} {
		for _, path := range []string{"/stream/1", "/draft/1"} {
			t.Run(what+path, func(t *testing.T) {
				t.Parallel()
				got := newTestEntry(t, newUpstream(t, "u", streamsEvents(rest...))).askAfter(t, path, 2)
				must.False(t, got.broken)
				must.Eq(t, http.StatusOK, got.status)
				must.Eq(t, strings.Join(rest, ""), got.body)
			})
		}
	}
}

// invalidSequences returns streams in which an event is missing or comes twice, with their valid part.
func invalidSequences() map[string]struct {
	events []string
	valid  string
} {
	return map[string]struct {
		events []string
		valid  string
	}{
		"an event missing":          {numberedEvents(1, 2, 4, 5), events(1, 3)},
		"an event twice":            {numberedEvents(1, 2, 2, 3, 4, 5), events(1, 3)},
		"another stream joined":     {numberedEvents(1, 2, 1, 2, 3, 4, 5), events(1, 3)},
		"an earlier event":          {numberedEvents(1, 2, 3, 2, 4, 5), events(1, 4)},
		"the last one missing":      {numberedEvents(1, 2, 3, 5), events(1, 4)},
		"a number, then a word":     {append(numberedEvents(1, 2), "id: x\ndata: e3\n\n"), events(1, 3)},
		"missing after a comment":   {append(numberedEvents(1, 2), ": hello\n\n", event(4), event(5)), events(1, 3) + ": hello\n\n"},
		"ids that are words, twice": {[]string{"id: a\ndata: e1\n\n", "id: b\ndata: e2\n\n", "id: b\ndata: e2\n\n"}, "id: a\ndata: e1\n\nid: b\ndata: e2\n\n"},
	}
}

// Guards against valid streams that are cut because their ids don't count by one.
func TestStreamWhoseIDsDoNotCountByOneIsPassedOn(t *testing.T) {
	for what, ids := range map[string][]int{"by fives": {5, 10, 15, 18}, "not evenly": {0, 3, 4, 9, 10, 17}} {
		for _, path := range []string{"/stream/1", "/draft/1"} {
			t.Run(what+path, func(t *testing.T) {
				t.Parallel()
				got := newTestEntry(t, newUpstream(t, "u", streamsEvents(numberedEvents(ids...)...))).request(t, path, "r1")
				must.False(t, got.broken)
				must.Eq(t, strings.Join(numberedEvents(ids...), ""), got.body)

				again := append(numberedEvents(ids...), event(ids[len(ids)-1]))
				got = newTestEntry(t, newUpstream(t, "u", streamsEvents(again...))).request(t, path, "r1")
				must.True(t, got.broken)
				must.Eq(t, strings.Join(numberedEvents(ids...), ""), got.body)
			})
		}
	}
}

// Guards against a stream that ends as complete though an event of it is missing or came twice.
func TestInvalidSequenceIsNotCompleted(t *testing.T) {
	for what, broken := range invalidSequences() {
		for _, path := range []string{"/stream/1", "/draft/1"} {
			t.Run(what+path, func(t *testing.T) {
				t.Parallel()
				u := newUpstream(t, "u", streamsEvents(broken.events...))
				got := newTestEntry(t, u).request(t, path, "r1")
				must.True(t, got.broken)
				must.Eq(t, broken.valid, got.body)
				must.Len(t, 1, u.received())
			})
		}
	}
}

// Guards against a stream with a missing event that is not resumed though another upstream can.
func TestInvalidSequenceIsResumedAfterItsLastValidEvent(t *testing.T) {
	for what, broken := range invalidSequences() {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			resume := func(n int, id string, conn net.Conn) bool {
				return streamsEvents("id: c\ndata: e3\n\n")(n, id, conn)
			}
			rest := "id: c\ndata: e3\n\n"
			if last := strings.Count(broken.valid, "id: "); strings.Contains(broken.valid, "id: 1\n") {
				resume, rest = streamsEvents(event(last+1)), event(last+1)
			}
			w := firstThen(t, streamsEvents(broken.events...), resume)
			got := w.request(t, "/stream/1", "r1")
			must.False(t, got.broken)
			must.Eq(t, broken.valid+rest, got.body)
			must.Eq(t, 2, totalRequests(w.upstreams))
		})
	}
}

// Guards against the rest of a stream that ends as complete though an event of it is missing or came twice.
func TestInvalidSequenceOfAMovedStreamIsNotCompleted(t *testing.T) {
	for what, rest := range map[string][]string{
		"missing": numberedEvents(2, 4), "twice": numberedEvents(2, 2, 3), "another stream joined": numberedEvents(2, 1, 2, 3),
	} {
		t.Run(what, func(t *testing.T) {
			cutAfterOne := func(_ int, id string, conn net.Conn) bool {
				writeString(conn, streamHead(id)+chunked(event(1)))
				return false
			}
			got := firstThen(t, cutAfterOne, streamsEvents(rest...)).request(t, "/stream/1", "r1")
			must.True(t, got.broken)
			must.Eq(t, events(1, 3), got.body)
		})
	}
}

// streamsWithHeader answers with a stream that has more header lines and ends as given.
func streamsWithHeader(lines string, events []string, ending string, keep bool) func(int, string, net.Conn) bool {
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
	eventStreamHeader = "Content-Type: text/event-stream\r\n"
	lastChunk         = "0\r\n\r\n"
)

// continuation is a stream that breaks off at one upstream and that another one resumes.
type continuation struct {
	// firstHeader and secondHeader are lines of both headers, first and rest both lists of events.
	firstHeader, secondHeader string
	first, rest               []string
	// accepted reports whether the rest may follow.
	accepted bool
}

func (c continuation) check(t *testing.T) {
	t.Parallel()
	w := firstThen(t, streamsWithHeader(c.firstHeader, c.first, "", false), streamsWithHeader(c.secondHeader, c.rest, lastChunk, true))
	got := w.request(t, "/stream/1", "r1")
	want := strings.Join(c.first, "")
	if c.accepted {
		want += strings.Join(c.rest, "")
	}
	must.Eq(t, want, got.body)
	must.Eq(t, !c.accepted, got.broken)
}

// Guards against a stream that continues with other weights than those that wrote its last event.
func TestStreamContinuesWithItsWeights(t *testing.T) {
	const first, second = eventStreamHeader + "Version: 1\r\n", eventStreamHeader + "Version: 2\r\n"
	changed := "version: 2\n" + event(2)
	for what, c := range map[string]continuation{
		"same":                  {first, first, numberedEvents(1), numberedEvents(2, 3), true},
		"unknown":               {first, eventStreamHeader, numberedEvents(1), numberedEvents(2, 3), true},
		"unknown before":        {eventStreamHeader, second, numberedEvents(1), numberedEvents(2, 3), true},
		"others":                {first, second, numberedEvents(1), numberedEvents(2, 3), false},
		"others from its event": {first, first, numberedEvents(1), []string{changed, event(3)}, false},
		"changed before":        {first, second, []string{event(1), changed}, numberedEvents(3), true},
		"changed back":          {first, first, []string{event(1), changed}, numberedEvents(3), false},
		"changed within it":     {first, first, numberedEvents(1), []string{event(2), "version: 2\n" + event(3)}, true},
	} {
		t.Run(what, c.check)
	}
}

// Guards against a stream that is continued by something else than events.
func TestStreamContinuesWithItsMediaType(t *testing.T) {
	for what, c := range map[string]continuation{
		"text":                 {eventStreamHeader, "Content-Type: text/plain\r\n", numberedEvents(1), []string{"out of memory\n\n"}, false},
		"JSON":                 {eventStreamHeader, "Content-Type: application/json\r\n", numberedEvents(1), []string{"{}\n\n"}, false},
		"no type":              {eventStreamHeader, "", numberedEvents(1), []string{"out of memory\n\n"}, false},
		"with a character set": {eventStreamHeader, "Content-Type: Text/Event-Stream; charset=utf-8\r\n", numberedEvents(1), numberedEvents(2), true},
	} {
		t.Run(what, c.check)
	}
}

// Guards against duplicate events: the upstream that resumes can't know which event was the last.
func TestStreamIsNotResumedAfterAnEventWithoutID(t *testing.T) {
	for what, c := range map[string]continuation{
		"none has one":        {eventStreamHeader, eventStreamHeader, []string{"data: e1\n\n"}, []string{"data: e1\n\n", "data: e2\n\n"}, false},
		"the last has none":   {eventStreamHeader, eventStreamHeader, []string{event(1), "data: e2\n\n"}, []string{"id: 2\ndata: e2\n\n"}, false},
		"the last has one":    {eventStreamHeader, eventStreamHeader, []string{event(1), "data: e2\n\n", event(2)}, numberedEvents(3), true},
		"only a comment sent": {eventStreamHeader, eventStreamHeader, []string{": hello\n\n"}, numberedEvents(1, 2), true},
	} {
		t.Run(what, c.check)
	}
}

// Guards against a hedge that repeats events which the silent upstream has sent without ids.
func TestStreamIsNotHedgedAfterAnEventWithoutID(t *testing.T) {
	pauses := func(_ int, id string, conn net.Conn) bool {
		writeString(conn, streamHead(id)+chunked("data: e1\n\n"))
		time.Sleep(replyPause)
		writeString(conn, chunked("data: e2\n\n")+lastChunk)
		return true
	}
	w := firstThen(t, pauses, streamsEvents("data: e1\n\n", "data: e2\n\n"))
	got := w.request(t, "/stream/1", "r1")
	must.False(t, got.broken)
	must.Eq(t, "data: e1\n\ndata: e2\n\n", got.body)
	must.Eq(t, 1, totalRequests(w.upstreams))
}

// Guards against streams with another status than 200 that aren't checked, or are held back until they end.
func TestEventStreamOfAnySuccessStatusIsAStream(t *testing.T) {
	for _, status := range []string{"201 Created", "202 Accepted", "206 Partial Content"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			u := newUpstream(t, "u", func(_ int, id string, conn net.Conn) bool {
				writeString(conn, "HTTP/1.1 "+status+"\r\nId: "+id+"\r\nSeal: x\r\n"+eventStreamHeader+"Transfer-Encoding: chunked\r\n\r\n"+chunked(event(1)))
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
			must.True(t, timer.Stop(), must.Sprint("the first event is held back"))
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

// Guards against a reply that ends, after a pause, beside its hedge, and is cut or gets the hedge's events as
// well.
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
		return streamsEvents(numberedEvents(2, 3)...)(n, id, conn)
	}
	got := firstThen(t, pauses, slow).request(t, "/stream/1", "r1")
	must.False(t, got.broken)
	must.Eq(t, event(1), got.body)
}
