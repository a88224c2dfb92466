package auditor_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	testclock "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/soak/auditor"
)

// day is a history that a test writes.
type day struct {
	*auditor.Auditor
	clock *testclock.FakePassiveClock
}

var bounds = auditor.Bounds{
	StableWindow: 3 * time.Second, Drain: 2 * time.Second, Evacuate: 5 * time.Second, ConfigApply: 2 * time.Second,
	Weights: 8 * time.Second, RollbackSlack: 250 * time.Millisecond, Grace: 8 * time.Second, LossSlack: 200 * time.Millisecond,
	RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 2, ColdFactor: 1.5, ColdSlack: 5,
}

// firstTable has a route that may not be repeated, one that may, and one with a home.
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

// newDay is a deployment that has run undisturbed for a while.
func newDay() *day {
	c := testclock.NewFakePassiveClock(time.Unix(1000, 0))
	d := &day{&auditor.Auditor{Bounds: bounds, Clock: c}, c}
	d.Note(auditor.Configured{Table: firstTable()})
	d.Note(auditor.Named{Version: 1})
	d.Note(auditor.Started{Entry: "e"})
	for _, u := range []auditor.Joined{
		{Upstream: "near", Service: "shed", FailureDomain: "huon-a", Region: "huon"},
		{Upstream: "far", Service: "shed", FailureDomain: "derwent-a", Region: "derwent"},
		{Upstream: "portal", Service: "portal", FailureDomain: "huon-a", Region: "huon"},
	} {
		d.Note(u)
	}
	d.after(10 * time.Second)
	return d
}

func (d *day) after(t time.Duration) { d.clock.SetTime(d.clock.Now().Add(t)) }

func (d *day) send(id, path string) {
	d.Note(auditor.Sent{ID: id, Entry: "e", Path: path, Key: "k", Content: id, Limit: 2 * time.Second})
}

// reach has a request arrive and begin at an upstream.
func (d *day) reach(id, upstream string) {
	d.Note(auditor.Arrived{ID: id, Upstream: upstream, Content: id, Workspace: "w", Left: time.Second})
	d.Note(auditor.Began{ID: id, Upstream: upstream})
}

func (d *day) answer(id, upstream string) {
	d.Note(auditor.Answered{ID: id, Status: 200, Names: id, Upstream: upstream, Whole: true})
}

// serve is a request that goes well.
func (d *day) serve(id, path, upstream string) {
	d.send(id, path)
	d.reach(id, upstream)
	d.after(20 * time.Millisecond)
	d.answer(id, upstream)
}

// stateLeaving is a request whose answer says that its upstream, near, leaves.
func (d *day) stateLeaving(id string) {
	d.send(id, "/look/1")
	d.reach(id, "near")
	d.Note(auditor.Answered{ID: id, Status: 200, Names: id, Upstream: "near", Whole: true, Leaving: true})
}

// reject is a request that near refuses, asking for rest.
func (d *day) reject(id string, rest time.Duration) {
	d.send(id, "/look/1")
	d.Note(auditor.Arrived{ID: id, Upstream: "near", Content: id, Workspace: "w", Left: time.Second})
	d.Note(auditor.Rejected{ID: id, Upstream: "near", Rest: rest})
	d.Note(auditor.Answered{ID: id, Status: 503, Whole: true})
}

// abandon sends a request for a long stream that begins to run and whose caller leaves.
func (d *day) abandon(id string) {
	d.Note(auditor.Sent{ID: id, Entry: "e", Path: "/look/1", Key: "k", Content: id, Limit: 2 * time.Second, Events: 9, Lasts: time.Second})
	d.reach(id, "near")
	d.after(20 * time.Millisecond)
	d.Note(auditor.Answered{ID: id, Status: 200, Names: id, Upstream: "near", Expired: true})
}

// stream sends a request for three events and gives what came.
func (d *day) stream(whole bool, parts ...auditor.Part) {
	d.Note(auditor.Sent{ID: "s", Entry: "e", Path: "/look/s", Key: "k", Content: "s", Limit: time.Second, Events: 3})
	d.reach("s", "near")
	d.Note(auditor.Answered{ID: "s", Status: 200, Names: "s", Upstream: "near", Whole: whole, Parts: parts})
}

