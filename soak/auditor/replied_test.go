package auditor_test

import (
	"time"

	"github.com/oriolecroft/oriolecroft/soak/auditor"
)

// endConnection records that a request's connection ends before its answer is complete.
func (d *scenario) endConnection(id string) {
	d.advance(1400 * time.Millisecond)
	d.Observe(auditor.Answered{ID: id})
}

// repliedCases lose requests that were read.
var repliedCases = []brokenCase{
	{auditor.Replied, "a stream is cut while its upstream pauses", func(d *scenario) {
		d.send("1", "/look/1")
		d.arriveAndStart("1", "near")
		d.advance(1400 * time.Millisecond)
		d.Observe(auditor.Answered{ID: "1", Status: 200, Names: "1", Upstream: "near", Parts: []auditor.Part{{Number: 1, Version: 1}}})
	}},
	{auditor.Replied, "the second upstream breaks off while the first one pauses", func(d *scenario) {
		d.send("1", "/look/1")
		d.arriveAndStart("1", "near")
		d.advance(time.Second)
		d.arriveAndStart("1", "far")
		d.Observe(auditor.RunEnded{ID: "1", Upstream: "far", Broken: true})
		d.Observe(auditor.Answered{ID: "1"})
	}},
	{auditor.Replied, "a request that no upstream got ends without a status beside a change of the table", func(d *scenario) {
		d.send("1", "/look/1")
		d.Observe(auditor.Configured{Table: firstTable()})
		d.endConnection("1")
	}},
	{auditor.Replied, "an entry whose way to the store is cut ends a request without a status", func(d *scenario) {
		d.Observe(auditor.FaultStarted{Who: "e"})
		d.send("1", "/look/1")
		d.arriveAndStart("1", "near")
		d.endConnection("1")
	}},
	{auditor.Replied, "the second upstream fails with a status while the first one pauses", func(d *scenario) {
		d.send("1", "/look/1")
		d.arriveAndStart("1", "near")
		d.advance(time.Second)
		d.arriveAndStart("1", "far")
		d.Observe(auditor.Failed{ID: "1", Upstream: "far"})
		d.Observe(auditor.Answered{ID: "1"})
	}},
	{auditor.Replied, "the upstream broke off a request before this one", func(d *scenario) {
		d.send("1", "/look/1")
		d.Observe(auditor.FaultStarted{Who: "near"})
		d.Observe(auditor.FaultEnded{Who: "near"})
		d.advance(time.Second)
		d.send("2", "/look/2")
		d.arriveAndStart("2", "near")
		d.endConnection("2")
	}},
}

// allowedRepliedCases end requests in ways that the promise allows.
var allowedRepliedCases = []allowedCase{
	{"a reply that the only upstream broke off", func(d *scenario) {
		d.send("1", "/look/1")
		d.arriveAndStart("1", "near")
		d.Observe(auditor.RunEnded{ID: "1", Upstream: "near", Broken: true})
		d.endConnection("1")
	}},
	{"the second upstream takes over while the first one pauses, and breaks off", func(d *scenario) {
		d.send("1", "/look/1")
		d.arriveAndStart("1", "near")
		d.advance(time.Second)
		d.arriveAndStart("1", "far")
		d.Observe(auditor.RunEnded{ID: "1", Upstream: "far", Broken: true, Events: 1})
		d.Observe(auditor.Answered{ID: "1"})
	}},
	{"a stream whose first upstream crashes and whose second one fails with a status", func(d *scenario) {
		d.send("1", "/look/1")
		d.arriveAndStart("1", "near")
		d.Observe(auditor.FaultStarted{Who: "near"})
		d.arriveAndStart("1", "far")
		d.Observe(auditor.Failed{ID: "1", Upstream: "far"})
		d.endConnection("1")
	}},
	{"a reply whose upstream's link was reset", func(d *scenario) {
		d.send("1", "/look/1")
		d.arriveAndStart("1", "near")
		d.Observe(auditor.FaultStarted{Who: "near"})
		d.Observe(auditor.FaultEnded{Who: "near"})
		d.endConnection("1")
	}},
	{"a request whose time is over, and one whose caller left", func(d *scenario) {
		d.send("1", "/look/1")
		d.arriveAndStart("1", "near")
		d.advance(1980 * time.Millisecond)
		d.Observe(auditor.Answered{ID: "1"})
		d.send("2", "/look/2")
		d.arriveAndStart("2", "near")
		d.Observe(auditor.Answered{ID: "2", Expired: true})
	}},
	{"requests of an entry that was killed or suspended", func(d *scenario) {
		d.send("1", "/look/1")
		d.arriveAndStart("1", "near")
		d.Observe(auditor.FaultStarted{Who: "e", Halted: true})
		d.Observe(auditor.FaultEnded{Who: "e"})
		d.endConnection("1")
	}},
	{"a request that crossed the close of its connection", func(d *scenario) {
		d.send("1", "/look/1")
		d.advance(100 * time.Millisecond)
		d.Observe(auditor.Answered{ID: "1"})
	}},
	{"a refusal of a request that was read", func(d *scenario) {
		d.send("1", "/look/1")
		d.advance(time.Second)
		d.Observe(auditor.Answered{ID: "1", Status: 503, Whole: true})
	}},
}
