package auditor_test

import (
	"time"

	"github.com/oriolecroft/oriolecroft/soak/auditor"
)

// retryUnread records that near cuts an unread reply off and another upstream gets the request.
func (d *scenario) retryUnread() {
	d.send("1", "/look/1")
	d.arriveAndStart("1", "near")
	d.advance(time.Second)
	d.Observe(auditor.Unread{ID: "1", Upstream: "near"})
	d.Observe(auditor.RunEnded{ID: "1", Upstream: "near", Broken: true})
	d.arriveAndStart("1", "far")
}

// arriveWithPriorities records arrivals of two routes, with priorities 0 and 2.
func (d *scenario) arriveWithPriorities(zero, two string) {
	for path, priority := range map[string]string{"/urgent/1": zero, "/look/1": two} {
		d.send(path, path)
		d.Observe(auditor.Arrived{ID: path, Upstream: "near", Content: path, Workspace: "w", Left: time.Second, Priority: priority})
	}
}

var unreadCases = []brokenCase{
	{auditor.UnreadOnce, "an unread reply is started elsewhere", (*scenario).retryUnread},
	{auditor.Priority, "requests have the priority that their callers state", func(d *scenario) { d.arriveWithPriorities("0", "0") }},
	{auditor.Priority, "a less urgent request goes first", func(d *scenario) { d.arriveWithPriorities("2", "1") }},
}

var allowedUnreadCases = []allowedCase{
	{"a reply held up by a link is started elsewhere", func(d *scenario) {
		d.Observe(auditor.FaultStarted{Who: "near"})
		d.Observe(auditor.FaultEnded{Who: "near"})
		d.retryUnread()
	}},
	{"requests without a priority", func(d *scenario) { d.arriveWithPriorities("", "") }},
	{"requests in the order of their routes", func(d *scenario) { d.arriveWithPriorities("0", "1") }},
}
