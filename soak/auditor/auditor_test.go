package auditor_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	testclock "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/soak/auditor"
)

// scenario is a scenario of recorded events.
type scenario struct {
	*auditor.Auditor
	clock *testclock.FakePassiveClock
}

var bounds = auditor.Bounds{
	StableWindow: 3 * time.Second, Drain: 2 * time.Second, Evacuate: 5 * time.Second, ConfigApply: 2 * time.Second,
	Weights: 8 * time.Second, RollbackSlack: 250 * time.Millisecond, Grace: 8 * time.Second, LossSlack: 200 * time.Millisecond,
	RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 2, ColdFactor: 1.5, ColdSlack: 5,
}

// firstTable has a route that may not be repeated, one that may, and one restricted to a region.
func firstTable() auditor.Table {
	return auditor.Table{
		Version: 1,
		Routes: []auditor.Route{
			{Prefix: "/book/", Service: "shed", Once: true, Attempts: 2}, {Prefix: "/look/", Service: "shed", Attempts: 2, Priority: "2"},
			{Prefix: "/home/", Service: "shed", Attempts: 2, Regions: []string{"huon"}},
			{Prefix: "/urgent/", Service: "shed", Attempts: 2, Priority: "0"},
		},
		Keys: map[string]auditor.Workspace{"k": {Name: "w"}},
	}
}

// newScenario returns a deployment that has run undisturbed for a while.
func newScenario() *scenario {
	c := testclock.NewFakePassiveClock(time.Unix(1000, 0))
	d := &scenario{&auditor.Auditor{Bounds: bounds, Clock: c}, c}
	d.Observe(auditor.Configured{Table: firstTable()})
	d.Observe(auditor.WeightsAnnounced{Version: 1})
	d.Observe(auditor.Started{Entry: "e"})
	for _, u := range []auditor.Joined{
		{Upstream: "near", Service: "shed", FailureDomain: "huon-a", Region: "huon"},
		{Upstream: "far", Service: "shed", FailureDomain: "derwent-a", Region: "derwent"},
		{Upstream: "portal", Service: "portal", FailureDomain: "huon-a", Region: "huon"},
	} {
		d.Observe(u)
	}
	d.advance(10 * time.Second)
	return d
}

func (d *scenario) advance(t time.Duration) { d.clock.SetTime(d.clock.Now().Add(t)) }

func (d *scenario) send(id, path string) {
	d.Observe(auditor.Sent{ID: id, Entry: "e", Path: path, Key: "k", Content: id, Limit: 2 * time.Second})
}

// arriveAndStart records that a request arrives and starts at an upstream.
func (d *scenario) arriveAndStart(id, upstream string) {
	d.Observe(auditor.Arrived{ID: id, Upstream: upstream, Content: id, Workspace: "w", Left: time.Second})
	d.Observe(auditor.RunStarted{ID: id, Upstream: upstream})
}

func (d *scenario) answer(id, upstream string) {
	d.Observe(auditor.Answered{ID: id, Status: 200, Names: id, Upstream: upstream, Whole: true})
}

// serve records a request that succeeds.
func (d *scenario) serve(id, path, upstream string) {
	d.send(id, path)
	d.arriveAndStart(id, upstream)
	d.advance(20 * time.Millisecond)
	d.answer(id, upstream)
}

// stateLeaving records a request whose answer states that its upstream, near, leaves.
func (d *scenario) stateLeaving(id string) {
	d.send(id, "/look/1")
	d.arriveAndStart(id, "near")
	d.Observe(auditor.Answered{ID: id, Status: 200, Names: id, Upstream: "near", Whole: true, Leaving: true})
}

// reject records a request that near refuses with a backoff.
func (d *scenario) reject(id string, rest time.Duration) {
	d.send(id, "/look/1")
	d.Observe(auditor.Arrived{ID: id, Upstream: "near", Content: id, Workspace: "w", Left: time.Second})
	d.Observe(auditor.Rejected{ID: id, Upstream: "near", Rest: rest})
	d.Observe(auditor.Answered{ID: id, Status: 503, Whole: true})
}

