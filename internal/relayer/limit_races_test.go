package relayer_test

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"k8s.io/utils/clock"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/matcher"
)

// Guards against partial answers, leaked slots and leaked goroutines when the first event arrives
// just as the request is given up for its caller.
func TestFirstEventAtTheTimeLimitIsWholeOrNothing(t *testing.T) {
	w := newTestEntry(t, newUpstream(t, "u1", func(n int, id string, conn net.Conn) bool {
		time.Sleep(96*time.Millisecond + time.Duration(n%40)*200*time.Microsecond)
		writeString(conn, streamHead(id)+chunked(event(1))+chunked(event(2))+"0\r\n\r\n")
		return true
	})).resumable(false)
	for _, r := range w.registrar.View().Table.Routes {
		r.EventTimeout = 300 * time.Millisecond
	}
	before := runtime.NumGoroutine()
	var mu sync.Mutex
	seen := map[int]int{}
	var refused []string
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			for j := range 40 {
				id := fmt.Sprintf("r%d-%d", i, j)
				a := w.request(t, "/stream/", id)
				mu.Lock()
				seen[a.status]++
				if a.broken || a.status == 200 && a.body != event(1)+event(2) {
					seen[-1]++
				}
				if a.status == 503 {
					refused = append(refused, id)
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	time.Sleep(200 * time.Millisecond)
	for _, id := range w.upstreams[0].received() {
		must.SliceNotContains(t, refused, id, must.Sprint("refused but run"))
	}
	t.Logf("answers by status: %v", seen)
	must.Eq(t, 0, seen[-1])
	must.Eq(t, 0, w.relayer.Chooser.Running("u1"))
	w.CloseClientConnections()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return runtime.NumGoroutine() < before+40 }),
		wait.Timeout(5*time.Second), wait.Gap(50*time.Millisecond)), must.Sprintf("goroutines %d, before %d", runtime.NumGoroutine(), before))
}

// Guards against closing a kept connection that already serves another request, when the weights of
// its previous request expire.
func TestExpiredWeightsCloseNoConnectionOfAnotherRequest(t *testing.T) {
	var mu sync.Mutex
	last := map[string]string{}
	w := entryWithOldEngines(t, clock.RealClock{}, 1, func(_ int, id string, conn net.Conn) bool {
		mu.Lock()
		last[conn.RemoteAddr().String()] = id
		mu.Unlock()
		writeString(conn, sealedReply(id, "done"))
		return true
	}, directAddress)
	w.registrar.View().Table.Routes[0].Kind = matcher.Idempotent
	w.relayer.Placer.WeightsBound = 1500 * time.Millisecond
	announce(w.registrar, 2)
	ended := time.Now().Add(1700 * time.Millisecond)
	var group sync.WaitGroup
	broken := 0
	other := map[int]int{}
	for i := range 4 {
		group.Go(func() {
			for j := 0; time.Now().Before(ended); j++ {
				a := w.request(t, "/draft/", "r"+string(rune('a'+i))+time.Now().String())
				mu.Lock()
				other[a.status]++
				if a.broken {
					broken++
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	t.Logf("by status: %v, broken %d", other, broken)
	must.Eq(t, 0, broken)
	must.Eq(t, 0, other[502]+other[504])
}

// Guards against watches that outlive their requests, for each way in which a request ends.
func TestNoWatchOutlivesItsRequest(t *testing.T) {
	w := entryWithOldEngines(t, clock.RealClock{}, 1, func(n int, id string, conn net.Conn) bool {
		switch n % 6 {
		case 0: // reset before the header
			return false
		case 1: // cut in a long plain reply
			writeString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSeal: x\r\nContent-Length: 900000\r\n\r\n"+string(make([]byte, 400<<10)))
			return false
		case 2: // cut in a stream
			writeString(conn, streamHead(id)+chunked(event(1)))
			return false
		case 3: // no events
			writeString(conn, streamHead(id)+"0\r\n\r\n")
			return true
		case 4: // refused
			writeString(conn, "HTTP/1.1 503 Busy\r\nId: "+id+"\r\nNot-Run: x\r\nContent-Length: 0\r\n\r\n")
			return true
		default:
			writeString(conn, "HTTP/1.1 500 Bad\r\nId: "+id+"\r\nSeal: x\r\nContent-Length: 0\r\n\r\n")
			return true
		}
	}, directAddress)
	waiting := newWaitsForClose(t)
	stays := entryWithOldEngines(t, clock.RealClock{}, 1, waiting.answer, directAddress)
	go stays.request(t, "/draft/", "stays")
	<-waiting.arrived
	watches := func() int {
		buf := make([]byte, 4<<20)
		stacks := string(buf[:runtime.Stack(buf, true)])
		n := 0
		for rest := stacks; ; n++ {
			_, after, ok := cutAfter(rest, "beginWatch).run")
			if !ok {
				return n
			}
			rest = after
		}
	}
	must.Eq(t, 1, watches(), must.Sprint("the watch of the waiting request"))
	announce(stays.registrar, 2)
	<-waiting.closed
	for _, kind := range []matcher.Kind{matcher.Streaming, matcher.Idempotent, matcher.NonIdempotent} {
		w.registrar.View().Table.Routes[0].Kind = kind
		for range 12 {
			w.request(t, "/draft/", "r"+time.Now().String())
		}
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return watches() == 0 }),
		wait.Timeout(3*time.Second), wait.Gap(50*time.Millisecond)))
	must.Eq(t, 0, w.relayer.Chooser.Running("engine-0"))
}

func cutAfter(s, sep string) (string, string, bool) {
	for i := 0; i+len(sep) <= len(s); i++ {
		if s[i:i+len(sep)] == sep {
			return s[:i], s[i+len(sep):], true
		}
	}
	return s, "", false
}

// Guards against using a slot without a grant on weights whose expiry is unknown to a restarted
// entry.
func TestStartedEntryUsesNoUngrantedSlotOnOldWeights(t *testing.T) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	p, table := newPlacer(c, 0, 1)
	announce(p.Registrar, 2)
	p.Registrar = restartedRegistrar(p.Registrar)
	must.False(t, placed(p, c, table))
}

// Guards against answers to given up requests that close their caller's connection: an unresponsive
// upstream is no reason to close it.
func TestGivenUpRequestKeepsItsCallersConnection(t *testing.T) {
	f := suspendAt(beforeHeader)
	w := newTestEntry(t, newUpstream(t, "u1", f.answer("u1"))).withEventTimeout()
	c := w.call(t, "/stream/", "r1", "", "order", "")
	res, err := c.waitAnswer(callerGap)
	must.NoError(t, err)
	_, err = io.Copy(io.Discard, res.Body)
	must.NoError(t, err)
	res.Body.Close()
	must.False(t, res.Close)
	c.send(t, "/stream/", "r2", "", "order", "")
	res, err = c.waitAnswer(stepTimeout)
	must.NoError(t, err)
	res.Body.Close()
}
