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

func newKey(nonce string) string {
	return deduplicator.Key{
		Workspace: "farm", Service: "bookings", Owner: "vm-1", Incarnation: "i-1",
		Issued: time.Now(), Nonce: nonce,
	}.String()
}

// book makes one booking as an entry does.
func (env *testEnv) book(key string) (*forwarder.Reply, error) {
	ctx, cancel := context.WithTimeout(env.t.Context(), waitTimeout)
	defer cancel()
	o := forwarder.CallOrder{
		Attempt:   forwarder.Attempt{RequestID: "r", Number: 1},
		Workspace: "farm", Service: "bookings", Method: "POST", Path: "/book", Key: key,
		Header: map[string]string{"Booking": "slot-4"}, DeadlineMS: waitTimeout.Milliseconds(),
	}
	return env.client.Call(ctx, addressOf(env.Listener), o, []byte("{}"))
}

func (env *testEnv) lookup(key string) forwarder.KeyState {
	env.t.Helper()
	ctx, cancel := context.WithTimeout(env.t.Context(), waitTimeout)
	defer cancel()
	f, err := env.client.Lookup(ctx, addressOf(env.Listener), key)
	must.NoError(env.t, err)
	return f
}

// mustBeClosed checks that an error reports that the key will never run.
func mustBeClosed(t *testing.T, err error) {
	t.Helper()
	var n *forwarder.NotRunError
	must.True(t, errors.As(err, &n), must.Sprint(err))
	must.True(t, n.KeyClosed)
}

// Guards against a booking that runs twice, with two casuals for one slot, when its
// answer is lost and the caller retries.
func TestLostAnswerIsNotRunAgain(t *testing.T) {
	env := startService(t, &imitator.Service{})
	env.postUpstream("/admin/faults", `{"dropAnswers":true}`)
	k := newKey("lost")
	for range 2 {
		_, err := env.book(k)
		var u *forwarder.UnknownError
		must.True(t, errors.As(err, &u), must.Sprint(err))
		env.postUpstream("/admin/faults", `{}`)
	}
	must.Eq(t, forwarder.KeyUnknown, env.lookup(k))
	must.Eq(t, 1, env.upstreamCount("runs"))
}

// Guards against a duplicate that runs again while the first booking still runs,
// after a double tap or an entry's retry. Both must get the same answer.
func TestDuplicateWaitsForTheFirst(t *testing.T) {
	env := startService(t, &imitator.Service{Time: tokenTime})
	k := newKey("twice")
	var replies [2]*forwarder.Reply
	var errs [2]error
	var wg sync.WaitGroup
	for i := range replies {
		wg.Go(func() { replies[i], errs[i] = env.book(k) })
	}
	env.waitUntil(func() bool { return env.runningCount() == 1 && env.clock.HasWaiters() })
	must.Eq(t, forwarder.KeyRunning, env.lookup(k))
	env.clock.Step(tokenTime)
	wg.Wait()
	must.NoError(t, errors.Join(errs[:]...))
	must.Eq(t, replies[0].Body, replies[1].Body)
	must.True(t, replies[0].Replayed != replies[1].Replayed)
	must.Eq(t, forwarder.KeyRan, env.lookup(k))
	must.Eq(t, 1, env.upstreamCount("runs"))
}

// Guards against a double booking: a drained domain refuses a booking, the caller
// books elsewhere, and a duplicate arrives once the domain is back.
func TestRefusalClosesKey(t *testing.T) {
	env := startService(t, &imitator.Service{})
	env.putBundle(func(b *bundler.Bundle) { b.FailureDomains[0].Drained = true })
	env.waitUntil(func() bool { return env.State.StatusUpdate().Revision == 2 })
	k := newKey("refused")
	_, err := env.book(k)
	mustBeClosed(t, err)
	env.putBundle(func(*bundler.Bundle) {})
	env.waitUntil(func() bool { return env.State.StatusUpdate().Revision == 3 && len(env.Gate.Holds()) == 0 })
	_, err = env.book(k)
	mustBeClosed(t, err)
	must.Eq(t, forwarder.KeyNotRun, env.lookup(k))
	must.Eq(t, 0, env.upstreamCount("runs"))
}

// Guards against a double booking: a caller looks up a booking in flight, receives
// "not run" and books again, and the first request arrives after that.
func TestLookupClosesUnseenKey(t *testing.T) {
	env := startService(t, &imitator.Service{})
	k := newKey("late")
	must.Eq(t, forwarder.KeyNotRun, env.lookup(k))
	_, err := env.book(k)
	mustBeClosed(t, err)
	must.Eq(t, 0, env.upstreamCount("runs"))
}

// An entry may send a key of another workspace, none at all, or one of an agent
// that was replaced. None of them may run.
func TestForeignKeysDoNotRun(t *testing.T) {
	env := startService(t, &imitator.Service{})
	foreign := deduplicator.Key{
		Workspace: "ramps", Service: "bookings", Owner: "vm-1", Incarnation: "i-1", Issued: time.Now(), Nonce: "n",
	}
	replaced := foreign
	replaced.Workspace, replaced.Incarnation = "farm", "i-0"
	for _, k := range []string{"", "v1.garbage", foreign.String()} {
		_, err := env.book(k)
		var n *forwarder.NotRunError
		must.True(t, errors.As(err, &n), must.Sprint(k, err))
	}
	_, err := env.book(replaced.String())
	var u *forwarder.UnknownError
	must.True(t, errors.As(err, &u), must.Sprint(err))
	must.Eq(t, 0, env.upstreamCount("runs"))
}
