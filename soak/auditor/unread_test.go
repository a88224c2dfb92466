package auditor_test

import (
	"time"

	"github.com/oriolecroft/oriolecroft/soak/auditor"
)

// unread has near cut the reply to a request off as nobody read it, and another upstream get it.
func (d *day) unread() {
	d.send("1", "/look/1")
	d.reach("1", "near")
	d.after(time.Second)
	d.Note(auditor.Unread{ID: "1", Upstream: "near"})
	d.Note(auditor.Ended{ID: "1", Upstream: "near", Broken: true})
	d.reach("1", "far")
}

// reachWith has a request arrive with a priority.
func (d *day) reachWith(priority string) {
	d.send("1", "/look/1")
	d.Note(auditor.Arrived{ID: "1", Upstream: "near", Content: "1", Workspace: "w", Left: time.Second, Priority: priority})
}

var unreadCases = []brokenCase{
	{auditor.UnreadOnce, "an unread reply is started elsewhere", (*day).unread},
	{auditor.Priority, "a request has the priority that its caller states", func(d *day) { d.reachWith("0") }},
}

var allowedUnreadCases = []allowedCase{
	{"a reply held up by a link is started elsewhere", func(d *day) {
		d.Note(auditor.Disturbed{Who: "near"})
		d.Note(auditor.Calmed{Who: "near"})
		d.unread()
	}},
	{"a request without a priority", func(d *day) { d.reachWith("") }},
	{"a request with its route's priority", func(d *day) { d.reachWith("2") }},
}