// failTwice sends a request for three events, at which two upstreams fail, and gives what came.
func (d *day) failTwice(whole bool, parts ...auditor.Part) {
	d.Note(auditor.Sent{ID: "s", Entry: "e", Path: "/look/s", Key: "k", Content: "s", Limit: time.Second, Events: 3})
	for _, upstream := range []string{"near", "far"} {
		d.reach("s", upstream)
		d.Note(auditor.Failed{ID: "s", Upstream: upstream})
		d.Note(auditor.Ended{ID: "s", Upstream: upstream, Broken: true, Events: 1})
	}
	d.Note(auditor.Answered{ID: "s", Status: 200, Names: "s", Upstream: "near", Whole: whole, Parts: parts})
}

// reached is how many requests are made where a promise bears some.
const reached = 30

// brokenCase is a history that breaks a promise, allowedCase one that breaks none.
type (
	brokenCase struct {
		promise auditor.Promise
		name    string
		history func(d *day)
	}
	allowedCase struct {
		name    string
		history func(d *day)
	}
)

// A soak whose checks see nothing reports every run as kept, and faults of the system
// would pass for months. Each history here breaks one promise, which must be noticed;
// those before them break none, which must stay so.
func TestAuditorNoticesEachBrokenPromise(t *testing.T) {
	cases := []brokenCase{
		{auditor.Once, "a booking runs at two upstreams", func(d *day) {
			d.send("1", "/book/1")
			d.reach("1", "near")
			d.reach("1", "far")
		}},
		{auditor.Refusal, "a booking is refused after it ran", func(d *day) {
			d.send("1", "/book/1")
			d.reach("1", "near")
			d.Note(auditor.Answered{ID: "1", Status: 503, Whole: true})
		}},
		{auditor.Refusal, "a booking runs after it was refused", func(d *day) {
			d.send("1", "/book/1")
			d.Note(auditor.Answered{ID: "1", Status: 429, Whole: true})
			d.reach("1", "near")
		}},
		{auditor.Whole, "an answer without a seal", func(d *day) {
			d.send("1", "/look/1")
			d.reach("1", "near")
			d.Note(auditor.Answered{ID: "1", Status: 200, Names: "1", Whole: true})
		}},
		{auditor.Whole, "an answer to another request", func(d *day) {
			d.send("1", "/look/1")
			d.reach("1", "near")
			d.Note(auditor.Answered{ID: "1", Status: 200, Names: "2", Upstream: "near", Whole: true})
		}},
		{auditor.Whole, "a seal of an upstream that did not run it", func(d *day) {
			d.send("1", "/look/1")
			d.answer("1", "near")
		}},
		{auditor.Whole, "a status that the upstream did not give", func(d *day) {
			d.send("1", "/look/1")
			d.reach("1", "near")
			d.Note(auditor.Answered{ID: "1", Status: 500, Names: "1", Upstream: "near", Forged: true, Whole: true})
		}},
		{auditor.Whole, "a short body that looks complete", func(d *day) {
			d.send("1", "/look/1")
			d.reach("1", "near")
			d.Note(auditor.Answered{ID: "1", Status: 200, Names: "1", Upstream: "near", Whole: true, WrongBody: true})
		}},
		{auditor.Whole, "an event of another stream", func(d *day) { d.stream(false, auditor.Part{Number: 1, Version: 1, Foreign: true}) }},
		{auditor.Unchanged, "a request that nobody sent", func(d *day) { d.reach("x", "near") }},
		{auditor.Unchanged, "a request with a changed body", func(d *day) {
			d.send("1", "/look/1")
			d.Note(auditor.Arrived{ID: "1", Upstream: "near", Content: "other", Workspace: "w", Left: time.Second})
		}},
		{auditor.Stream, "an event is missing", func(d *day) {
			d.stream(false, auditor.Part{Number: 1, Version: 1}, auditor.Part{Number: 3, Version: 1})
		}},
		{auditor.Stream, "an event comes twice", func(d *day) {
			d.stream(false, auditor.Part{Number: 1, Version: 1}, auditor.Part{Number: 1, Version: 1})
		}},
		{auditor.Stream, "the weights change on the way", func(d *day) {
			d.stream(false, auditor.Part{Number: 1, Version: 1}, auditor.Part{Number: 2, Version: 2})
		}},
		{auditor.Stream, "it ends as complete before its last event", func(d *day) { d.stream(true, auditor.Part{Number: 1, Version: 1}) }},
		{auditor.FailedTwice, "a stream at which two upstreams failed ends as complete without an event", func(d *day) {
			d.failTwice(true, auditor.Part{Number: 1, Version: 1}, auditor.Part{Number: 2, Version: 1})
		}},
		{auditor.FailedTwice, "a stream at which two upstreams failed ends as complete with an event twice", func(d *day) {
			d.failTwice(true, auditor.Part{Number: 1, Version: 1}, auditor.Part{Number: 1, Version: 1}, auditor.Part{Number: 3, Version: 1})
		}},
		{auditor.FailedTwice, "a stream at which two upstreams failed ends as complete on other weights", func(d *day) {
			d.failTwice(true, auditor.Part{Number: 1, Version: 1}, auditor.Part{Number: 2, Version: 2}, auditor.Part{Number: 3, Version: 2})
		}},
		{auditor.Cut, "a cut reply ends as complete with its half", func(d *day) {
			d.send("1", "/look/1")
			d.reach("1", "near")
			d.Note(auditor.Ended{ID: "1", Upstream: "near", Broken: true})
			d.Note(auditor.Answered{ID: "1", Status: 200, Names: "1", Upstream: "near", Whole: true, WrongBody: true})
		}},
		{auditor.Cut, "a cut stream ends as complete", func(d *day) {
			d.Note(auditor.Sent{ID: "s", Entry: "e", Path: "/look/s", Key: "k", Content: "s", Limit: time.Second, Events: 3})
			d.reach("s", "near")
			d.Note(auditor.Ended{ID: "s", Upstream: "near", Broken: true})
			d.Note(auditor.Answered{ID: "s", Status: 200, Names: "s", Upstream: "near", Whole: true, Parts: []auditor.Part{{Number: 1, Version: 1}}})
		}},
		{auditor.Weights, "a reply from weights with a wrong chunk", func(d *day) {
			d.send("1", "/look/1")
			d.Note(auditor.Began{ID: "1", Upstream: "near", Version: 1, Spoilt: true})
		}},
		{auditor.Version, "old weights 8.1 s after newer ones were named", func(d *day) {
			d.Note(auditor.Named{Version: 2})
			d.after(8100 * time.Millisecond)
			d.send("1", "/look/1")
			d.Note(auditor.Began{ID: "1", Upstream: "near", Version: 1})
		}},
		{auditor.Version, "two namings in a row: the first one binds", func(d *day) {
			d.Note(auditor.Named{Version: 2})
			d.after(5 * time.Second)
			d.Note(auditor.Named{Version: 3})
			d.after(3100 * time.Millisecond)
			d.send("1", "/look/1")
			d.Note(auditor.Began{ID: "1", Upstream: "near", Version: 1})
		}},
		{auditor.Version, "old weights 8.1 s after the store has been steady for 3 s", func(d *day) {
			d.Note(auditor.Disturbed{Who: auditor.Core})
			d.Note(auditor.Named{Version: 2})
			d.after(time.Second)
			d.Note(auditor.Calmed{Who: auditor.Core})
			d.after(11100 * time.Millisecond)
			d.send("1", "/look/1")
			d.Note(auditor.Began{ID: "1", Upstream: "near", Version: 1})
		}},
		{auditor.Drain, "a request 2.1 s after its upstream left", func(d *day) {
			d.Note(auditor.Leaving{Upstream: "near"})
			d.after(2100 * time.Millisecond)
			d.serve("1", "/look/1", "near")
		}},
		{auditor.LeavingStated, "a request sent 2.1 s after its entry handed on that the upstream leaves", func(d *day) {
			d.stateLeaving("1")
			d.Note(auditor.Disturbed{Who: "e"})
			d.after(2100 * time.Millisecond)
			d.serve("2", "/look/2", "near")
		}},
		{auditor.Rest, "a third request in the rest that an upstream asked for", func(d *day) {
			d.reject("1", 3*time.Second)
			d.after(600 * time.Millisecond)
			for _, id := range []string{"2", "3", "4"} {
				d.serve(id, "/look/"+id, "near")
			}
		}},
		{auditor.Evacuation, "a request 5.1 s after its failure domain was drained", func(d *day) {
			d.Note(auditor.Drained{FailureDomain: "huon-a"})
			d.after(5100 * time.Millisecond)
			d.serve("1", "/look/1", "near")
		}},
		{auditor.Cold, "a cold upstream gets too much in a second", func(d *day) {
			d.Note(auditor.Joined{Upstream: "new", Service: "shed", Region: "huon", Cold: time.Second, ColdRate: 4})
			for i := range reached {
				d.serve(string(rune('a'+i)), "/look/1", "new")
			}
		}},
		{auditor.Budget, "requests are repeated too often", func(d *day) {
			for i := range reached {
				id := string(rune('a' + i))
				d.send(id, "/look/1")
				d.reach(id, "near")
				d.reach(id, "far")
			}
		}},
		{auditor.Attempts, "a request runs at three upstreams of two", func(d *day) {
			d.send("1", "/look/1")
			d.reach("1", "near")
			d.reach("1", "far")
			d.reach("1", "portal")
		}},
		{auditor.Home, "a request leaves its route's region", func(d *day) { d.serve("1", "/home/1", "far") }},
		{auditor.Keys, "a request comes for another workspace", func(d *day) {
			d.send("1", "/look/1")
			d.Note(auditor.Arrived{ID: "1", Upstream: "near", Content: "1", Workspace: "other", Left: time.Second})
		}},
		{auditor.Keys, "a key is passed on", func(d *day) {
			d.send("1", "/look/1")
			d.Note(auditor.Arrived{ID: "1", Upstream: "near", Content: "1", Workspace: "w", Key: "k", Left: time.Second})
		}},
		{auditor.Config, "a service that no table allows", func(d *day) { d.serve("1", "/look/1", "portal") }},
		{auditor.Config, "a removed key is used after the bound", func(d *day) {
			table := firstTable()
			table.Version, table.Keys = 2, map[string]auditor.Workspace{}
			d.Note(auditor.Configured{Table: table})
			d.after(2100 * time.Millisecond)
			d.serve("1", "/look/1", "near")
		}},
		{auditor.Regress, "an entry goes back to the table before", func(d *day) {
			table := firstTable()
			table.Version, table.Routes[1].Service = 2, "portal"
			d.Note(auditor.Configured{Table: table})
			d.serve("1", "/look/1", "portal")
			d.after(300 * time.Millisecond)
			d.serve("2", "/look/2", "near")
		}},
		{auditor.Denial, "a known route is denied", func(d *day) {
			d.send("1", "/look/1")
			d.Note(auditor.Answered{ID: "1", Status: 404, Whole: true})
		}},
		{auditor.Denial, "entries out of touch deny a known key too often", func(d *day) {
			d.Note(auditor.Disturbed{Who: auditor.Core})
			for i := range reached {
				d.send(string(rune('a'+i)), "/look/1")
				d.Note(auditor.Answered{ID: string(rune('a' + i)), Status: 401, Whole: true})
			}
		}},
		{auditor.Graceful, "an entry that stops cuts a request", func(d *day) {
			d.send("1", "/look/1")
			d.reach("1", "near")
			d.Note(auditor.Stopping{Entry: "e"})
			d.after(time.Second)
			d.Note(auditor.Answered{ID: "1"})
		}},
		{auditor.Graceful, "an entry that reloads cuts a request", func(d *day) {
			d.send("1", "/look/1")
			d.reach("1", "near")
			d.Note(auditor.HungUp{Entry: "e"})
			d.after(time.Second)
			d.Note(auditor.Answered{ID: "1", Status: 200, Names: "1", Upstream: "near"})
		}},
		{auditor.Kept, "requests are lost on kept connections", func(d *day) {
			for i := range reached {
				id := string(rune('a' + i))
				d.Note(auditor.Sent{ID: id, Entry: "e", Path: "/look/1", Key: "k", Content: id, Limit: time.Second, Kept: true})
				d.reach(id, "near")
				d.Note(auditor.Answered{ID: id})
			}
		}},
		{auditor.Directory, "the directory names an entry that is gone", func(d *day) {
			d.Note(auditor.Started{Entry: "gone"})
			d.Note(auditor.Exited{Who: "gone"})
			d.after(6100 * time.Millisecond)
			for range reached {
				d.Note(auditor.Directed{Entry: "e", Names: []string{"e", "gone"}})
			}
		}},
		{auditor.Deadline, "upstreams are told to work beyond the caller's limit", func(d *day) {
			for i := range reached {
				d.send(string(rune('a'+i)), "/look/1")
				d.Note(auditor.Arrived{ID: string(rune('a' + i)), Upstream: "near", Content: string(rune('a' + i)), Workspace: "w", Left: 3 * time.Second})
			}
		}},
		{auditor.Gone, "requests of callers that left are sent on", func(d *day) {
			for i := range reached {
				id := string(rune('a' + i))
				d.send(id, "/look/1")
				d.Note(auditor.Answered{ID: id, Expired: true})
				d.after(600 * time.Millisecond)
				d.reach(id, "near")
			}
		}},
		{auditor.Abandoned, "runs go on after their callers left", func(d *day) {
			for i := range reached {
				id := string(rune('a' + i))
				d.abandon(id)
				d.after(600 * time.Millisecond)
				d.Note(auditor.Ended{ID: id, Upstream: "near"})
			}
		}},
		{auditor.Reload, "a process does not hear that it is to read its settings", func(d *day) {
			d.Note(auditor.HungUp{Entry: "e"})
			d.after(time.Second)
			d.Note(auditor.Reloaded{Wanted: auditor.Reread{Who: "e"}, Said: auditor.Reread{Who: "e", Lost: true}})
		}},
		{auditor.Reload, "a process misses a change of its settings", func(d *day) {
			d.Note(auditor.HungUp{Entry: "e"})
			d.Note(auditor.Reloaded{Wanted: auditor.Reread{Who: "e", Changed: true}, Said: auditor.Reread{Who: "e"}})
		}},
		{auditor.Reload, "a process takes faulty settings", func(d *day) {
			d.Note(auditor.HungUp{Entry: "e"})
			d.Note(auditor.Reloaded{Wanted: auditor.Reread{Who: "e", Faulty: true}, Said: auditor.Reread{Who: "e", Changed: true}})
		}},
		{auditor.Exit, "a process ends by itself", func(d *day) { d.Note(auditor.Exited{Who: "e", Alone: true}) }},
		{auditor.Recovery, "service does not come back", func(d *day) {
			since := d.clock.Now()
			d.send("1", "/look/1")
			d.after(time.Second)
			d.Note(auditor.Answered{ID: "1", Status: 503, Whole: true})
			d.Finish(since)
		}},
	}
	cases = append(cases, fatalCases...)
	cases = append(cases, repliedCases...)
	cases = append(cases, floodCases...)
	cases = append(cases, unreadCases...)
	noticed := map[auditor.Promise]bool{}
	for _, c := range cases {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			d := newDay()
			c.history(d)
			must.Positive(t, d.Failed(c.promise))
			must.False(t, d.Report(t.Output()))
		})
		noticed[c.promise] = true
	}
	for _, p := range auditor.Promises {
		must.True(t, noticed[p], must.Sprintf("no history breaks %q", p))
	}
}