// abandon records a request for a long stream that starts to run and whose caller leaves.
func (d *scenario) abandon(id string) {
	d.Observe(auditor.Sent{ID: id, Entry: "e", Path: "/look/1", Key: "k", Content: id, Limit: 2 * time.Second, Events: 9, Lasts: time.Second})
	d.arriveAndStart(id, "near")
	d.advance(20 * time.Millisecond)
	d.Observe(auditor.Answered{ID: id, Status: 200, Names: id, Upstream: "near", Expired: true})
}

// stream records a request for three events and the parts received.
func (d *scenario) stream(whole bool, parts ...auditor.Part) {
	d.Observe(auditor.Sent{ID: "s", Entry: "e", Path: "/look/s", Key: "k", Content: "s", Limit: time.Second, Events: 3})
	d.arriveAndStart("s", "near")
	d.Observe(auditor.Answered{ID: "s", Status: 200, Names: "s", Upstream: "near", Whole: whole, Parts: parts})
}

// failTwice records a request for three events at which two upstreams fail, and the parts received.
func (d *scenario) failTwice(whole bool, parts ...auditor.Part) {
	d.Observe(auditor.Sent{ID: "s", Entry: "e", Path: "/look/s", Key: "k", Content: "s", Limit: time.Second, Events: 3})
	for _, upstream := range []string{"near", "far"} {
		d.arriveAndStart("s", upstream)
		d.Observe(auditor.Failed{ID: "s", Upstream: upstream})
		d.Observe(auditor.RunEnded{ID: "s", Upstream: upstream, Broken: true, Events: 1})
	}
	d.Observe(auditor.Answered{ID: "s", Status: 200, Names: "s", Upstream: "near", Whole: whole, Parts: parts})
}

// manyRequests is how many requests to send where a promise tolerates some failures.
const manyRequests = 30

// brokenCase is a history that breaks a promise, allowedCase one that breaks none.
type (
	brokenCase struct {
		promise auditor.Promise
		name    string
		history func(d *scenario)
	}
	allowedCase struct {
		name    string
		history func(d *scenario)
	}
)

