package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

func engine(id string, d scheduler.Distance) scheduler.Candidate {
	return scheduler.Candidate{ID: id, Distance: d, Slots: 12, Agent: true}
}

// Guards against sending all requests of the first second after a restart to engines of unknown load because
// these look idle, and against leaving these out.
func TestEngineOfUnknownLoadRanksAsAverage(t *testing.T) {
	c, _ := newChooser()
	all := []scheduler.Candidate{engine("unknown", scheduler.SameDomain), engine("idle", scheduler.SameDomain), engine("busy", scheduler.SameDomain),
		engine("far", scheduler.OtherRegion)}
	firsts := map[string]bool{}
	for range 100 {
		firsts[c.Order(all)[0].ID] = true
	}
	must.True(t, firsts["unknown"] && firsts["idle"] && firsts["busy"], must.Sprint("random among unknown ones"))
	must.False(t, firsts["far"], must.Sprint("near ones first"))
	c.RecordLoad("idle", 0, 0)
	c.RecordLoad("busy", 100*time.Millisecond, 0.8)
	for range 100 {
		var ids []string
		for _, k := range c.Order(all) {
			ids = append(ids, k.ID)
		}
		must.Eq(t, []string{"idle", "unknown", "far", "busy"}, ids)
	}
}

// Guards against asking an unresponsive agent every 0.7 s, with each request, or before responsive agents.
func TestUnresponsiveAgentIsProbedWithBackoff(t *testing.T) {
	c, clock := newChooser()
	all := []scheduler.Candidate{engine("silent", scheduler.SameDomain), engine("far", scheduler.OtherRegion)}
	for _, pause := range []time.Duration{700 * time.Millisecond, 1400 * time.Millisecond, 2800 * time.Millisecond, 4 * time.Second, 4 * time.Second} {
		must.True(t, c.MayAsk("silent", false))
		for range 3 {
			c.RecordUnresponsive("silent", false)
		}
		clock.Step(pause - time.Millisecond)
		must.False(t, c.MayAsk("silent", false))
		clock.Step(2 * time.Millisecond)
		must.False(t, c.MayAsk("silent", true), must.Sprint("the request has encountered an unresponsive agent"))
		must.Eq(t, "far", c.Order(all)[0].ID)
		must.True(t, c.MayAsk("silent", false))
		must.False(t, c.MayAsk("silent", false), must.Sprint("another request is asking"))
		clock.Step(100 * time.Millisecond)
	}
	c.RecordLoad("silent", 0, 0)
	must.Eq(t, "silent", c.Order(all)[0].ID)
	must.True(t, c.MayAsk("silent", true))
	must.True(t, c.MayAsk("silent", true))
	c.RecordUnresponsive("silent", false)
	clock.Step(701 * time.Millisecond)
	must.True(t, c.MayAsk("silent", false), must.Sprint("an answer resets the backoff"))
}

// Guards against never using an agent again that has recovered at a low load, as other engines always have a
// slot.
func TestUnprobedAgentIsRankedAgain(t *testing.T) {
	c, clock := newChooser()
	all := []scheduler.Candidate{engine("silent", scheduler.SameDomain), engine("far", scheduler.OtherRegion)}
	c.RecordUnresponsive("silent", false)
	clock.Step(1600 * time.Millisecond)
	must.Eq(t, "far", c.Order(all)[0].ID)
	clock.Step(200 * time.Millisecond)
	must.Eq(t, "silent", c.Order(all)[0].ID)
}

// Guards against a growing backoff while an agent's process is gone: it mostly restarts within a second.
func TestBackoffOfGoneAgentStaysConstant(t *testing.T) {
	c, clock := newChooser()
	for range 4 {
		must.True(t, c.MayAsk("gone", true))
		c.RecordUnresponsive("gone", true)
		must.True(t, c.RecentlyAlive("gone"))
		must.False(t, c.MayAsk("gone", true))
		clock.Step(701 * time.Millisecond)
	}
}

// Guards against never using an engine again that was closed when it was last asked, as others always have a slot, and
// against asking a closed one with each request.
func TestClosedEngineIsRankedAgain(t *testing.T) {
	const (
		closedSkip = 100 * time.Millisecond
		closedLoad = 3
	)
	all := []scheduler.Candidate{engine("closed", scheduler.SameDomain), engine("busy", scheduler.SameDomain)}
	for opens, want := range map[time.Duration]time.Duration{0: time.Second, 300 * time.Millisecond: 300 * time.Millisecond, 4 * time.Second: 4 * time.Second} {
		c, clock := newChooser()
		c.RecordLoad("busy", 0, 0.5)
		firsts := func() map[string]bool {
			found := map[string]bool{}
			for range 100 {
				found[c.Order(all)[0].ID] = true
			}
			return found
		}
		for range 3 {
			c.RecordLoad("closed", 0, closedLoad)
			c.RecordClosed("closed", "no route table", closedSkip, opens)
			clock.Step(want - time.Millisecond)
			must.Eq(t, map[string]bool{"busy": true}, firsts())
			clock.Step(time.Millisecond)
			must.Eq(t, map[string]bool{"busy": true, "closed": true}, firsts(), must.Sprint("as any of unknown load"))
		}
		c.RecordLoad("closed", 0, 0)
		must.Eq(t, map[string]bool{"closed": true}, firsts())
		clock.Step(time.Minute)
		must.Eq(t, map[string]bool{"closed": true}, firsts(), must.Sprint("an open engine's load stays known"))
	}
}
