package auditor_test

import (
	"time"

	"github.com/oriolecroft/oriolecroft/soak/auditor"
)

// flood records that near answers a request with endless bytes, which soon exceed any valid reply, for
// some time.
func (d *scenario) flood(id string, lasts time.Duration) {
	d.send(id, "/look/1")
	d.arriveAndStart(id, "near")
	d.Observe(auditor.Flooded{ID: id, Upstream: "near"})
	d.Observe(auditor.RunEnded{ID: id, Upstream: "near", Broken: true})
	d.Observe(auditor.Flooded{ID: id, Upstream: "near", Long: true})
	d.advance(lasts)
}

var floodCases = []brokenCase{
	{auditor.Flood, "a request waits on a reply without end until its caller leaves", func(d *scenario) {
		d.flood("1", 1100*time.Millisecond)
		d.Observe(auditor.Answered{ID: "1", Expired: true})
	}},
	{auditor.Flood, "a reply without end is handed on until the caller leaves", func(d *scenario) {
		d.flood("1", 1100*time.Millisecond)
		d.Observe(auditor.Answered{ID: "1", Status: 200, Names: "1", Upstream: "near", Expired: true})
	}},
	{auditor.Flood, "a request whose upstream sent bytes without end gets no answer", func(d *scenario) {
		d.flood("1", 100*time.Millisecond)
		d.Observe(auditor.Answered{ID: "1"})
	}},
	{auditor.Replied, "a request is cut whose upstream's report had no end before it", func(d *scenario) {
		d.Observe(auditor.Flooded{Upstream: "near"})
		d.advance(time.Second)
		d.send("1", "/look/1")
		d.arriveAndStart("1", "near")
		d.advance(300 * time.Millisecond)
		d.Observe(auditor.Answered{ID: "1", Status: 200, Names: "1", Upstream: "near"})
	}},
	{auditor.Memory, "a process takes more memory than its VM has", func(d *scenario) {
		d.Observe(auditor.Measured{Who: "e", Taken: 184_000_001, Allowed: 184_000_000})
	}},
}

var allowedFloodCases = []allowedCase{
	{"requests with a reply without end that fail, and that another upstream answers", func(d *scenario) {
		d.flood("1", 2*time.Second-50*time.Millisecond)
		d.Observe(auditor.Answered{ID: "1", Status: 502, Whole: true})
		d.flood("2", 100*time.Millisecond)
		d.arriveAndStart("2", "far")
		d.answer("2", "far")
	}},
	{"a reply without end that is handed on in part and cut", func(d *scenario) {
		d.flood("1", 100*time.Millisecond)
		d.Observe(auditor.Answered{ID: "1", Status: 200, Names: "1", Upstream: "near"})
	}},
	{"a request that is cut as its upstream's report has no end", func(d *scenario) {
		d.send("1", "/look/1")
		d.arriveAndStart("1", "near")
		d.advance(300 * time.Millisecond)
		d.Observe(auditor.Flooded{Upstream: "near"})
		d.Observe(auditor.Answered{ID: "1", Status: 200, Names: "1", Upstream: "near"})
	}},
	{"a caller that leaves soon after a reply without end began", func(d *scenario) {
		d.flood("1", 900*time.Millisecond)
		d.Observe(auditor.Answered{ID: "1", Expired: true})
	}},
	{"a reply without end of which little has come yet", func(d *scenario) {
		d.send("1", "/look/1")
		d.arriveAndStart("1", "near")
		d.Observe(auditor.Flooded{ID: "1", Upstream: "near"})
		d.Observe(auditor.RunEnded{ID: "1", Upstream: "near", Broken: true})
		d.advance(1900 * time.Millisecond)
		d.Observe(auditor.Answered{ID: "1", Status: 200, Names: "1", Upstream: "near", Expired: true})
	}},
	{"a reply without end at an entry or over a link that is disturbed", func(d *scenario) {
		for i, who := range []string{"e", "near", ""} {
			id := string(rune('a' + i))
			d.flood(id, 900*time.Millisecond)
			d.Observe(auditor.FaultStarted{Who: who})
			d.advance(900 * time.Millisecond)
			d.Observe(auditor.Answered{ID: id, Expired: true})
			d.Observe(auditor.FaultEnded{Who: who})
			d.advance(time.Second)
		}
	}},
	{"a process that takes all the memory of its VM", func(d *scenario) {
		d.Observe(auditor.Measured{Who: "e", Taken: 184_000_000, Allowed: 184_000_000})
	}},
}
