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

// expect checks a verdict.
func expect(t *testing.T, want, got deduplicator.Verdict) {
	t.Helper()
	test.Eq(t, want, got)
}

var slot = deduplicator.Reply{Status: 200, Body: []byte("slot 4")}

func TestLedgerReplaysWhatRan(t *testing.T) {
	l, k := newLedger(), newKey("n", epoch)
	expect(t, deduplicator.Unseen{}, l.Lookup(k))
	expect(t, deduplicator.Run{}, l.Begin(k))
	expect(t, deduplicator.Running{}, l.Begin(k))
	l.Finish(k, slot)
	expect(t, deduplicator.Replay{Reply: slot}, l.Begin(k))
	l.Abandon(k)
	expect(t, deduplicator.Replay{Reply: slot}, l.Begin(k))
}

// A VM is replaced while a lead's booking is on its way, and the retry reaches
// the new agent. It can not know whether the old one ran the call, and running
// it could book the slot twice.
func TestLedgerRunsNoOtherIncarnationsKey(t *testing.T) {
	l, k := newLedger(), newKey("n", epoch)
	k.Incarnation = "b"
	expect(t, deduplicator.Unknown{Reason: deduplicator.OtherIncarnation}, l.Begin(k))
}

// The service died after the call was sent to it. The booking may be in its
// books, so that no later attempt may run it again.
func TestLedgerKeepsDoubt(t *testing.T) {
	l, k := newLedger(), newKey("n", epoch)
	l.Begin(k)
	l.Abandon(k)
	expect(t, deduplicator.Unknown{Reason: deduplicator.InDoubt}, l.Begin(k))
}

// The gate refuses an attempt, the caller is told "not run" and books anew, and
// then a copy of the first attempt that was stuck in a slow connection arrives.
func TestLedgerKeepsARefusedKeyClosed(t *testing.T) {
	l, k, unseen := newLedger(), newKey("n", epoch), newKey("m", epoch)
	l.Begin(k)
	l.Refuse(k)
	expect(t, deduplicator.Refused{}, l.Begin(k))
	expect(t, deduplicator.Refused{}, l.Close(unseen))
	expect(t, deduplicator.Refused{}, l.Begin(unseen))
}

// A busy morning fills the ledger, and it forgets the earliest bookings. A retry
// of one of those looks like a new call but for its time of issue.
func TestLedgerNeverTakesAForgottenKeyForNew(t *testing.T) {
	l := newLedger()
	l.MaxEntries = 3
	running := newKey("running", epoch.Add(-time.Hour))
	l.Begin(running)
	var ks []deduplicator.Key
	for i := range 5 {
		ks = append(ks, newKey(fmt.Sprint(i), epoch.Add(time.Duration(i)*time.Millisecond)))
		expect(t, deduplicator.Run{}, l.Begin(ks[i]))
		l.Finish(ks[i], slot)
	}
	expect(t, deduplicator.Unknown{Reason: deduplicator.Forgotten}, l.Begin(ks[0]))
	expect(t, deduplicator.Replay{Reply: slot}, l.Begin(ks[4]))
	expect(t, deduplicator.Running{}, l.Begin(running))
	l.Finish(running, slot)
	l.Begin(newKey("last", epoch.Add(time.Second)))
	expect(t, deduplicator.Unknown{Reason: deduplicator.Forgotten}, l.Begin(running))
	expect(t, deduplicator.Unknown{Reason: deduplicator.Forgotten}, l.Begin(ks[0]))
}

// An entry's clock is an hour ahead. Once its keys were forgotten, every call of
// the other entries would look too old, and none would be served for that hour.
func TestLedgerRefusesKeysFromTheFuture(t *testing.T) {
	l := newLedger()
	expect(t, deduplicator.Unknown{Reason: deduplicator.FromFuture}, l.Begin(newKey("n", epoch.Add(time.Hour))))
}

func TestLedgerBoundsItsMemory(t *testing.T) {
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
	expect(t, deduplicator.Unknown{Reason: deduplicator.NotKept}, l.Begin(k))
}

func TestLedgerLetsDuplicatesWait(t *testing.T) {
	l, k := newLedger(), newKey("n", epoch)
	l.Begin(k)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := l.Wait(ended, k)
	test.ErrorIs(t, err, context.Canceled)
	got := make(chan deduplicator.Verdict)
	go func() {
		v, _ := l.Wait(t.Context(), k)
		got <- v
	}()
	l.Finish(k, slot)
	expect(t, deduplicator.Replay{Reply: slot}, <-got)
}

func BenchmarkLedger(b *testing.B) {
	l, k := newLedger(), newKey("n", epoch)
	for b.Loop() {
		k.Issued = k.Issued.Add(time.Nanosecond)
		l.Begin(k)
		l.Finish(k, slot)
	}
}

// BenchmarkLedgerMemory gives the heap that a closed key takes.
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
