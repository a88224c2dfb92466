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

// A booking ran, its answer was lost, and the caller repeats it through an entry
// that refuses for reasons of its own. Were that "not run", the caller would book
// anew, and two casuals would turn up for one slot.
func TestEntrysOwnRefusalOfARepeatedBookingIsUnknown(t *testing.T) {
	w := newWorld(t)
	w.add(t, "vm-1", messenger.KindService, &fakeAgent{}, 4)
	k, err := w.MintKey("farm", "bookings")
	must.NoError(t, err)
	w.Concurrent = 0
	_, err = w.Call(t.Context(), book(k.String(), false))
	must.Eq(t, retrier.Unknown, failure(t, err).Outcome)
	_, err = w.Call(t.Context(), book(k.String(), true))
	must.Eq(t, retrier.NotRun, failure(t, err).Outcome)
}

// The agent that a key is bound to is killed. Another agent must not run the
// booking, since the first one may have.
func TestBookingDoesNotMoveToAnotherAgent(t *testing.T) {
	w := newWorld(t)
	owner := &fakeAgent{}
	h := w.add(t, "vm-1", messenger.KindService, owner, 4)
	k, err := w.MintKey("farm", "bookings")
	must.NoError(t, err)
	other := &fakeAgent{}
	w.add(t, "vm-2", messenger.KindService, other, 4)
	h.Close()
	_, err = w.Call(t.Context(), book(k.String(), false))
	must.Eq(t, retrier.Unknown, failure(t, err).Outcome)
	must.Len(t, 0, other.calls)
}

// The answer to a booking is lost on the way from the agent. The entry asks the
// same agent with the same key, which gives the answer again and runs nothing.
func TestLostAnswerIsAskedForAgainWithTheSameKey(t *testing.T) {
	w := newWorld(t)
	a := &fakeAgent{}
	a.call = func(forwarder.CallOrder) (*forwarder.Reply, error) {
		if len(a.calls) == 1 {
			panic(http.ErrAbortHandler)
		}
		return &forwarder.Reply{Status: 200, Body: []byte("ok"), Replayed: true}, nil
	}
	w.add(t, "vm-1", messenger.KindService, a, 4)
	w.add(t, "vm-2", messenger.KindService, &fakeAgent{call: a.call}, 4)
	reply, err := w.Call(t.Context(), book("", false))
	must.NoError(t, err)
	must.True(t, reply.Replayed)
	must.Len(t, 2, a.calls)
	must.Eq(t, a.calls[0].Key, a.calls[1].Key)
}

// An agent refuses a booking, so that it certainly has not run; a call without a
// key of the caller's goes on to another agent under a key of its own.
func TestRefusedBookingGoesToAnotherAgent(t *testing.T) {
	w := newWorld(t)
	no := func(forwarder.CallOrder) (*forwarder.Reply, error) {
		return nil, &forwarder.NotRunError{Reason: "leaving", KeyClosed: true}
	}
	w.add(t, "vm-1", messenger.KindService, &fakeAgent{call: no}, 4)
	yes := &fakeAgent{}
	w.add(t, "vm-2", messenger.KindService, yes, 4)
	for range 4 {
		_, err := w.Call(t.Context(), book("", false))
		must.NoError(t, err)
	}
	must.Len(t, 4, yes.calls)
	k, err := deduplicator.ParseKey(yes.calls[0].Key)
	must.NoError(t, err)
	must.Eq(t, "vm-2", k.Owner)
}

// The owner says that it closed the key without running it. That is the one
// refusal after which a caller may book anew, and it must hear so.
func TestOwnersRefusalSettlesTheKey(t *testing.T) {
	w := newWorld(t)
	no := func(forwarder.CallOrder) (*forwarder.Reply, error) {
		return nil, &forwarder.NotRunError{Reason: "closed", KeyClosed: true}
	}
	w.add(t, "vm-1", messenger.KindService, &fakeAgent{call: no}, 4)
	k, err := w.MintKey("farm", "bookings")
	must.NoError(t, err)
	_, err = w.Call(t.Context(), book(k.String(), false))
	f := failure(t, err)
	must.Eq(t, retrier.NotRun, f.Outcome)
	must.True(t, f.KeyClosed)
}

// The agent that a key is bound to is full. If the booking waited for it in the
// common line, nobody behind it would be served although another replica is idle;
// callers would see everything stand still for seconds.
func TestBookingThatWaitsForItsOwnerHoldsUpNobody(t *testing.T) {
	w := newWorld(t)
	w.add(t, "vm-1", messenger.KindService, &fakeAgent{}, 4)
	k, err := w.MintKey("farm", "bookings")
	must.NoError(t, err)
	w.fill("vm-1")
	ended := make(chan error, 1)
	go func() {
		_, err := w.Call(t.Context(), book(k.String(), true))
		ended <- err
	}()
	untilWaiting(t, w)
	w.add(t, "vm-2", messenger.KindService, &fakeAgent{}, 4)
	for range 3 {
		_, err := w.Call(t.Context(), book("", false))
		must.NoError(t, err)
	}
	must.Eq(t, 0, len(ended), must.Sprint("the others were served only after the one that waits"))
	must.Eq(t, retrier.NotRun, failure(t, <-ended).Outcome)
}

// untilWaiting returns once the dispatcher carries a request.
func untilWaiting(t *testing.T, w *world) {
	t.Helper()
	carries := func() bool { return w.Carried() > 0 }
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(carries), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
}

// A caller asks what became of a booking whose request is still under way. Told
// "not run" it books anew; when the first request arrives after that, it must meet
// a closed key and not book a second time.
func TestLookupBindsAKeyThatIsStillUnderWay(t *testing.T) {
	w := newWorld(t)
	a := &fakeAgent{}
	w.add(t, "vm-1", messenger.KindService, a, 4)
	fate, err := w.Lookup(t.Context(), "farm", "bookings", "shed4-7")
	must.NoError(t, err)
	must.Eq(t, forwarder.KeyNotRun, fate)
	_, err = w.Call(t.Context(), book("shed4-7", true))
	must.NoError(t, err)
	must.Eq(t, []string{a.calls[0].Key}, a.asked)
}
