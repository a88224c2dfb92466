package dispatcher_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/dispatcher"
	"github.com/oriolecroft/oriolecroft/internal/forwarder"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// The connection to the agent breaks in the middle of a reply. Without care the
// caller reads half a roster, or one whose halves were drawn separately.
func TestCutStreamIsResumedWhereItBroke(t *testing.T) {
	w := newWorld(t)
	a := &fakeAgent{cutAfter: 3}
	w.add(t, "vm-1", messenger.KindEngine, a, 4)
	s := &sink{}
	must.NoError(t, w.Generate(t.Context(), ask(), s))
	must.Len(t, tokens+1, s.events)
	must.Len(t, 2, a.orders)
	must.Eq(t, 3, a.orders[1].From)
	must.Eq(t, a.orders[0].Stream, a.orders[1].Stream)
}

// The agent's engine restarts while the connection is cut, and the entry has not
// heard of it yet. A resumed reply would go on with another draw; the caller must
// be told that it is not whole.
func TestStreamIsNotResumedOnAnotherEngineStart(t *testing.T) {
	w := newWorld(t)
	a := &fakeAgent{cutAfter: 3, startAfterCut: "engine-2"}
	w.add(t, "vm-1", messenger.KindEngine, a, 4)
	s := &sink{}
	f := failure(t, w.Generate(t.Context(), ask(), s))
	must.Eq(t, retrier.Ran, f.Outcome)
	must.StrContains(t, f.Message, "engine restarted")
	must.Len(t, 3, s.events)
}

// Guards against a reply without its last events that ends as complete, as the end mark itself has come.
func TestStreamThatLacksItsLastEventsIsNotWhole(t *testing.T) {
	for _, cut := range []int{0, 1} {
		w := newWorld(t)
		w.add(t, "vm-1", messenger.KindEngine, &fakeAgent{endAt: 2, cutAfter: cut}, 4)
		s := &sink{}
		f := failure(t, w.Generate(t.Context(), ask(), s))
		must.Eq(t, retrier.Ran, f.Outcome)
		must.StrContains(t, f.Message, "events were lost")
		must.Len(t, 2, s.events)
	}
}

// An engine is put to other weights between two tokens. The caller would read a
// reply of which nobody can say what made it.
func TestMixedWeightsEndTheReply(t *testing.T) {
	w := newWorld(t)
	w.add(t, "vm-1", messenger.KindEngine, &fakeAgent{mixAt: 2}, 4)
	s := &sink{}
	f := failure(t, w.Generate(t.Context(), ask(), s))
	must.Eq(t, retrier.Ran, f.Outcome)
	must.StrContains(t, f.Message, "weights changed")
	must.Len(t, 2, s.events)
}

// A caller closes its page. The engine would go on drafting for nobody and take
// the place of those who wait.
func TestAgentIsToldThatTheCallerLeft(t *testing.T) {
	w := newWorld(t)
	a := &fakeAgent{}
	w.add(t, "vm-1", messenger.KindEngine, a, 4)
	_ = failure(t, w.Generate(t.Context(), ask(), &sink{leaveAt: 2}))
	must.Eq(t, []string{a.orders[0].Stream}, a.left)
}

// An entry is killed in the middle of a reply, and its caller goes to another
// one with what it was given at the start.
func TestCallerReadsOnThroughAnotherEntry(t *testing.T) {
	w := newWorld(t)
	a := &fakeAgent{}
	w.add(t, "vm-1", messenger.KindEngine, a, 4)
	first := &sink{}
	must.NoError(t, w.Generate(t.Context(), ask(), first))

	other := newWorld(t)
	other.add(t, "vm-1", messenger.KindEngine, a, 4)
	g := ask()
	g.Resume, g.From = first.resume, 4
	rest := &sink{}
	must.NoError(t, other.Generate(t.Context(), g, rest))
	must.Len(t, tokens-4+1, rest.events)
	must.Eq(t, 4, rest.events[0].Index)
}

// The link to the agent stalls in the middle of a reply: nothing breaks and nothing
// comes. The caller would look at half a roster until its deadline.
func TestStalledStreamIsReadOn(t *testing.T) {
	w := newWorld(t)
	a := &fakeAgent{stallAt: 2}
	w.add(t, "vm-1", messenger.KindEngine, a, 4)
	s := &sink{}
	must.NoError(t, w.Generate(t.Context(), ask(), s))
	must.Len(t, tokens+1, s.events)
	must.Eq(t, 2, a.orders[1].From)
}

// A replica was full when the request came, and then all are gone. The caller must
// hear that it has not run; "unknown" would keep it from asking anew.
func TestRefusalAfterAFullReplicaIsNotRun(t *testing.T) {
	w := newWorld(t)
	a := &fakeAgent{refuse: &forwarder.NotRunError{Reason: "full", Busy: true}}
	w.add(t, "vm-1", messenger.KindEngine, a, 4)
	a.refused = func() { w.Router.Remove("vm-1") }
	f := failure(t, w.Generate(t.Context(), ask(), &sink{}))
	must.Eq(t, retrier.NotRun, f.Outcome)
}

func TestRequestsThatCanNeverSucceed(t *testing.T) {
	w := newWorld(t)
	w.add(t, "vm-1", messenger.KindEngine, &fakeAgent{}, 4)
	cases := []struct {
		name   string
		change func(*dispatcher.GenerateRequest)
		status int
	}{
		{"unknown workspace", func(g *dispatcher.GenerateRequest) { g.Workspace = "nobody" }, http.StatusForbidden},
		{"workspace without the model", func(g *dispatcher.GenerateRequest) { g.Workspace = "limited" }, http.StatusForbidden},
		{"unknown model", func(g *dispatcher.GenerateRequest) { g.Model = "none" }, http.StatusNotFound},
		{"no prompt", func(g *dispatcher.GenerateRequest) { g.Prompt = "" }, http.StatusBadRequest},
		{"deadline that overflows", func(g *dispatcher.GenerateRequest) { g.DeadlineMS = 1 << 62 }, http.StatusBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := ask()
			c.change(&g)
			f := failure(t, w.Generate(t.Context(), g, &sink{}))
			must.Eq(t, c.status, f.Status)
			must.Eq(t, retrier.NotRun, f.Outcome)
			must.Eq(t, 0, f.RetryAfter)
		})
	}
}
