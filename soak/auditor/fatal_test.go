package auditor_test

import (
	"fmt"
	"time"

	"github.com/oriolecroft/oriolecroft/soak/auditor"
)

// sendFatal records a request with a fatal part, which may reach an upstream and crash it.
func (d *scenario) sendFatal(id string, reaches, crashes bool) {
	d.Observe(auditor.Sent{ID: id, Entry: "e", Path: "/look/1", Key: "k", Content: id, Limit: time.Second, Parts: []string{"kind", "fatal"}, Fatal: "fatal"})
	if reaches {
		d.arriveAndStart(id, "near")
	}
	if crashes {
		d.Observe(auditor.Crashed{Upstream: "near", Part: "fatal"})
	}
	d.Observe(auditor.Answered{ID: id, Status: 502, Whole: true})
	d.advance(200 * time.Millisecond)
}

// crashFiveUpstreams records requests with the fatal part until five upstreams have crashed.
func (d *scenario) crashFiveUpstreams() {
	for i := range 5 {
		d.sendFatal(fmt.Sprint("c", i), true, true)
	}
}

// sendSound records sound requests with a shared part, the first of which start.
func (d *scenario) sendSound(name string, sent, begin int) {
	for i := range sent {
		id := fmt.Sprint(name, i)
		d.Observe(auditor.Sent{ID: id, Entry: "e", Path: "/look/1", Key: "k", Content: id, Limit: time.Second, Parts: []string{"kind"}})
		if i < begin {
			d.arriveAndStart(id, "near")
			d.answer(id, "near")
		} else {
			d.Observe(auditor.Answered{ID: id, Status: 503, Whole: true})
		}
		d.advance(20 * time.Millisecond)
	}
}

// recordFatalScenario records thirty sound requests that all start, five crashes and, six seconds later, refused
// fatal requests mixed with sound ones, of which some start.
func (d *scenario) recordFatalScenario(begin int) {
	d.sendSound("usual", 30, 30)
	d.advance(4 * time.Second)
	d.crashFiveUpstreams()
	d.advance(6 * time.Second)
	for i := range 20 {
		d.sendFatal(fmt.Sprint("r", i), false, false)
		d.sendSound(fmt.Sprint("beside", i, "."), 2, begin)
	}
	d.sendFatal("last", false, false)
	d.Finish(d.clock.Now().Add(-time.Second))
}

var fatalCases = []brokenCase{
	{auditor.Fatal, "requests with a part that crashes upstreams go on", func(d *scenario) {
		d.crashFiveUpstreams()
		d.advance(3100 * time.Millisecond)
		for i := range 4 {
			d.sendFatal(fmt.Sprint("l", i), true, false)
		}
	}},
	{auditor.Sound, "sound requests beside such ones are refused", func(d *scenario) { d.recordFatalScenario(0) }},
}

var allowedFatalCases = []allowedCase{
	{"requests with a fatal part soon after the fifth crash, and three later", func(d *scenario) {
		d.crashFiveUpstreams()
		d.advance(time.Second)
		for i := range 8 {
			d.sendFatal(fmt.Sprint("s", i), true, false)
		}
		d.advance(2 * time.Second)
		for i := range 3 {
			d.sendFatal(fmt.Sprint("l", i), true, false)
		}
	}},
	{"requests with a fatal part by an entry that was restarted", func(d *scenario) {
		d.crashFiveUpstreams()
		d.advance(3100 * time.Millisecond)
		d.Observe(auditor.Started{Entry: "e"})
		for i := range 6 {
			d.sendFatal(fmt.Sprint("l", i), true, false)
		}
	}},
	{"half of the sound requests beside a fatal part", func(d *scenario) { d.recordFatalScenario(1) }},
}
