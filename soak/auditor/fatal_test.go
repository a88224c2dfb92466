package auditor_test

import (
	"fmt"
	"time"

	"github.com/oriolecroft/oriolecroft/soak/auditor"
)

// sendFatal sends a request with a fatal part, which may reach an upstream and crash it.
func (d *day) sendFatal(id string, reaches, crashes bool) {
	d.Note(auditor.Sent{ID: id, Entry: "e", Path: "/look/1", Key: "k", Content: id, Limit: time.Second, Parts: []string{"kind", "fatal"}, Fatal: "fatal"})
	if reaches {
		d.reach(id, "near")
	}
	if crashes {
		d.Note(auditor.Crashed{Upstream: "near", Part: "fatal"})
	}
	d.Note(auditor.Answered{ID: id, Status: 502, Whole: true})
	d.after(200 * time.Millisecond)
}

// crashFive sends requests with the part until five upstreams have crashed.
func (d *day) crashFive() {
	for i := range 5 {
		d.sendFatal(fmt.Sprint("c", i), true, true)
	}
}

// sendSound sends sound requests beside such ones, of which some begin.
func (d *day) sendSound(name string, sent, begin int) {
	for i := range sent {
		id := fmt.Sprint(name, i)
		d.Note(auditor.Sent{ID: id, Entry: "e", Path: "/look/1", Key: "k", Content: id, Limit: time.Second, Parts: []string{"kind"}})
		if i < begin {
			d.reach(id, "near")
			d.answer(id, "near")
		} else {
			d.Note(auditor.Answered{ID: id, Status: 503, Whole: true})
		}
		d.after(20 * time.Millisecond)
	}
}

// fatalDay has thirty sound requests begin as usual, five crashes, and as many sound ones six seconds later,
// of which some begin, while the fatal ones are refused.
func (d *day) fatalDay(begin int) {
	d.sendSound("usual", 30, 30)
	d.after(4 * time.Second)
	d.crashFive()
	d.after(6 * time.Second)
	for i := range 20 {
		d.sendFatal(fmt.Sprint("r", i), false, false)
		d.sendSound(fmt.Sprint("beside", i, "."), 2, begin)
	}
	d.sendFatal("last", false, false)
	d.Finish(d.clock.Now().Add(-time.Second))
}

var fatalCases = []brokenCase{
	{auditor.Fatal, "requests with a part that crashes upstreams go on", func(d *day) {
		d.crashFive()
		d.after(3100 * time.Millisecond)
		for i := range 4 {
			d.sendFatal(fmt.Sprint("l", i), true, false)
		}
	}},
	{auditor.Sound, "sound requests beside such ones are refused", func(d *day) { d.fatalDay(0) }},
}

var allowedFatalCases = []allowedCase{
	{"requests with a fatal part soon after the fifth crash, and three later", func(d *day) {
		d.crashFive()
		d.after(time.Second)
		for i := range 8 {
			d.sendFatal(fmt.Sprint("s", i), true, false)
		}
		d.after(2 * time.Second)
		for i := range 3 {
			d.sendFatal(fmt.Sprint("l", i), true, false)
		}
	}},
	{"requests with a fatal part by an entry that was restarted", func(d *day) {
		d.crashFive()
		d.after(3100 * time.Millisecond)
		d.Note(auditor.Started{Entry: "e"})
		for i := range 6 {
			d.sendFatal(fmt.Sprint("l", i), true, false)
		}
	}},
	{"half of the sound requests beside a fatal part", func(d *day) { d.fatalDay(1) }},
}