// What the bounds allow must not be reported: a soak that cries wolf is ignored. Each
// history here comes close to breaking a promise.
func TestAuditorAcceptsWhatTheBoundsAllow(t *testing.T) {
	cases := []allowedCase{
		{"an ordinary request", func(d *day) { d.serve("1", "/book/1", "near") }},
		{"a whole stream", func(d *day) {
			d.stream(true, auditor.Part{Number: 1, Version: 1}, auditor.Part{Number: 2, Version: 1}, auditor.Part{Number: 3, Version: 1})
		}},
		{"a stream at which two upstreams failed, whole at a third or visibly cut", func(d *day) {
			d.failTwice(true, auditor.Part{Number: 1, Version: 1}, auditor.Part{Number: 2, Version: 1}, auditor.Part{Number: 3, Version: 1})
			d.failTwice(false, auditor.Part{Number: 1, Version: 1})
		}},
		{"old weights within the bound", func(d *day) {
			d.Note(auditor.Named{Version: 2})
			d.after(7900 * time.Millisecond)
			d.send("1", "/look/1")
			d.Note(auditor.Began{ID: "1", Upstream: "near", Version: 1})
		}},
		{"old weights 8.1 s after the store came back, and 5.1 s after it counts as steady", func(d *day) {
			d.Note(auditor.Disturbed{Who: auditor.Core})
			d.Note(auditor.Named{Version: 2})
			d.after(time.Second)
			d.Note(auditor.Calmed{Who: auditor.Core})
			d.after(8100 * time.Millisecond)
			d.send("1", "/look/1")
			d.Note(auditor.Began{ID: "1", Upstream: "near", Version: 1})
		}},
		{"old weights for a request that a cut link held up", func(d *day) {
			d.Note(auditor.Named{Version: 2})
			d.after(6 * time.Second)
			d.Note(auditor.Disturbed{Who: "near"})
			d.send("1", "/look/1")
			d.after(2200 * time.Millisecond)
			d.Note(auditor.Calmed{Who: "near"})
			d.Note(auditor.Began{ID: "1", Upstream: "near", Version: 1})
		}},
		{"requests sent soon after an answer that states a leaving, and later ones elsewhere", func(d *day) {
			d.stateLeaving("1")
			d.after(1900 * time.Millisecond)
			d.serve("2", "/look/2", "near")
			d.after(time.Second)
			d.serve("3", "/look/3", "far")
		}},
		{"requests on their way to an upstream that asked for rest, two more, some elsewhere, and those after it", func(d *day) {
			d.reject("1", 3*time.Second)
			for i, id := range []string{"2", "3", "4", "5", "6", "7"} {
				d.serve(id, "/look/"+id, "near")
				d.serve("far"+id, "/look/"+id, "far")
				if i == 2 {
					d.after(500 * time.Millisecond)
				}
				if i == 4 {
					d.after(3 * time.Second)
				}
			}
		}},
		{"rests that an entry doesn't know of, after a restart or as its caller left", func(d *day) {
			d.stateLeaving("1")
			d.reject("2", 3*time.Second)
			d.Note(auditor.Started{Entry: "e"})
			d.after(time.Second)
			d.send("3", "/look/3")
			d.Note(auditor.Answered{ID: "3", Expired: true})
			d.Note(auditor.Rejected{ID: "3", Upstream: "near", Rest: 9 * time.Second})
			d.after(1500 * time.Millisecond)
			for _, id := range []string{"4", "5", "6"} {
				d.serve(id, "/look/"+id, "near")
			}
		}},
		{"an entry that was paused a moment ago", func(d *day) {
			d.Note(auditor.Leaving{Upstream: "near"})
			d.Note(auditor.Disturbed{Who: "e"})
			d.after(3 * time.Second)
			d.Note(auditor.Calmed{Who: "e"})
			d.after(2900 * time.Millisecond)
			d.serve("1", "/look/1", "near")
		}},
		{"a drained failure domain within the bound, and once it is taken back", func(d *day) {
			d.Note(auditor.Drained{FailureDomain: "huon-a"})
			d.after(4900 * time.Millisecond)
			d.serve("1", "/look/1", "near")
			d.after(2 * time.Second)
			d.Note(auditor.Returned{FailureDomain: "huon-a"})
			d.serve("2", "/look/2", "near")
		}},
		{"runs that end soon after their callers left, or were nearly done", func(d *day) {
			for i := range reached {
				id := string(rune('a' + i))
				d.abandon(id)
				d.after(400 * time.Millisecond)
				d.Note(auditor.Ended{ID: id, Upstream: "near"})
				d.send(id+"short", "/look/1")
				d.reach(id+"short", "near")
				d.Note(auditor.Answered{ID: id + "short", Expired: true})
				d.after(600 * time.Millisecond)
				d.Note(auditor.Ended{ID: id + "short", Upstream: "near"})
			}
		}},
		{"settings read again by a process that ends meanwhile", func(d *day) {
			d.Note(auditor.HungUp{Entry: "e"})
			d.Note(auditor.Started{Entry: "e"})
			d.Note(auditor.Reloaded{Wanted: auditor.Reread{Who: "e"}, Said: auditor.Reread{Who: "e", Lost: true}})
		}},
		{"an upstream that breaks off as its entry stops", func(d *day) {
			d.send("1", "/look/1")
			d.reach("1", "near")
			d.Note(auditor.Stopping{Entry: "e"})
			d.Note(auditor.Ended{ID: "1", Upstream: "near", Broken: true})
			d.Note(auditor.Answered{ID: "1"})
		}},
	}
	cases = append(cases, allowedFatalCases...)
	cases = append(cases, allowedRepliedCases...)
	cases = append(cases, allowedFloodCases...)
	cases = append(cases, allowedUnreadCases...)
	for _, c := range cases {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			d := newDay()
			c.history(d)
			must.True(t, d.Report(t.Output()))
		})
	}
}
