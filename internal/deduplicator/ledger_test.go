package deduplicator_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	testingclock "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/deduplicator"
)

var epoch = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func newLedger() (*deduplicator.Ledger, *testingclock.FakePassiveClock) {
	c := testingclock.NewFakePassiveClock(epoch)
	return &deduplicator.Ledger{Clock: c, Owner: "vm-1", Incarnation: "a"}, c
}

func newKey(nonce string, issued time.Time) deduplicator.Key {
	return deduplicator.Key{
		Workspace: "fern", Service: "booking", Owner: "vm-1", Incarnation: "a",
		Issued: issued, Nonce: nonce,
	}
}

func TestLedgerReplaysWhatRan(t *testing.T) {
	l, _ := newLedger()
	k := newKey("n", epoch)
	reply := deduplicator.Reply{Status: 200, Body: []byte("slot 4")}
	test.Eq(t, deduplicator.Verdict(deduplicator.Unseen{}), l.Lookup(k))
	test.Eq(t, deduplicator.Verdict(deduplicator.Run{}), l.Begin(k))
	test.Eq(t, deduplicator.Verdict(deduplicator.Running{}), l.Begin(k))
	l.Finish(k, reply)
	test.Eq(t, deduplicator.Verdict(deduplicator.Replay{Reply: reply}), l.Begin(k))
}
