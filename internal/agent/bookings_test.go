package agent_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/deduplicator"
	"github.com/oriolecroft/oriolecroft/internal/forwarder"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

func key(nonce string) string {
	return deduplicator.Key{
		Workspace: "farm", Service: "bookings", Owner: "vm-1", Incarnation: "i-1",
		Issued: time.Now(), Nonce: nonce,
	}.String()
}

// book makes one booking as an entry does.
func (w *world) book(key string) (*forwarder.Reply, error) {
	ctx, cancel := context.WithTimeout(w.t.Context(), patience)
	defer cancel()
	o := forwarder.CallOrder{
		Attempt:   forwarder.Attempt{RequestID: "r", Number: 1},
		Workspace: "farm", Service: "bookings", Method: "POST", Path: "/book", Key: key,
		Header: map[string]string{"Booking": "slot-4"}, DeadlineMS: patience.Milliseconds(),
	}
	return w.client.Call(ctx, addressOf(w.Listener), o, []byte("{}"))
}

func (w *world) fate(key string) forwarder.KeyState {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(w.t.Context(), patience)
	defer cancel()
	f, err := w.client.Lookup(ctx, addressOf(w.Listener), key)
	must.NoError(w.t, err)
	return f
}

// closedKey checks that an error says that the key will never run.
func closedKey(t *testing.T, err error) {
	t.Helper()
	var n *forwarder.NotRunError
	must.True(t, errors.As(err, &n), must.Sprint(err))
	must.True(t, n.KeyClosed)
}

// The booking service books and its answer is lost. The shed lead tries again;
// run a second time, two casuals would turn up for one slot.
func TestLostAnswerIsNotRunAgain(t *testing.T) {
	w := startService(t, &imitator.Service{})
	w.post("/admin/faults", `{"dropAnswers":true}`)
	k := key("lost")
	for range 2 {
		_, err := w.book(k)
		var u *forwarder.UnknownError
		must.True(t, errors.As(err, &u), must.Sprint(err))
		w.post("/admin/faults", `{}`)
	}
	must.Eq(t, forwarder.KeyUnknown, w.fate(k))
	must.Eq(t, 1, w.counts("runs"))
}

// A lead taps twice, or an entry retries, while the booking still runs. Both get
// the one answer.
func TestDuplicateWaitsForTheFirst(t *testing.T) {
	w := startService(t, &imitator.Service{Time: tokenTime})
	k := key("twice")
	var replies [2]*forwarder.Reply
	var errs [2]error
	var both sync.WaitGroup
	for i := range replies {
		both.Go(func() { replies[i], errs[i] = w.book(k) })
	}
	w.until(func() bool { return w.running() == 1 && w.clock.HasWaiters() })
	must.Eq(t, forwarder.KeyRunning, w.fate(k))
	w.clock.Step(tokenTime)
	both.Wait()
	must.NoError(t, errors.Join(errs[:]...))
	must.Eq(t, replies[0].Body, replies[1].Body)
	must.True(t, replies[0].Replayed != replies[1].Replayed)
	must.Eq(t, forwarder.KeyRan, w.fate(k))
	must.Eq(t, 1, w.counts("runs"))
}

// A booking is refused in a domain that was just drained, and the caller books
// elsewhere. A duplicate that comes once the domain is back must not book again.
func TestRefusalClosesKey(t *testing.T) {
	w := startService(t, &imitator.Service{})
	w.next(func(b *bundler.Bundle) { b.FailureDomains[0].Drained = true })
	w.until(func() bool { return w.State.Word().Revision == 2 })
	k := key("refused")
	_, err := w.book(k)
	closedKey(t, err)
	w.next(func(*bundler.Bundle) {})
	w.until(func() bool { return w.State.Word().Revision == 3 && len(w.Gate.Holds()) == 0 })
	_, err = w.book(k)
	closedKey(t, err)
	must.Eq(t, forwarder.KeyNotRun, w.fate(k))
	must.Eq(t, 0, w.counts("runs"))
}

// A caller asks what became of a booking that is still on its way, hears "not
// run" and books anew. When the first arrives after all it must not run.
func TestLookupClosesUnseenKey(t *testing.T) {
	w := startService(t, &imitator.Service{})
	k := key("late")
	must.Eq(t, forwarder.KeyNotRun, w.fate(k))
	_, err := w.book(k)
	closedKey(t, err)
	must.Eq(t, 0, w.counts("runs"))
}

// An entry may send a key for another workspace, none at all, or one of an agent
// that was replaced. None of them may run.
func TestForeignKeysDoNotRun(t *testing.T) {
	w := startService(t, &imitator.Service{})
	foreign := deduplicator.Key{
		Workspace: "ramps", Service: "bookings", Owner: "vm-1", Incarnation: "i-1", Issued: time.Now(), Nonce: "n",
	}
	replaced := foreign
	replaced.Workspace, replaced.Incarnation = "farm", "i-0"
	for _, k := range []string{"", "v1.garbage", foreign.String()} {
		_, err := w.book(k)
		var n *forwarder.NotRunError
		must.True(t, errors.As(err, &n), must.Sprint(k, err))
	}
	_, err := w.book(replaced.String())
	var u *forwarder.UnknownError
	must.True(t, errors.As(err, &u), must.Sprint(err))
	must.Eq(t, 0, w.counts("runs"))
}