// Guards against checks that detect nothing, which would report every soak as passed. Each history
// breaks one promise, and the auditor must report it.
func TestAuditorReportsEachBrokenPromise(t *testing.T) {
	cases := []brokenCase{
		{auditor.Once, "a booking runs at two upstreams", func(d *scenario) {
			d.send("1", "/book/1")
			d.arriveAndStart("1", "near")
			d.arriveAndStart("1", "far")
		}},
		{auditor.Refusal, "a booking is refused after it ran", func(d *scenario) {
			d.send("1", "/book/1")
			d.arriveAndStart("1", "near")
			d.Observe(auditor.Answered{ID: "1", Status: 503, Whole: true})
		}},
		{auditor.Refusal, "a booking runs after it was refused", func(d *scenario) {
			d.send("1", "/book/1")
			d.Observe(auditor.Answered{ID: "1", Status: 429, Whole: true})
			d.arriveAndStart("1", "near")
		}},
		{auditor.Whole, "an answer without a seal", func(d *scenario) {
			d.send("1", "/look/1")
			d.arriveAndStart("1", "near")
			d.Observe(auditor.Answered{ID: "1", Status: 200, Names: "1", Whole: true})
		}},
		{auditor.Whole, "an answer to another request", func(d *scenario) {
			d.send("1", "/look/1")
			d.arriveAndStart("1", "near")
			d.Observe(auditor.Answered{ID: "1", Status: 200, Names: "2", Upstream: "near", Whole: true})
		}},
		{auditor.Whole, "a seal of an upstream that did not run it", func(d *scenario) {
			d.send("1", "/look/1")
			d.answer("1", "near")
		}},
		{auditor.Whole, "a status that the upstream did not give", func(d *scenario) {
			d.send("1", "/look/1")
			d.arriveAndStart("1", "near")
			d.Observe(auditor.Answered{ID: "1", Status: 500, Names: "1", Upstream: "near", Forged: true, Whole: true})
		}},
		{auditor.Whole, "a short body that looks complete", func(d *scenario) {
			d.send("1", "/look/1")
			d.arriveAndStart("1", "near")
			d.Observe(auditor.Answered{ID: "1", Status: 200, Names: "1", Upstream: "near", Whole: true, WrongBody: true})
		}},
		{auditor.Whole, "an event of another stream", func(d *scenario) { d.stream(false, auditor.Part{Number: 1, Version: 1, Foreign: true}) }},
		{auditor.Unchanged, "a request that nobody sent", func(d *scenario) { d.arriveAndStart("x", "near") }},
		{auditor.Unchanged, "a request with a changed body", func(d *scenario) {
			d.send("1", "/look/1")
			d.Observe(auditor.Arrived{ID: "1", Upstream: "near", Content: "other", Workspace: "w", Left: time.Second})
		}},
		{auditor.Stream, "an event is missing", func(d *scenario) {
			d.stream(false, auditor.Part{Number: 1, Version: 1}, auditor.Part{Number: 3, Version: 1})
		}},
		{auditor.Stream, "an event comes twice", func(d *scenario) {
			d.stream(false, auditor.Part{Number: 1, Version: 1}, auditor.Part{Number: 1, Version: 1})
		}},
		{auditor.Stream, "the weights change on the way", func(d *scenario) {
			d.stream(false, auditor.Part{Number: 1, Version: 1}, auditor.Part{Number: 2, Version: 2})
		}},
		{auditor.Stream, "it ends as complete before its last event", func(d *scenario) { d.stream(true, auditor.Part{Number: 1, Version: 1}) }},
		{auditor.FailedTwice, "a stream at which two upstreams failed ends as complete without an event", func(d *scenario) {
			d.failTwice(true, auditor.Part{Number: 1, Version: 1}, auditor.Part{Number: 2, Version: 1})
		}},
		{auditor.FailedTwice, "a stream at which two upstreams failed ends as complete with an event twice", func(d *scenario) {
			d.failTwice(true, auditor.Part{Number: 1, Version: 1}, auditor.Part{Number: 1, Version: 1}, auditor.Part{Number: 3, Version: 1})
		}},
		{auditor.FailedTwice, "a stream at which two upstreams failed ends as complete on other weights", func(d *scenario) {
			d.failTwice(true, auditor.Part{Number: 1, Version: 1}, auditor.Part{Number: 2, Version: 2}, auditor.Part{Number: 3, Version: 2})
		}},
		{auditor.Cut, "a cut reply ends as complete with its half", func(d *scenario) {
			d.send("1", "/look/1")
			d.arriveAndStart("1", "near")
			d.Observe(auditor.RunEnded{ID: "1", Upstream: "near", Broken: true})
			d.Observe(auditor.Answered{ID: "1", Status: 200, Names: "1", Upstream: "near", Whole: true, WrongBody: true})
		}},
		{auditor.Cut, "a cut stream ends as complete", func(d *scenario) {
			d.Observe(auditor.Sent{ID: "s", Entry: "e", Path: "/look/s", Key: "k", Content: "s", Limit: time.Second, Events: 3})
			d.arriveAndStart("s", "near")
			d.Observe(auditor.RunEnded{ID: "s", Upstream: "near", Broken: true})
			d.Observe(auditor.Answered{ID: "s", Status: 200, Names: "s", Upstream: "near", Whole: true, Parts: []auditor.Part{{Number: 1, Version: 1}}})
		}},
		{auditor.Weights, "a reply from weights with a wrong chunk", func(d *scenario) {
			d.send("1", "/look/1")
			d.Observe(auditor.RunStarted{ID: "1", Upstream: "near", Version: 1, Spoilt: true})
		}},
		{auditor.Version, "old weights 8.1 s after newer ones were announced", func(d *scenario) {
			d.Observe(auditor.WeightsAnnounced{Version: 2})
			d.advance(8100 * time.Millisecond)
			d.send("1", "/look/1")
			d.Observe(auditor.RunStarted{ID: "1", Upstream: "near", Version: 1})
		}},
		{auditor.Version, "two announcements in a row: the first one binds", func(d *scenario) {
			d.Observe(auditor.WeightsAnnounced{Version: 2})
			d.advance(5 * time.Second)
			d.Observe(auditor.WeightsAnnounced{Version: 3})
			d.advance(3100 * time.Millisecond)
			d.send("1", "/look/1")
			d.Observe(auditor.RunStarted{ID: "1", Upstream: "near", Version: 1})
		}},
		{auditor.Version, "old weights 8.1 s after the store has been steady for 3 s", func(d *scenario) {
			d.Observe(auditor.FaultStarted{Who: auditor.Core})
			d.Observe(auditor.WeightsAnnounced{Version: 2})
			d.advance(time.Second)
			d.Observe(auditor.FaultEnded{Who: auditor.Core})
			d.advance(11100 * time.Millisecond)
			d.send("1", "/look/1")
			d.Observe(auditor.RunStarted{ID: "1", Upstream: "near", Version: 1})
		}},
		{auditor.Drain, "a request 2.1 s after its upstream left", func(d *scenario) {
			d.Observe(auditor.Leaving{Upstream: "near"})
			d.advance(2100 * time.Millisecond)
			d.serve("1", "/look/1", "near")
		}},
		{auditor.LeavingStated, "a request sent 2.1 s after its entry handed on that the upstream leaves", func(d *scenario) {
			d.stateLeaving("1")
			d.Observe(auditor.FaultStarted{Who: "e"})
			d.advance(2100 * time.Millisecond)
			d.serve("2", "/look/2", "near")
		}},
		{auditor.Backoff, "a third request in the backoff that an upstream asked for", func(d *scenario) {
			d.reject("1", 3*time.Second)
			d.advance(600 * time.Millisecond)
			for _, id := range []string{"2", "3", "4"} {
				d.serve(id, "/look/"+id, "near")
			}
		}},
		{auditor.Evacuation, "a request 5.1 s after its failure domain was drained", func(d *scenario) {
			d.Observe(auditor.Drained{FailureDomain: "huon-a"})
			d.advance(5100 * time.Millisecond)
			d.serve("1", "/look/1", "near")
		}},
		{auditor.Cold, "a cold upstream gets too much in a second", func(d *scenario) {
			d.Observe(auditor.Joined{Upstream: "new", Service: "shed", Region: "huon", Cold: time.Second, ColdRate: 4})
			for i := range manyRequests {
				d.serve(string(rune('a'+i)), "/look/1", "new")
			}
		}},
		{auditor.Budget, "requests are repeated too often", func(d *scenario) {
			for i := range manyRequests {
				id := string(rune('a' + i))
				d.send(id, "/look/1")
				d.arriveAndStart(id, "near")
				d.arriveAndStart(id, "far")
			}
		}},
		{auditor.Attempts, "a request runs at three upstreams of two", func(d *scenario) {
			d.send("1", "/look/1")
			d.arriveAndStart("1", "near")
			d.arriveAndStart("1", "far")
			d.arriveAndStart("1", "portal")
		}},
		{auditor.Home, "a request leaves its route's region", func(d *scenario) { d.serve("1", "/home/1", "far") }},
		{auditor.Keys, "a request comes for another workspace", func(d *scenario) {
			d.send("1", "/look/1")
			d.Observe(auditor.Arrived{ID: "1", Upstream: "near", Content: "1", Workspace: "other", Left: time.Second})
		}},
		{auditor.Keys, "a key is passed on", func(d *scenario) {
			d.send("1", "/look/1")
			d.Observe(auditor.Arrived{ID: "1", Upstream: "near", Content: "1", Workspace: "w", Key: "k", Left: time.Second})
		}},
		{auditor.Config, "a service that no table allows", func(d *scenario) { d.serve("1", "/look/1", "portal") }},
		{auditor.Config, "a removed key is used after the bound", func(d *scenario) {
			table := firstTable()
			table.Version, table.Keys = 2, map[string]auditor.Workspace{}
			d.Observe(auditor.Configured{Table: table})
			d.advance(2100 * time.Millisecond)
			d.serve("1", "/look/1", "near")
		}},
		{auditor.Regress, "an entry goes back to the table before", func(d *scenario) {
			table := firstTable()
			table.Version, table.Routes[1].Service = 2, "portal"
			d.Observe(auditor.Configured{Table: table})
			d.serve("1", "/look/1", "portal")
			d.advance(300 * time.Millisecond)
			d.serve("2", "/look/2", "near")
		}},
		{auditor.Denial, "a known route is denied", func(d *scenario) {
			d.send("1", "/look/1")
			d.Observe(auditor.Answered{ID: "1", Status: 404, Whole: true})
		}},
		{auditor.Denial, "entries out of touch deny a known key too often", func(d *scenario) {
			d.Observe(auditor.FaultStarted{Who: auditor.Core})
			for i := range manyRequests {
				d.send(string(rune('a'+i)), "/look/1")
				d.Observe(auditor.Answered{ID: string(rune('a' + i)), Status: 401, Whole: true})
			}
		}},
		{auditor.Graceful, "an entry that stops cuts a request", func(d *scenario) {
			d.send("1", "/look/1")
			d.arriveAndStart("1", "near")
			d.Observe(auditor.Stopping{Entry: "e"})
			d.advance(time.Second)
			d.Observe(auditor.Answered{ID: "1"})
		}},
		{auditor.Graceful, "an entry that reloads cuts a request", func(d *scenario) {
			d.send("1", "/look/1")
			d.arriveAndStart("1", "near")
			d.Observe(auditor.ReloadRequested{Entry: "e"})
			d.advance(time.Second)
			d.Observe(auditor.Answered{ID: "1", Status: 200, Names: "1", Upstream: "near"})
		}},
		{auditor.Kept, "requests are lost on kept connections", func(d *scenario) {
			for i := range manyRequests {
				id := string(rune('a' + i))
				d.Observe(auditor.Sent{ID: id, Entry: "e", Path: "/look/1", Key: "k", Content: id, Limit: time.Second, Kept: true})
				d.arriveAndStart(id, "near")
				d.Observe(auditor.Answered{ID: id})
			}
		}},
		{auditor.Directory, "the directory names an entry that is gone", func(d *scenario) {
			d.Observe(auditor.Started{Entry: "gone"})
			d.Observe(auditor.Exited{Who: "gone"})
			d.advance(6100 * time.Millisecond)
			for range manyRequests {
				d.Observe(auditor.DirectoryAnswered{Entry: "e", Names: []string{"e", "gone"}})
			}
		}},
		{auditor.Deadline, "upstreams get a time limit beyond the caller's", func(d *scenario) {
			for i := range manyRequests {
				d.send(string(rune('a'+i)), "/look/1")
				d.Observe(auditor.Arrived{ID: string(rune('a' + i)), Upstream: "near", Content: string(rune('a' + i)), Workspace: "w", Left: 3 * time.Second})
			}
		}},
		{auditor.Gone, "requests of callers that left are sent on", func(d *scenario) {
			for i := range manyRequests {
				id := string(rune('a' + i))
				d.send(id, "/look/1")
				d.Observe(auditor.Answered{ID: id, Expired: true})
				d.advance(600 * time.Millisecond)
				d.arriveAndStart(id, "near")
			}
		}},
		{auditor.Abandoned, "runs go on after their callers left", func(d *scenario) {
			for i := range manyRequests {
				id := string(rune('a' + i))
				d.abandon(id)
				d.advance(600 * time.Millisecond)
				d.Observe(auditor.RunEnded{ID: id, Upstream: "near"})
			}
		}},
		{auditor.Reload, "a process does not receive the signal to reload its settings", func(d *scenario) {
			d.Observe(auditor.ReloadRequested{Entry: "e"})
			d.advance(time.Second)
			d.Observe(auditor.Reloaded{Wanted: auditor.ReloadResult{Who: "e"}, Said: auditor.ReloadResult{Who: "e", Lost: true}})
		}},
		{auditor.Reload, "a process misses a change of its settings", func(d *scenario) {
			d.Observe(auditor.ReloadRequested{Entry: "e"})
			d.Observe(auditor.Reloaded{Wanted: auditor.ReloadResult{Who: "e", Changed: true}, Said: auditor.ReloadResult{Who: "e"}})
		}},
		{auditor.Reload, "a process takes faulty settings", func(d *scenario) {
			d.Observe(auditor.ReloadRequested{Entry: "e"})
			d.Observe(auditor.Reloaded{Wanted: auditor.ReloadResult{Who: "e", Faulty: true}, Said: auditor.ReloadResult{Who: "e", Changed: true}})
		}},
		{auditor.Exit, "a process ends by itself", func(d *scenario) { d.Observe(auditor.Exited{Who: "e", Alone: true}) }},
		{auditor.Recovery, "service does not come back", func(d *scenario) {
			since := d.clock.Now()
			d.send("1", "/look/1")
			d.advance(time.Second)
			d.Observe(auditor.Answered{ID: "1", Status: 503, Whole: true})
			d.Finish(since)
		}},
	}
	cases = append(cases, fatalCases...)
	cases = append(cases, repliedCases...)
	cases = append(cases, floodCases...)
	cases = append(cases, unreadCases...)
	covered := map[auditor.Promise]bool{}
	for _, c := range cases {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			d := newScenario()
			c.history(d)
			must.Positive(t, d.Failed(c.promise))
			must.False(t, d.Report(t.Output()))
		})
		covered[c.promise] = true
	}
	for _, p := range auditor.Promises {
		must.True(t, covered[p], must.Sprintf("no history breaks %q", p))
	}
}

