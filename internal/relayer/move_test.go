package relayer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
)

// unevenEngines are engines of which the first to get a stream is slow.
type unevenEngines struct {
	*testEntry
	slow firstUpstream
	// abandoned is closed when the slow engine's reply is given up.
	abandoned chan struct{}
}

// movingEvents is the number of events in a stream of unevenEngines.
const movingEvents = 50

func newUnevenEngines(t *testing.T) *unevenEngines {
	u := &unevenEngines{abandoned: make(chan struct{})}
	u.testEntry = newEngineWorld(t, u.answer, openLedger(12), openLedger(12)).resumable(true)
	u.relayer.RecordPace(&relayer.Placement{Upstream: u.registrar.View().Upstreams[0]}, 1)
	return u
}

// Guards against predictions for services that don't need them: all their requests have one
// priority, and no upstream has stated a pace.
func TestStreamsStayWhereNoUpstreamStatesAPace(t *testing.T) {
	u := &unevenEngines{abandoned: make(chan struct{})}
	u.testEntry = newEngineWorld(t, u.answer, openLedger(12), openLedger(12)).resumable(true)
	must.True(t, u.ask(t).broken)
	must.Eq(t, 0, u.moves())
}

// answer sends the events after the one that the request names, 60 ms apart at the slow engine.
func (u *unevenEngines) answer(n int, id string, conn net.Conn) bool {
	ip := netip.MustParseAddrPort(conn.LocalAddr().String()).Addr()
	writeString(conn, streamHead(id))
	if !u.slow.claim(ip.String()) {
		last, _ := strconv.Atoi(u.upstreams[ip.As4()[3]-1].header(n).Get("Last"))
		for i := last + 1; i <= movingEvents; i++ {
			writeString(conn, chunked(event(i)))
		}
		writeString(conn, "0\r\n\r\n")
		return true
	}
	for i := 1; i <= movingEvents; i++ {
		if _, err := conn.Write([]byte(chunked(event(i)))); err != nil {
			close(u.abandoned)
			return true
		}
		time.Sleep(60 * time.Millisecond)
	}
	writeString(conn, "0\r\n\r\n")
	return true
}

// ask requests an answer of movingEvents, which takes twice the caller's time limit at the slow
// engine.
func (u *unevenEngines) ask(t *testing.T) answer {
	return u.sendWithHeader(t, "/draft/", "order", http.Header{"Id": {"r1"}, "Patience": {"1500"}, "Hint": {"200"}, "Answer": {"400"}})
}

func (u *unevenEngines) moves() int64 {
	return metrics.GetOrRegisterCounter("moves", u.metrics).Count()
}

// Guards against a stream that is cut at a slow engine while another one could end it, against
// events that are lost or duplicated in the move, and against counting the move as a failure of the
// slow engine.
func TestStreamThatWouldEndTooLateMoves(t *testing.T) {
	u := newUnevenEngines(t)
	a := u.ask(t)
	must.Eq(t, http.StatusOK, a.status)
	must.False(t, a.broken)
	var whole strings.Builder
	for i := 1; i <= movingEvents; i++ {
		whole.WriteString(event(i))
	}
	must.Eq(t, whole.String(), a.body)
	must.Eq(t, 1, u.moves())
	<-u.abandoned
	for i := range 2 {
		id := fmt.Sprintf("engine-%d", i)
		must.SliceLen(t, 1, u.upstreams[i].received())
		must.False(t, u.relayer.Chooser.Avoided(id))
		must.Eq(t, 0, u.relayer.Chooser.Running(id))
	}
}

// Guards against moves that the route doesn't allow, or that pause the stream for longer than its
// objective.
func TestStreamThatMayNotMoveStays(t *testing.T) {
	for name, change := range map[string]func(*unevenEngines){
		"not resumable":     func(u *unevenEngines) { u.resumable(false) },
		"no attempt left":   func(u *unevenEngines) { u.registrar.View().Table.Routes[0].MaxAttempts = 1 },
		"a pause of 50 ms":  func(u *unevenEngines) { u.registrar.View().Table.Routes[0].PauseObjective = 50 * time.Millisecond },
		"length not stated": func(u *unevenEngines) {},
		"no other is quicker": func(u *unevenEngines) {
			u.relayer.Placer.Reach = func(netip.AddrPort) relayer.Agent { return slowAgent{} }
		},
	} {
		t.Run(name, func(t *testing.T) {
			u := newUnevenEngines(t)
			change(u)
			h := http.Header{"Id": {"r1"}, "Patience": {"1500"}, "Hint": {"200"}, "Answer": {"400"}}
			if name == "length not stated" {
				h.Del("Hint")
			}
			must.True(t, u.sendWithHeader(t, "/draft/", "order", h).broken)
			must.Eq(t, 0, u.moves())
			must.Eq(t, 1, len(u.upstreams[0].received())+len(u.upstreams[1].received()))
			must.Eq(t, 0, u.relayer.Chooser.Running("engine-0")+u.relayer.Chooser.Running("engine-1"))
		})
	}
}

// slowAgent grants slots at an engine at which a stream takes a minute.
type slowAgent struct{}

func (slowAgent) Reserve(context.Context, messenger.Reservation) (messenger.Decision, error) {
	return messenger.Decision{Granted: true, Version: 1, Slots: 12, DurationMS: time.Minute.Milliseconds()}, nil
}

func (slowAgent) SendProgress(messenger.Progress) {}

// Guards against streams that are started, and agents that are asked, although the shortest likely
// answer exceeds the caller's time limit.
func TestStreamThatCannotEndInTimeIsNotStarted(t *testing.T) {
	u := newUnevenEngines(t)
	asked := 0
	u.relayer.Placer.Reach = func(netip.AddrPort) relayer.Agent {
		asked++
		return slowAgent{}
	}
	h := http.Header{"Id": {"r1"}, "Patience": {"1500"}, "Hint": {"4000"}, "Answer": {"8000"}}
	a := u.sendWithHeader(t, "/draft/", "order", h)
	must.Eq(t, http.StatusServiceUnavailable, a.status)
	must.StrContains(t, a.body, "no engine could end it in time")
	must.Eq(t, 0, asked)
}
