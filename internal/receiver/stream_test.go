package receiver_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/forwarder"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/receiver"
)

// fakeAgent answers with the given events, reply or error.
type fakeAgent struct {
	events []forwarder.Event
	reply  *forwarder.Reply
	err    error
	order  forwarder.CallOrder
}

func (a *fakeAgent) Generate(_ context.Context, o forwarder.GenerateOrder, start func(string), emit func(forwarder.Event) error) error {
	if a.err != nil {
		return a.err
	}
	start("e")
	for _, e := range a.events[o.From:] {
		if err := emit(e); err != nil {
			return err
		}
	}
	return nil
}

func (a *fakeAgent) Call(_ context.Context, o forwarder.CallOrder, _ []byte) (*forwarder.Reply, error) {
	a.order = o
	return a.reply, a.err
}

func (*fakeAgent) Cancel(string) {}

func (*fakeAgent) State() messenger.AgentState { return messenger.AgentState{} }

func (*fakeAgent) Lookup(string) forwarder.KeyState { return forwarder.KeyUnknown }

func TestReplyIsServerSentEvents(t *testing.T) {
	w := newTestReceiver(t)
	w.addAgent(t, &fakeAgent{events: []forwarder.Event{
		{Token: "two", Version: "v1", Weights: "w"},
		{Index: 1, Token: "pickers", Version: "v1", Weights: "w"},
		{Done: true, Tokens: 2, Version: "v1", Weights: "w", Digest: "d"},
	}})
	res := w.send("POST", generatePath, validGenerate, nil)
	must.Eq(t, http.StatusOK, res.Code)
	must.Eq(t, "text/event-stream", res.Header().Get("Content-Type"))
	must.NotEq(t, "", res.Header().Get(receiver.HeaderResume))
	must.Eq(t, `id: 0
data: {"index":0,"token":"two","version":"v1","weights":"w"}

id: 1
data: {"index":1,"token":"pickers","version":"v1","weights":"w"}

id: 1
data: {"index":0,"version":"v1","weights":"w","done":true,"tokens":2,"digest":"d"}

`, res.Body.String())
}

// Guards against an incomplete reply that counts as complete: an engine crashes during
// the reply, after status 200 was sent, so the stream itself has to end with an error.
func TestInterruptedReplyEndsWithAnError(t *testing.T) {
	w := newTestReceiver(t)
	w.addAgent(t, &fakeAgent{events: []forwarder.Event{
		{Token: "two", Version: "v1", Weights: "w"},
		{Failure: &forwarder.Failure{Message: "engine is gone"}},
	}})
	body := w.send("POST", generatePath, validGenerate, nil).Body.String()
	must.StrContains(t, body, "id: 0\ndata: {\"error\":{\"outcome\":\"ran\"")
	must.StrNotContains(t, body, "done")
}

// Guards against reporting "not run" for a booking whose reply was lost between the
// service and the agent: the caller would book a second time.
func TestUnknownOutcomeIsReported(t *testing.T) {
	w := newTestReceiver(t)
	w.addAgent(t, &fakeAgent{err: &forwarder.UnknownError{Reason: "lost"}})
	res := w.send("POST", callPath, "", map[string]string{receiver.HeaderWorkspace: "farm"})
	must.Eq(t, "unknown", res.Header().Get(receiver.HeaderOutcome))
	must.Eq(t, "unknown", decodeProblem(t, res).Outcome)
}

func TestCallForwardsHeaderPathAndPriority(t *testing.T) {
	w := newTestReceiver(t)
	a := &fakeAgent{reply: &forwarder.Reply{
		Status: http.StatusCreated, Header: http.Header{"X-Slot": {"4"}}, Body: []byte("booked"), Replayed: true,
	}}
	w.addAgent(t, a)
	res := w.send("POST", callPath, "slot 4", map[string]string{
		receiver.HeaderWorkspace: "farm", "Booking": "b7", "Cookie": "secret", receiver.HeaderPriority: "3",
	})
	must.Eq(t, "booked", res.Body.String())
	must.Eq(t, http.StatusCreated, res.Code)
	must.Eq(t, "4", res.Header().Get("X-Slot"))
	must.Eq(t, "true", res.Header().Get(receiver.HeaderReplayed))
	must.Eq(t, map[string]string{"Booking": "b7"}, a.order.Header)
	must.Eq(t, "/book", a.order.Path)
	must.Eq(t, 3, a.order.Priority)
}
