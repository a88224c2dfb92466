package dispatcher_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/oriolecroft/oriolecroft/internal/deduplicator"
	"github.com/oriolecroft/oriolecroft/internal/forwarder"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// Guards against a second booking: a booking ran, its answer was lost, and the caller
// repeats it through an entry that refuses for reasons of its own. After "not run"
// the caller would book again.
func TestEntryRefusalOfRepeatedBookingIsUnknown(t *testing.T) {
	env := newTestEnv(t)
	env.addAgent(t, "vm-1", messenger.KindService, &fakeAgent{}, 4)
	k, err := env.MintKey("farm", "bookings")
	must.NoError(t, err)
	env.Concurrent = 0
	_, err = env.Call(t.Context(), newBooking(k.String(), false))
	must.Eq(t, retrier.Unknown, finalFailure(t, err).Outcome)
	_, err = env.Call(t.Context(), newBooking(k.String(), true))
	must.Eq(t, retrier.NotRun, finalFailure(t, err).Outcome)
}

// Guards against a second booking by another agent after the agent of the key was
// killed, since the first may have run it.
func TestBookingDoesNotMoveToAnotherAgent(t *testing.T) {
	env := newTestEnv(t)
	owner := &fakeAgent{}
	h := env.addAgent(t, "vm-1", messenger.KindService, owner, 4)
	k, err := env.MintKey("farm", "bookings")
	must.NoError(t, err)
	other := &fakeAgent{}
	env.addAgent(t, "vm-2", messenger.KindService, other, 4)
	h.Close()
	_, err = env.Call(t.Context(), newBooking(k.String(), false))
	must.Eq(t, retrier.Unknown, finalFailure(t, err).Outcome)
	must.Len(t, 0, other.calls)
}

// The answer to a booking is lost on the way from the agent. The entry must retry at
// the same agent with the same key, which returns the answer and runs nothing.
func TestLostAnswerIsRetriedWithSameKey(t *testing.T) {
	env := newTestEnv(t)
	a := &fakeAgent{}
	a.call = func(forwarder.CallOrder) (*forwarder.Reply, error) {
		if len(a.calls) == 1 {
			panic(http.ErrAbortHandler)
		}
		return &forwarder.Reply{Status: 200, Body: []byte("ok"), Replayed: true}, nil
	}
	env.addAgent(t, "vm-1", messenger.KindService, a, 4)
	env.addAgent(t, "vm-2", messenger.KindService, &fakeAgent{call: a.call}, 4)
	reply, err := env.Call(t.Context(), newBooking("", false))
	must.NoError(t, err)
	must.True(t, reply.Replayed)
	must.Len(t, 2, a.calls)
	must.Eq(t, a.calls[0].Key, a.calls[1].Key)
}

// An agent refuses a booking, so that it certainly has not run. A call without a
// caller's key must go on to another agent under a new key.
func TestRefusedBookingGoesToAnotherAgent(t *testing.T) {
	env := newTestEnv(t)
	refuse := func(forwarder.CallOrder) (*forwarder.Reply, error) {
		return nil, &forwarder.NotRunError{Reason: "leaving", KeyClosed: true}
	}
	env.addAgent(t, "vm-1", messenger.KindService, &fakeAgent{call: refuse}, 4)
	accepting := &fakeAgent{}
	env.addAgent(t, "vm-2", messenger.KindService, accepting, 4)
	for range 4 {
		_, err := env.Call(t.Context(), newBooking("", false))
		must.NoError(t, err)
	}
	must.Len(t, 4, accepting.calls)
	k, err := deduplicator.ParseKey(accepting.calls[0].Key)
	must.NoError(t, err)
	must.Eq(t, "vm-2", k.Owner)
}

// Guards against a refusal by the key's owner that is not passed on as such: it is the
// only refusal after which a caller may book again.
func TestOwnerRefusalClosesKey(t *testing.T) {
	env := newTestEnv(t)
	refuse := func(forwarder.CallOrder) (*forwarder.Reply, error) {
		return nil, &forwarder.NotRunError{Reason: "closed", KeyClosed: true}
	}
	env.addAgent(t, "vm-1", messenger.KindService, &fakeAgent{call: refuse}, 4)
	k, err := env.MintKey("farm", "bookings")
	must.NoError(t, err)
	_, err = env.Call(t.Context(), newBooking(k.String(), false))
	f := finalFailure(t, err)
	must.Eq(t, retrier.NotRun, f.Outcome)
	must.True(t, f.KeyClosed)
}

// Guards against a blocked queue: a booking whose key is bound to a full agent must not
// wait at its head, where it would block all requests for seconds although another
// replica is idle.
func TestBookingWaitingForOwnerBlocksNoOthers(t *testing.T) {
	env := newTestEnv(t)
	env.addAgent(t, "vm-1", messenger.KindService, &fakeAgent{}, 4)
	k, err := env.MintKey("farm", "bookings")
	must.NoError(t, err)
	env.fillAgent("vm-1")
	result := make(chan error, 1)
	go func() {
		_, err := env.Call(t.Context(), newBooking(k.String(), true))
		result <- err
	}()
	waitUntilInFlight(t, env)
	env.addAgent(t, "vm-2", messenger.KindService, &fakeAgent{}, 4)
	for range 3 {
		_, err := env.Call(t.Context(), newBooking("", false))
		must.NoError(t, err)
	}
	must.Eq(t, 0, len(result), must.Sprint("the other requests were served only after the waiting one"))
	must.Eq(t, retrier.NotRun, finalFailure(t, <-result).Outcome)
}

// waitUntilInFlight returns once the dispatcher has a request in flight.
func waitUntilInFlight(t *testing.T, env *testEnv) {
	t.Helper()
	inFlight := func() bool { return env.InFlight() > 0 }
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(inFlight), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
}

// Guards against a second booking: a caller looks up a booking whose request is in
// flight, receives "not run" and books again. When the first request arrives after
// that, it must find a closed key.
func TestLookupBindsKeyOfCallInFlight(t *testing.T) {
	env := newTestEnv(t)
	a := &fakeAgent{}
	env.addAgent(t, "vm-1", messenger.KindService, a, 4)
	state, err := env.Lookup(t.Context(), "farm", "bookings", "shed4-7")
	must.NoError(t, err)
	must.Eq(t, forwarder.KeyNotRun, state)
	_, err = env.Call(t.Context(), newBooking("shed4-7", true))
	must.NoError(t, err)
	must.Eq(t, []string{a.calls[0].Key}, a.lookups)
}