// Guards against false alarms, which would get soak failures ignored. Each history comes close to
// breaking a promise without doing so.
func TestAuditorAcceptsAllowedHistories(t *testing.T) {
	cases := []allowedCase{
		{"an ordinary request", func(d *scenario) { d.serve("1", "/book/1", "near") }},
		{"a whole stream", func(d *scenario) {
			d.stream(true, auditor.Part{Number: 1, Version: 1}, auditor.Part{Number: 2, Version: 1}, auditor.Part{Number: 3, Version: 1})
		}},
		{"a stream at which two upstreams failed, whole at a third or visibly cut", func(d *scenario) {
			d.failTwice(true, auditor.Part{Number: 1, Version: 1}, auditor.Part{Number: 2, Version: 1}, auditor.Part{Number: 3, Version: 1})
			d.failTwice(false, auditor.Part{Number: 1, Version: 1})
		}},
		{"old weights within the bound", func(d *scenario) {
			d.Observe(auditor.WeightsAnnounced{Version: 2})
			d.advance(7900 * time.Millisecond)
			d.send("1", "/look/1")
			d.Observe(auditor.RunStarted{ID: "1", Upstream: "near", Version: 1})
		}},
		{"old weights 8.1 s after the store came back, and 5.1 s after it counts as steady", func(d *scenario) {
			d.Observe(auditor.FaultStarted{Who: auditor.Core})
			d.Observe(auditor.WeightsAnnounced{Version: 2})
			d.advance(time.Second)
			d.Observe(auditor.FaultEnded{Who: auditor.Core})
			d.advance(8100 * time.Millisecond)
			d.send("1", "/look/1")
			d.Observe(auditor.RunStarted{ID: "1", Upstream: "near", Version: 1})
		}},
		{"old weights for a request that a cut link held up", func(d *scenario) {
			d.Observe(auditor.WeightsAnnounced{Version: 2})
			d.advance(6 * time.Second)
			d.Observe(auditor.FaultStarted{Who: "near"})
			d.send("1", "/look/1")
			d.advance(2200 * time.Millisecond)
			d.Observe(auditor.FaultEnded{Who: "near"})
			d.Observe(auditor.RunStarted{ID: "1", Upstream: "near", Version: 1})
		}},
		{"requests sent soon after an answer that states a leaving, and later ones elsewhere", func(d *scenario) {
			d.stateLeaving("1")
			d.advance(1900 * time.Millisecond)
			d.serve("2", "/look/2", "near")
			d.advance(time.Second)
			d.serve("3", "/look/3", "far")
		}},
		{"requests in transit to an upstream that asked for a backoff, two more, some elsewhere, and those after it", func(d *scenario) {
			d.reject("1", 3*time.Second)
			for i, id := range []string{"2", "3", "4", "5", "6", "7"} {
				d.serve(id, "/look/"+id, "near")
				d.serve("far"+id, "/look/"+id, "far")
				if i == 2 {
					d.advance(500 * time.Millisecond)
				}
				if i == 4 {
					d.advance(3 * time.Second)
				}
			}
		}},
		{"backoffs that an entry did not receive, after a restart or as its caller left", func(d *scenario) {
			d.stateLeaving("1")
			d.reject("2", 3*time.Second)
			d.Observe(auditor.Started{Entry: "e"})
			d.advance(time.Second)
			d.send("3", "/look/3")
			d.Observe(auditor.Answered{ID: "3", Expired: true})
			d.Observe(auditor.Rejected{ID: "3", Upstream: "near", Rest: 9 * time.Second})
			d.advance(1500 * time.Millisecond)
			for _, id := range []string{"4", "5", "6"} {
				d.serve(id, "/look/"+id, "near")
			}
		}},
		{"an entry that was paused a moment ago", func(d *scenario) {
			d.Observe(auditor.Leaving{Upstream: "near"})
			d.Observe(auditor.FaultStarted{Who: "e"})
			d.advance(3 * time.Second)
			d.Observe(auditor.FaultEnded{Who: "e"})
			d.advance(2900 * time.Millisecond)
			d.serve("1", "/look/1", "near")
		}},
		{"a drained failure domain within the bound, and once it is taken back", func(d *scenario) {
			d.Observe(auditor.Drained{FailureDomain: "huon-a"})
			d.advance(4900 * time.Millisecond)
			d.serve("1", "/look/1", "near")
			d.advance(2 * time.Second)
			d.Observe(auditor.Undrained{FailureDomain: "huon-a"})
			d.serve("2", "/look/2", "near")
		}},
		{"runs that end soon after their callers left, or were nearly done", func(d *scenario) {
			for i := range manyRequests {
				id := string(rune('a' + i))
				d.abandon(id)
				d.advance(400 * time.Millisecond)
				d.Observe(auditor.RunEnded{ID: id, Upstream: "near"})
				d.send(id+"short", "/look/1")
				d.arriveAndStart(id+"short", "near")
				d.Observe(auditor.Answered{ID: id + "short", Expired: true})
				d.advance(600 * time.Millisecond)
				d.Observe(auditor.RunEnded{ID: id + "short", Upstream: "near"})
			}
		}},
		{"settings read again by a process that ends meanwhile", func(d *scenario) {
			d.Observe(auditor.ReloadRequested{Entry: "e"})
			d.Observe(auditor.Started{Entry: "e"})
			d.Observe(auditor.Reloaded{Wanted: auditor.ReloadResult{Who: "e"}, Said: auditor.ReloadResult{Who: "e", Lost: true}})
		}},
		{"an upstream that breaks off as its entry stops", func(d *scenario) {
			d.send("1", "/look/1")
			d.arriveAndStart("1", "near")
			d.Observe(auditor.Stopping{Entry: "e"})
			d.Observe(auditor.RunEnded{ID: "1", Upstream: "near", Broken: true})
			d.Observe(auditor.Answered{ID: "1"})
		}},
	}
	cases = append(cases, allowedFatalCases...)
	cases = append(cases, allowedRepliedCases...)
	cases = append(cases, allowedFloodCases...)
	cases = append(cases, allowedUnreadCases...)
	for _, c := range cases {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			d := newScenario()
			c.history(d)
			must.True(t, d.Report(t.Output()))
		})
	}
}
