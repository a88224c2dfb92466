package router_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/internal/router"
)

// A domain is drained while a reply streams from it, and the connection between
// entry and agent breaks. Without a resume the reply ends in the middle although
// its engine still holds all of it.
func TestResumeInDrainedDomain(t *testing.T) {
	r, _ := newRouter(threeDomains())
	s := engine(1, "north")
	r.Report(s)
	c, err := r.Pick(modelRequest)
	must.NoError(t, err)
	c.Done(retrier.Unknown)
	b := threeDomains()
	b.Revision = 2
	b.FailureDomains[0].Drained = true
	r.SetBundle(b)
	s.Sequence, s.Gate, s.Leaving = 2, messenger.GateClosed, true
	r.Report(s)

	_, err = r.Pick(modelRequest)
	must.NotNil(t, wantError[*router.NoReplicaError](t, err))
	resume := modelRequest
	resume.Owner, resume.Version, resume.EngineStart = c.AgentID, c.Version, c.EngineStart
	c, err = r.Pick(resume)
	must.NoError(t, err)
	c.Done(retrier.Ran)
	resume.EngineStart = "another start"
	_, err = r.Pick(resume)
	must.NotNil(t, wantError[*router.NoReplicaError](t, err))
}

// A booking's key is bound to one agent, and an attempt there ended with an
// unknown outcome. A retry with the key must reach that agent, as only it has
// the outcome.
func TestFailedOwnerIsPickedAgain(t *testing.T) {
	r, _ := newRouter(threeDomains())
	s := engine(1, "south")
	s.Kind, s.Service = messenger.KindService, "bookings"
	r.Report(s)
	q := router.Request{Workspace: "farm", Service: "bookings", Owner: "vm-1"}
	for range 3 {
		c, err := r.Pick(q)
		must.NoError(t, err)
		c.Done(retrier.Unknown)
	}
	q.Owner = "vm-2"
	_, err := r.Pick(q)
	must.NotNil(t, wantError[*router.NoReplicaError](t, err))
}

// A slot is freed on a replica that recently refused one of our requests. If it
// stayed skipped, requests would time out while the replica is below its limit.
func TestOwnFreedSlotEndsBackoff(t *testing.T) {
	r, _ := newRouter(threeDomains())
	r.Report(engine(1, "north"))
	first, err := r.Pick(modelRequest)
	must.NoError(t, err)
	second, err := r.Pick(modelRequest)
	must.NoError(t, err)
	second.Done(retrier.NotRun)
	_, err = r.Pick(modelRequest)
	must.NotNil(t, wantError[*router.FullError](t, err))
	first.Done(retrier.Ran)
	_, err = r.Pick(modelRequest)
	must.NoError(t, err)
}

// Two entries share a cold replica with one slot. Without a division both take
// it at once, and one of the requests needs a second attempt.
func TestColdSlotsAreDividedAmongEntries(t *testing.T) {
	s := engine(1, "north")
	s.Gate, s.Limit = messenger.GateCold, 1
	warm := engine(2, "east")
	warm.Limit = 1
	picked := 0
	for _, self := range []string{"e1", "e2"} {
		r, _ := newRouter(threeDomains())
		r.SetEntries(self, []string{"e2", "e1"})
		r.Report(s)
		r.Report(warm)
		c, err := r.Pick(modelRequest)
		must.NoError(t, err)
		if c.AgentID == s.ID {
			picked++
		}
	}
	must.LessEq(t, 1, picked)
}

// A rush fills all replicas through one entry, and callers connect to another.
// As only the first learns of freed slots, requests at the second time out while
// those at the first don't wait.
func TestNearlyFullPoolRefusesEntryAboveItsShare(t *testing.T) {
	r, c := newRouter(threeDomains())
	r.SetEntries("e1", []string{"e1", "e2"})
	s := engine(1, "north")
	s.Limit = 20
	r.Report(s)
	for range 11 {
		_, err := r.Pick(modelRequest)
		must.NoError(t, err)
	}
	c.SetTime(c.Now().Add(time.Second))
	s.Sequence, s.Running = 2, 19
	r.Report(s)
	_, err := r.Pick(modelRequest)
	must.NotNil(t, wantError[*router.FullError](t, err))
	s.Sequence, s.Running = 3, 18
	r.Report(s)
	_, err = r.Pick(modelRequest)
	must.NoError(t, err)
}

// Callers crowd at one entry while the other has none. Limited to an even share
// of a full pool, the first lets requests wait and time out beside idle slots.
func TestLongQueueGetsMoreOfFullPool(t *testing.T) {
	r, c := newRouter(threeDomains())
	r.SetEntries("e1", []string{"e1", "e2"})
	s := engine(1, "north")
	s.Limit = 20
	r.Report(s)
	for range 11 {
		_, err := r.Pick(modelRequest)
		must.NoError(t, err)
	}
	c.SetTime(c.Now().Add(time.Second))
	s.Sequence, s.Running = 2, 19
	r.Report(s)
	r.SetWaiting("rota", "", 30)
	must.MapEq(t, map[string]int{"engine rota": 41}, r.Demand())
	r.ReceiveDemand("e2", map[string]int{"engine rota": 8})
	_, err := r.Pick(modelRequest)
	must.NoError(t, err)
	c.SetTime(c.Now().Add(time.Second))
	s.Sequence = 3
	r.Report(s)
	r.ReceiveDemand("e2", map[string]int{"engine rota": 80})
	_, err = r.Pick(modelRequest)
	must.NotNil(t, wantError[*router.FullError](t, err))
	r.ReceiveDemand("e2", nil)
	_, err = r.Pick(modelRequest)
	must.NoError(t, err)
}

// Two of eight live entries route to a cold replica. Divided among all eight, its
// two slots would nearly always belong to none of them, and requests would wait.
func TestColdSlotsAreDividedAmongSharingEntries(t *testing.T) {
	r, _ := newRouter(threeDomains())
	r.Sharing = 2
	r.SetEntries("e1", []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"})
	r.Report(engine(2, "east"))
	s := engine(1, "north")
	s.Gate, s.Limit = messenger.GateCold, 2
	for range 8 {
		s.Sequence++
		must.True(t, r.Report(s))
		c, err := r.Pick(modelRequest)
		must.NoError(t, err)
		must.EqOp(t, "vm-1", c.AgentID)
		c.Done(retrier.Ran)
	}
}
