package deduplicator_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	testingclock "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/deduplicator"
)

var epoch = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func newLedger() *deduplicator.Ledger {
	c := testingclock.NewFakePassiveClock(epoch)
	return &deduplicator.Ledger{Clock: c, Owner: "vm-1", Incarnation: "a"}
}

func newKey(nonce string, issued time.Time) deduplicator.Key {
	return deduplicator.Key{
		Workspace: "fern", Service: "booking", Owner: "vm-1", Incarnation: "a",
		Issued: issued, Nonce: nonce,
	}
}

// checkOutcome compares two outcomes.
func checkOutcome(t *testing.T, want, got deduplicator.Outcome) {
	t.Helper()
	test.Eq(t, want, got)
}

var slot = deduplicator.Reply{Status: 200, Body: []byte("slot 4")}

func TestLedgerReplaysReply(t *testing.T) {
	l, k := newLedger(), newKey("n", epoch)
	checkOutcome(t, deduplicator.Unseen{}, l.Lookup(k))
	checkOutcome(t, deduplicator.Run{}, l.Begin(k))
	checkOutcome(t, deduplicator.Running{}, l.Begin(k))
	l.Finish(k, slot)
	checkOutcome(t, deduplicator.Replay{Reply: slot}, l.Begin(k))
	l.Abandon(k)
	checkOutcome(t, deduplicator.Replay{Reply: slot}, l.Begin(k))
}

// A VM is replaced while a lead's booking is in transit, and the retry reaches
// the new agent. That one can not determine whether the old one ran the call, and a
// second run could book the slot twice.
func TestLedgerRejectsKeyOfOtherIncarnation(t *testing.T) {
	l, k := newLedger(), newKey("n", epoch)
	k.Incarnation = "b"
	checkOutcome(t, deduplicator.Unknown{Reason: deduplicator.OtherIncarnation}, l.Begin(k))
}

// The service crashed after the call was sent to it. The booking may have taken
// effect, so no later attempt may run it again.
func TestAbandonedKeyStaysInDoubt(t *testing.T) {
	l, k := newLedger(), newKey("n", epoch)
	l.Begin(k)
	l.Abandon(k)
	checkOutcome(t, deduplicator.Unknown{Reason: deduplicator.InDoubt}, l.Begin(k))
}

// The gate refuses an attempt, its caller receives "not run" and books with a new key, and
// then a delayed copy of the first attempt arrives.
func TestRefusedKeyStaysClosed(t *testing.T) {
	l, k, unseen := newLedger(), newKey("n", epoch), newKey("m", epoch)
	l.Begin(k)
	l.Refuse(k)
	checkOutcome(t, deduplicator.Refused{}, l.Begin(k))
	checkOutcome(t, deduplicator.Refused{}, l.Close(unseen))
	checkOutcome(t, deduplicator.Refused{}, l.Begin(unseen))
}

// A busy morning fills the ledger, and it evicts the earliest bookings. A retry
// of one of those differs from a new call only by its time of issue.
func TestLedgerRejectsEvictedKey(t *testing.T) {
	l := newLedger()
	l.MaxEntries = 3
	running := newKey("running", epoch.Add(-time.Hour))
	l.Begin(running)
	var keys []deduplicator.Key
	for i := range 5 {
		keys = append(keys, newKey(fmt.Sprint(i), epoch.Add(time.Duration(i)*time.Millisecond)))
		checkOutcome(t, deduplicator.Run{}, l.Begin(keys[i]))
		l.Finish(keys[i], slot)
	}
	checkOutcome(t, deduplicator.Unknown{Reason: deduplicator.Evicted}, l.Begin(keys[0]))
	checkOutcome(t, deduplicator.Replay{Reply: slot}, l.Begin(keys[4]))
	checkOutcome(t, deduplicator.Running{}, l.Begin(running))
	l.Finish(running, slot)
	l.Begin(newKey("last", epoch.Add(time.Second)))
	checkOutcome(t, deduplicator.Unknown{Reason: deduplicator.Evicted}, l.Begin(running))
	checkOutcome(t, deduplicator.Unknown{Reason: deduplicator.Evicted}, l.Begin(keys[0]))
}

// An entry's clock is an hour ahead. Once its keys were evicted, every call of
// the other entries would be rejected as too old for that hour.
func TestLedgerRejectsKeyFromFuture(t *testing.T) {
	l := newLedger()
	checkOutcome(t, deduplicator.Unknown{Reason: deduplicator.FromFuture}, l.Begin(newKey("n", epoch.Add(time.Hour))))
}

func TestLedgerLimitsItsMemory(t *testing.T) {
	l := newLedger()
	l.MaxBytes = 10_000
	for i := range 20 {
		k := newKey(fmt.Sprint(i), epoch.Add(time.Duration(i)))
		l.Begin(k)
		l.Finish(k, deduplicator.Reply{Body: make([]byte, 1000)})
		_, bytes := l.Stats()
		must.LessEq(t, 10_000, bytes)
	}
	k := newKey("large", epoch.Add(time.Second))
	l.Begin(k)
	l.Finish(k, deduplicator.Reply{Body: make([]byte, 9000)})
	checkOutcome(t, deduplicator.Unknown{Reason: deduplicator.ReplyNotKept}, l.Begin(k))
}

func TestDuplicateWaitsForReply(t *testing.T) {
	l, k := newLedger(), newKey("n", epoch)
	l.Begin(k)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := l.Wait(ended, k)
	test.ErrorIs(t, err, context.Canceled)
	got := make(chan deduplicator.Outcome)
	go func() {
		v, _ := l.Wait(t.Context(), k)
		got <- v
	}()
	l.Finish(k, slot)
	checkOutcome(t, deduplicator.Replay{Reply: slot}, <-got)
}

func BenchmarkLedger(b *testing.B) {
	l, k := newLedger(), newKey("n", epoch)
	for b.Loop() {
		k.Issued = k.Issued.Add(time.Nanosecond)
		l.Begin(k)
		l.Finish(k, slot)
	}
}

// BenchmarkLedgerMemory measures the heap that a closed key takes.
func BenchmarkLedgerMemory(b *testing.B) {
	const keys = 50_000
	var before, after runtime.MemStats
	for b.Loop() {
		l, k := newLedger(), newKey("n", epoch)
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range keys {
			k.Issued = k.Issued.Add(time.Nanosecond)
			l.Begin(k)
			l.Refuse(k)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(l)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "B/key")
}
