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

// Guards against an incomplete reply, or one whose halves were generated separately,
// after the connection to the agent broke in the middle.
func TestCutStreamIsResumedWhereItBroke(t *testing.T) {
	env := newTestEnv(t)
	a := &fakeAgent{cutAfter: 3}
	env.addAgent(t, "vm-1", messenger.KindEngine, a, 4)
	s := &fakeSink{}
	must.NoError(t, env.Generate(t.Context(), newRequest(), s))
	must.Len(t, tokenCount+1, s.events)
	must.Len(t, 2, a.orders)
	must.Eq(t, 3, a.orders[1].From)
	must.Eq(t, a.orders[0].Stream, a.orders[1].Stream)
}

// Guards against a reply resumed on another engine start, with other tokens: the engine
// restarts while the connection is cut, and the entry has no report of it yet. The
// reply must end as incomplete.
func TestStreamIsNotResumedOnAnotherEngineStart(t *testing.T) {
	env := newTestEnv(t)
	a := &fakeAgent{cutAfter: 3, startAfterCut: "engine-2"}
	env.addAgent(t, "vm-1", messenger.KindEngine, a, 4)
	s := &fakeSink{}
	f := finalFailure(t, env.Generate(t.Context(), newRequest(), s))
	must.Eq(t, retrier.Ran, f.Outcome)
	must.StrContains(t, f.Message, "engine restarted")
	must.Len(t, 3, s.events)
}

// Guards against a reply without its last events that ends as complete because its end mark arrived.
func TestStreamWithoutLastEventsIsIncomplete(t *testing.T) {
	for _, cut := range []int{0, 1} {
		env := newTestEnv(t)
		env.addAgent(t, "vm-1", messenger.KindEngine, &fakeAgent{endAt: 2, cutAfter: cut}, 4)
		s := &fakeSink{}
		f := finalFailure(t, env.Generate(t.Context(), newRequest(), s))
		must.Eq(t, retrier.Ran, f.Outcome)
		must.StrContains(t, f.Message, "events were lost")
		must.Len(t, 2, s.events)
	}
}

// Guards against a reply from mixed weights: an engine switches to other weights
// between two tokens.
func TestMixedWeightsEndTheReply(t *testing.T) {
	env := newTestEnv(t)
	env.addAgent(t, "vm-1", messenger.KindEngine, &fakeAgent{mixAt: 2}, 4)
	s := &fakeSink{}
	f := finalFailure(t, env.Generate(t.Context(), newRequest(), s))
	must.Eq(t, retrier.Ran, f.Outcome)
	must.StrContains(t, f.Message, "weights changed")
	must.Len(t, 2, s.events)
}

// Guards against an engine that keeps generating, and keeps its slot from waiting
// requests, after the caller left.
func TestCallerLeavingCancelsStream(t *testing.T) {
	env := newTestEnv(t)
	a := &fakeAgent{}
	env.addAgent(t, "vm-1", messenger.KindEngine, a, 4)
	_ = finalFailure(t, env.Generate(t.Context(), newRequest(), &fakeSink{leaveAt: 2}))
	must.Eq(t, []string{a.orders[0].Stream}, a.cancelled)
}

// An entry is killed in the middle of a reply, and its caller resumes through another
// entry with the token that it received at the start.
func TestCallerResumesThroughAnotherEntry(t *testing.T) {
	env := newTestEnv(t)
	a := &fakeAgent{}
	env.addAgent(t, "vm-1", messenger.KindEngine, a, 4)
	first := &fakeSink{}
	must.NoError(t, env.Generate(t.Context(), newRequest(), first))

	other := newTestEnv(t)
	other.addAgent(t, "vm-1", messenger.KindEngine, a, 4)
	g := newRequest()
	g.Resume, g.From = first.resume, 4
	remaining := &fakeSink{}
	must.NoError(t, other.Generate(t.Context(), g, remaining))
	must.Len(t, tokenCount-4+1, remaining.events)
	must.Eq(t, 4, remaining.events[0].Index)
}

// Guards against a reply that stalls until the caller's deadline because the link to
// the agent stalled without breaking.
func TestStalledStreamIsResumed(t *testing.T) {
	env := newTestEnv(t)
	a := &fakeAgent{stallAt: 2}
	env.addAgent(t, "vm-1", messenger.KindEngine, a, 4)
	s := &fakeSink{}
	must.NoError(t, env.Generate(t.Context(), newRequest(), s))
	must.Len(t, tokenCount+1, s.events)
	must.Eq(t, 2, a.orders[1].From)
}

// Guards against "unknown" for a request that has not run, which keeps its caller from
// a retry: a replica was full when the request came, and then all are gone.
func TestRefusalAfterAFullReplicaIsNotRun(t *testing.T) {
	env := newTestEnv(t)
	a := &fakeAgent{refuse: &forwarder.NotRunError{Reason: "full", Busy: true}}
	env.addAgent(t, "vm-1", messenger.KindEngine, a, 4)
	a.onRefuse = func() { env.Router.Remove("vm-1") }
	f := finalFailure(t, env.Generate(t.Context(), newRequest(), &fakeSink{}))
	must.Eq(t, retrier.NotRun, f.Outcome)
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	env := newTestEnv(t)
	env.addAgent(t, "vm-1", messenger.KindEngine, &fakeAgent{}, 4)
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
			g := newRequest()
			c.change(&g)
			f := finalFailure(t, env.Generate(t.Context(), g, &fakeSink{}))
			must.Eq(t, c.status, f.Status)
			must.Eq(t, retrier.NotRun, f.Outcome)
			must.Eq(t, 0, f.RetryAfter)
		})
	}
}
