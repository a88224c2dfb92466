package relayer_test

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// elsewhere is when callers of a leaving entry find another one.
const elsewhere = 40 * time.Millisecond

// shutdown has an entry leave that cuts its replies after a time; 0 for one that stays.
type shutdown struct{ left atomic.Int64 }

func (s *shutdown) CutIn() (time.Duration, bool) {
	left := time.Duration(s.left.Load())
	return left, left > 0
}

func (*shutdown) RetryAfter(string) time.Duration { return elsewhere }

// slowEngine makes an entry before an engine that takes 3 s for a hundred tokens, over twice as long as its figures say.
func slowEngine(t *testing.T) (*testEntry, *shutdown) {
	t.Helper()
	l := &scheduler.Ledger{Clock: clock.RealClock{}}
	l.Open(&matcher.Engine{Slots: 12, ReadPerSecond: 20000, Step: 20 * time.Millisecond, Chunk: 512, Stride: 4})
	w := engines(t, streams, l).unhurried()
	s := &shutdown{}
	w.relayer.Placer.Shutdown = s
	return w, s
}

// refusedAsItLeaves checks that an answer is a refusal which names when to come back, and that nothing ran.
func refusedAsItLeaves(t *testing.T, w *testEntry, a answer) {
	t.Helper()
	must.Eq(t, http.StatusServiceUnavailable, a.status)
	back, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	must.NoError(t, err)
	must.Between(t, elsewhere.Seconds(), back, 2*elsewhere.Seconds())
	must.SliceEmpty(t, w.upstreams[0].received())
}

// Guards against streams that a leaving entry takes and cuts at the end of its grace.
func TestStreamThatCannotEndBeforeItsEntryDoesIsRefused(t *testing.T) {
	for name, e := range map[string]struct {
		answer, hint string
		patience     string
		left         time.Duration
		refused      bool
	}{
		"entry stays":                     {answer: "100"},
		"too long":                        {answer: "100", left: 3 * time.Second, refused: true},
		"too long for any engine":         {answer: "1000", left: 3 * time.Second, refused: true},
		"ends in time":                    {answer: "100", left: 5 * time.Second},
		"longer than hinted":              {answer: "1000", hint: "60", left: 3 * time.Second, refused: true},
		"hinted, ends in time":            {answer: "1000", hint: "40", left: 5 * time.Second},
		"hinted, comes late":              {answer: "1000", hint: "40", left: 4900 * time.Millisecond, refused: true},
		"comes late, the longest fits":    {answer: "100", hint: "40", left: 4900 * time.Millisecond},
		"caller leaves before the entry":  {answer: "100", patience: "2000", left: 3 * time.Second},
		"caller leaves after the entry":   {answer: "100", patience: "4000", left: 3 * time.Second, refused: true},
		"size unknown, first event early": {left: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			w, s := slowEngine(t)
			s.left.Store(int64(e.left))
			a := w.sendWithHeader(t, "/draft/", "order", http.Header{"Id": {"r1"}, "Answer": {e.answer}, "Hint": {e.hint}, "Patience": {e.patience}})
			if e.refused {
				refusedAsItLeaves(t, w, a)
				return
			}
			must.Eq(t, http.StatusOK, a.status)
		})
	}
}

// Guards against streams that are placed before the signal to stop reaches their entry, sent after that, and cut.
func TestStreamThatIsNotSentYetAsItsEntryLeavesIsRefused(t *testing.T) {
	w, s := slowEngine(t)
	w.relayer.Pool.Opened = func() { s.left.Store(int64(3 * time.Second)) }
	refusedAsItLeaves(t, w, w.sendWithHeader(t, "/draft/", "order", http.Header{"Id": {"r1"}, "Answer": {"100"}}))
}

// Guards against plain requests that are refused by a leaving entry though nothing is known of their length.
func TestLeavingEntryServesPlainRequests(t *testing.T) {
	u := newUpstream(t, "desk", func(_ int, id string, conn net.Conn) bool {
		writeString(conn, sealedReply(id, "whole"))
		return true
	})
	w := newTestEntry(t, u)
	s := &shutdown{}
	s.left.Store(int64(time.Millisecond))
	w.relayer.Placer.Shutdown = s
	must.Eq(t, "whole", w.request(t, "/once/", "r1").body)
}
