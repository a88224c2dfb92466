package agent_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader/bodyreadertest"
	"github.com/oriolecroft/oriolecroft/internal/deduplicator"
	"github.com/oriolecroft/oriolecroft/internal/forwarder"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

// maxAnswerTime is far below the deadline of the requests.
const maxAnswerTime = 5 * time.Second

// sendRawReply sends rawReply and leaves the connection open unless the reply closes it; false without one.
func (env *testEnv) sendRawReply(w http.ResponseWriter, r *http.Request) bool {
	env.mu.Lock()
	reply := env.rawReply
	env.rawReplies++
	env.mu.Unlock()
	if reply == "" {
		return false
	}
	// Closing a connection with unread data resets it.
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, reply)
	if strings.Contains(reply, "Connection: close") {
		conn.Close()
		return true
	}
	env.t.Cleanup(func() { conn.Close() })
	return true
}

// setRawReply sets rawReply and resets the count.
func (env *testEnv) setRawReply(reply string) {
	env.withLock(func() { env.rawReply, env.rawReplies = reply, 0 })
}

func (env *testEnv) rawReplyCount() int {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.rawReplies
}

// askInvalid makes a request while the gate is open, and checks that its error is the agent's own and comes soon.
func (env *testEnv) askInvalid(t *testing.T, ask func() error) *forwarder.UnknownError {
	t.Helper()
	env.waitUntil(func() bool { return len(env.Gate.Holds()) == 0 })
	startTime := time.Now()
	err := ask()
	must.Less(t, maxAnswerTime, time.Since(startTime))
	var unknown *forwarder.UnknownError
	must.True(t, errors.As(err, &unknown), must.Sprint(err))
	return unknown
}

// Guards against a reply whose status HTTP doesn't define being kept and repeated as a booking's result, and against a
// handler that panics on it.
func TestInvalidStatusLeavesBookingInDoubt(t *testing.T) {
	env := startService(t, &imitator.Service{})
	for name, reply := range bodyreadertest.InvalidReplies("", "wrong") {
		t.Run(name, func(t *testing.T) {
			env.setRawReply(reply)
			k := newKey(name)
			book := func() error { _, err := env.book(k); return err }
			must.StrContains(t, env.askInvalid(t, book).Reason, "upstream gave no reply")
			must.StrContains(t, env.askInvalid(t, book).Reason, string(deduplicator.InDoubt))
			must.Eq(t, forwarder.KeyUnknown, env.lookup(k))
			must.Eq(t, 1, env.rawReplyCount())
		})
	}
}

// Guards against an idempotent call that returns a status that HTTP doesn't define, instead of the error after which the
// entry tries another agent.
func TestInvalidStatusFailsIdempotentCall(t *testing.T) {
	env := startService(t, &imitator.Service{})
	env.putBundle(func(b *bundler.Bundle) { b.Services[0].Idempotent = true })
	env.waitUntil(func() bool { return env.State.StatusUpdate().Revision == 2 })
	for name, reply := range bodyreadertest.InvalidReplies("", "wrong") {
		t.Run(name, func(t *testing.T) {
			env.setRawReply(reply)
			call := func() error { _, err := env.book(""); return err }
			must.StrContains(t, env.askInvalid(t, call).Reason, "upstream gave no reply")
			must.Eq(t, 1, env.rawReplyCount())
		})
	}
}

// Guards against a stream that counts as not run because its engine answered with a status that HTTP doesn't define.
func TestInvalidStatusOfAnEngineIsUnknown(t *testing.T) {
	for name, reply := range bodyreadertest.InvalidReplies("", "data: {}\n\n") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := startEngine(t, &imitator.Engine{})
			env.setRawReply(reply)
			generate := func() error { _, _, err := env.sendOrder(newOrder(name)); return err }
			must.StrContains(t, env.askInvalid(t, generate).Reason, "upstream gave no reply")
			must.Eq(t, 1, env.rawReplyCount())
		})
	}
}
