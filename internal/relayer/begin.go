package relayer

import (
	"time"

	"k8s.io/klog/v2"
)

// beginMargin is how much before the end of its weights' time a request that has not begun is
// given up: the engine has to learn of it by then.
const beginMargin = 60 * time.Millisecond

// BeginWithin is within what time a request has to begin at its place; false for any time. A grant
// is made on a prediction, which an engine that runs more than its agent knows, or slows down, does
// not keep: the request would begin on weights whose time is over.
func (p *Placer) BeginWithin(place *Place, j *Job) (time.Duration, bool) {
	if place.Held == 0 {
		return 0, false
	}
	left, bounded := p.Registrar.TimeLeft(j.Model, place.Held, p.WeightsBound)
	return max(0, left-beginMargin), bounded
}

// closeUnlessBegun closes the connection of a request that does not begin in time. The returned
// function stops that once the request has begun, or is over.
func (c *call) closeUnlessBegun(place *Place, conn *connection) (begun func()) {
	left, bounded := c.Placer.BeginWithin(place, &c.Job)
	if !bounded {
		return func() {}
	}
	request := c.ID
	timer := time.AfterFunc(left, func() {
		klog.InfoS("Request not begun in its weights' time", "request", request, "upstream", place.Upstream.ID, "version", place.Held)
		conn.Close()
	})
	return func() { timer.Stop() }
}
