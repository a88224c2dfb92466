package proofs_test

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

// longRun is how long a booking runs in TestBookingRunsAtMostOnce, so that a
// failure can be caused while it runs.
const longRun = 400 * time.Millisecond

// wideEnough is how wide a gate is when a booking and its retries pass.
const wideEnough = 4

// failure is what goes wrong around the first try of a booking.
type failure struct {
	name string
	// before is caused before the try and during while the booking runs; mend ends
	// the failure once the caller has retried through other entries.
	before, during, mend func(d *deployment)
	// must is the last word that the caller has to get; empty for any that is
	// true.
	must string
}

// failures are what goes wrong, each alone.
var failures = []failure{
	{
		name:   "service-drops-its-answer",
		before: func(d *deployment) { d.faultServices(faults{DropAnswers: true}) },
		mend:   func(d *deployment) { d.faultServices(faults{}) },
	},
	{
		name: "service-restarts-in-the-run",
		during: func(d *deployment) {
			for _, v := range d.services {
				v.upstream.restart()
			}
		},
	},
	{
		name:   "agents-replaced-in-the-run",
		during: func(d *deployment) { d.eachService((*process).replace) },
	},
	{
		name:   "agents-frozen-past-the-deadline",
		during: func(d *deployment) { d.eachService((*process).pause) },
		mend:   func(d *deployment) { d.eachService((*process).resume) },
	},
	{
		name:   "first-entry-replaced-in-the-run",
		during: func(d *deployment) { d.entries[0].replace() },
		must:   ran,
	},
	{
		name:   "first-entry-frozen-in-the-run",
		during: func(d *deployment) { d.entries[0].pause() },
		mend:   func(d *deployment) { d.entries[0].resume() },
		must:   ran,
	},
	{
		name:   "link-to-the-agents-cut-in-the-run",
		during: func(d *deployment) { d.partition.cut() },
		mend:   func(d *deployment) { d.partition.mend() },
		must:   ran,
	},
	{
		name:   "link-to-the-agents-stalled-in-the-run",
		during: func(d *deployment) { d.partition.stall() },
		mend:   func(d *deployment) { d.partition.release() },
		must:   ran,
	},
	{
		name:   "store-loses-its-answers",
		before: func(d *deployment) { d.store.fault(faults{LoseAnswers: 1}) },
		mend:   func(d *deployment) { d.store.fault(faults{}) },
		must:   ran,
	},
	{
		name:   "store-out-from-the-run-on",
		during: func(d *deployment) { d.store.fault(faults{Down: true}) },
		mend:   func(d *deployment) { d.store.fault(faults{}) },
		must:   ran,
	},
	{
		name: "retry-while-the-first-try-runs",
		must: ran,
	},
}

// TestBookingRunsAtMostOnce loses the answer to a booking in every way that there
// is, between the service, its agent, the entry and the caller, and the caller
// tries again with the same key through another entry, twice at the same time. A
// second run is two pickers on one slot, who both expect pay, or two crews at one
// door; a false confirmation is a room unpicked.
func TestBookingRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	for _, k := range []keyKind{minted, ownKeys} {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, shape{
				entries: 3, services: 2, inside: servicesOnly,
				service: func(_ int, s *imitator.Service) { s.Time = longRun },
			})
			words := map[string]string{}
			for _, m := range failures {
				d.awaitWide("", wideEnough)
				words[m.name] = d.bookThrough(m, k)
			}
			d.awaitReady()
			// What a frozen process still had in hand has had time to run by now.
			runs := d.runs()
			for name, word := range words {
				mustMatch(t, name, word, runs[name])
			}
		})
	}
}

func servicesOnly(k kind, _ int) bool { return k == kindService }

// oneBooking is a booking that its caller tries until it knows its fate: with the
// same key while that is unknown, with a new one once an entry has said that the
// key will never run.
type oneBooking struct {
	deployment *deployment
	kind       keyKind
	name       string
	key        string
}

// bookThrough makes one booking through a failure and gives the caller's last word
// on it.
func (d *deployment) bookThrough(m failure, k keyKind) string {
	d.t.Helper()
	c := &oneBooking{deployment: d, kind: k, name: m.name}
	c.renew()
	cause(m.before, d)
	first := c.begin(m.during != nil)
	cause(m.during, d)
	word := c.retry()
	cause(m.mend, d)
	if (<-first).outcome == ran {
		word = ran
	}
	if m.must == "" {
		// Whoever has the key now is asked, and must not run it once more.
		d.awaitWide("", 1)
		word = later(word, c.retry())
		word = later(word, c.retry())
	}
	if m.must != "" && word != ran {
		eventually(d.t, patience, m.must+" after "+m.name, func() bool {
			word = c.retry()
			return word == ran
		})
	}
	mustMatch(d.t, m.name, word, d.runs()[m.name])
	return word
}

// later is the last word of two: what ran has run.
func later(word, next string) string {
	if word == ran {
		return ran
	}
	return next
}

func (c *oneBooking) renew() {
	d := c.deployment
	eventually(d.t, patience, "key for "+c.name, func() bool {
		c.key = c.kind.make(d.t.Context(), d.entries[1].callers, c.name)
		return c.key != ""
	})
}

// begin makes the first try through entry 0 and returns while it is under way:
// if the booking has to run, once it does.
func (c *oneBooking) begin(toRun bool) <-chan booked {
	d := c.deployment
	d.t.Helper()
	for tried := time.Now(); ; {
		first := make(chan booked, 1)
		go func(key string) { first <- book(d.t.Context(), d.entries[0].callers, c.kind.header, key, c.name) }(c.key)
		if !toRun || c.runs(first) {
			return first
		}
		must.Less(d.t, patience, time.Since(tried), must.Sprintf("%s does not run", c.name))
		if (<-first).closed {
			c.renew()
		}
	}
}

// runs waits until the booking runs or the try is over without.
func (c *oneBooking) runs(first <-chan booked) bool {
	d := c.deployment
	eventually(d.t, patience, "run or refusal of "+c.name, func() bool {
		return d.runs()[c.name] > 0 || len(first) > 0
	})
	return d.runs()[c.name] > 0
}

// retry tries the booking through two entries at the same time. It ran if either
// says so, and has not run if both do.
func (c *oneBooking) retry() string {
	d := c.deployment
	var rs [2]booked
	var g sync.WaitGroup
	for i := range rs {
		g.Go(func() { rs[i] = book(d.t.Context(), d.entries[i+1].callers, c.kind.header, c.key, c.name) })
	}
	g.Wait()
	switch {
	case rs[0].outcome == ran || rs[1].outcome == ran:
		return ran
	case rs[0].outcome != notRun || rs[1].outcome != notRun:
		return unknown
	case rs[0].closed && rs[1].closed:
		c.renew()
	}
	return notRun
}

func cause(f func(d *deployment), d *deployment) {
	if f != nil {
		f(d)
	}
}

func (d *deployment) faultServices(f faults) {
	for _, v := range d.services {
		v.upstream.fault(f)
	}
}

func (d *deployment) eachService(f func(p *process)) {
	for _, v := range d.services {
		f(v.process)
	}
}
