package proofs_test

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

// bookingDuration is how long a booking runs in TestBookingRunsAtMostOnce, so that a
// failure can be caused while it runs.
const bookingDuration = 400 * time.Millisecond

// retryGateLimit is the gate limit that admits a booking and its retries.
const retryGateLimit = 4

// failure is a fault that is injected around the first try of a booking.
type failure struct {
	name string
	// before is called before the try and during while the booking runs. repair ends the
	// failure once the caller has retried through other entries.
	before, during, repair func(d *deployment)
	// must is the final fate that the caller must receive, or "" if any correct one
	// is accepted.
	must string
}

// failures are the injected failures, each tested alone.
var failures = []failure{
	{
		name:   "service-drops-its-answer",
		before: func(d *deployment) { d.faultServices(faults{DropAnswers: true}) },
		repair: func(d *deployment) { d.faultServices(faults{}) },
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
		during: func(d *deployment) { d.eachService((*process).suspend) },
		repair: func(d *deployment) { d.eachService((*process).resume) },
	},
	{
		name:   "first-entry-replaced-in-the-run",
		during: func(d *deployment) { d.entries[0].replace() },
		must:   outcomeRan,
	},
	{
		name:   "first-entry-frozen-in-the-run",
		during: func(d *deployment) { d.entries[0].suspend() },
		repair: func(d *deployment) { d.entries[0].resume() },
		must:   outcomeRan,
	},
	{
		name:   "link-to-the-agents-cut-in-the-run",
		during: func(d *deployment) { d.partition.disconnect() },
		repair: func(d *deployment) { d.partition.reconnect() },
		must:   outcomeRan,
	},
	{
		name:   "link-to-the-agents-stalled-in-the-run",
		during: func(d *deployment) { d.partition.stall() },
		repair: func(d *deployment) { d.partition.release() },
		must:   outcomeRan,
	},
	{
		name:   "store-loses-its-answers",
		before: func(d *deployment) { d.store.injectFaults(faults{LoseAnswers: 1}) },
		repair: func(d *deployment) { d.store.injectFaults(faults{}) },
		must:   outcomeRan,
	},
	{
		name:   "store-out-from-the-run-on",
		during: func(d *deployment) { d.store.injectFaults(faults{Down: true}) },
		repair: func(d *deployment) { d.store.injectFaults(faults{}) },
		must:   outcomeRan,
	},
	{
		name: "retry-while-the-first-try-runs",
		must: outcomeRan,
	},
}

// TestBookingRunsAtMostOnce guards against a second run of a booking and against a false
// confirmation. The answer to a booking is lost in every possible way between the
// service, its agent, the entry and the caller, and the caller tries again with the
// same key through another entry, twice at the same time.
func TestBookingRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	for _, k := range []keySource{entryKeys, callerKeys} {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, topology{
				entries: 3, services: 2, inside: servicesOnly,
				service: func(_ int, s *imitator.Service) { s.Time = bookingDuration },
			})
			fates := map[string]string{}
			for _, m := range failures {
				d.awaitLimit("", retryGateLimit)
				fates[m.name] = d.bookDuring(m, k)
			}
			d.awaitReady()
			// Requests pending at a suspended process have had time to run at this point.
			runs := d.bookingRuns()
			for name, fate := range fates {
				mustMatchRunCount(t, name, fate, runs[name])
			}
		})
	}
}

func servicesOnly(k processKind, _ int) bool { return k == kindService }

// retriedBooking is a booking that its caller retries until its fate is known: with the
// same key while the fate is unknown, with a new key once an entry has reported that
// the old one will never run.
type retriedBooking struct {
	deployment *deployment
	source     keySource
	name       string
	key        string
}

// bookDuring makes one booking during a failure and returns its final fate as the caller
// sees it.
func (d *deployment) bookDuring(m failure, k keySource) string {
	d.t.Helper()
	c := &retriedBooking{deployment: d, source: k, name: m.name}
	c.renewKey()
	callIfSet(m.before, d)
	first := c.startFirstTry(m.during != nil)
	callIfSet(m.during, d)
	fate := c.retry()
	callIfSet(m.repair, d)
	if (<-first).outcome == outcomeRan {
		fate = outcomeRan
	}
	if m.must == "" {
		// The current owner of the key must not run the booking again.
		d.awaitLimit("", 1)
		fate = latestFate(fate, c.retry())
		fate = latestFate(fate, c.retry())
	}
	if m.must != "" && fate != outcomeRan {
		eventually(d.t, waitTimeout, m.must+" after "+m.name, func() bool {
			fate = c.retry()
			return fate == outcomeRan
		})
	}
	mustMatchRunCount(d.t, m.name, fate, d.bookingRuns()[m.name])
	return fate
}

// latestFate combines two successive fates: a booking that ran stays so.
func latestFate(fate, next string) string {
	if fate == outcomeRan {
		return outcomeRan
	}
	return next
}

func (c *retriedBooking) renewKey() {
	d := c.deployment
	eventually(d.t, waitTimeout, "key for "+c.name, func() bool {
		c.key = c.source.newKey(d.t.Context(), d.entries[1].callers, c.name)
		return c.key != ""
	})
}

// startFirstTry makes the first try through entry 0 and returns while it is in progress,
// if awaitsRun is set once the booking runs.
func (c *retriedBooking) startFirstTry(awaitsRun bool) <-chan bookingResult {
	d := c.deployment
	d.t.Helper()
	for start := time.Now(); ; {
		first := make(chan bookingResult, 1)
		go func(key string) { first <- book(d.t.Context(), d.entries[0].callers, c.source.header, key, c.name) }(c.key)
		if !awaitsRun || c.awaitRun(first) {
			return first
		}
		must.Less(d.t, waitTimeout, time.Since(start), must.Sprintf("%s does not run", c.name))
		if (<-first).closed {
			c.renewKey()
		}
	}
}

// awaitRun waits until the booking runs or the try has ended without a run.
func (c *retriedBooking) awaitRun(first <-chan bookingResult) bool {
	d := c.deployment
	eventually(d.t, waitTimeout, "run or refusal of "+c.name, func() bool {
		return d.bookingRuns()[c.name] > 0 || len(first) > 0
	})
	return d.bookingRuns()[c.name] > 0
}

// retry tries the booking through two entries at the same time. It ran if either
// reports so, and has not run if both do.
func (c *retriedBooking) retry() string {
	d := c.deployment
	var rs [2]bookingResult
	var g sync.WaitGroup
	for i := range rs {
		g.Go(func() { rs[i] = book(d.t.Context(), d.entries[i+1].callers, c.source.header, c.key, c.name) })
	}
	g.Wait()
	switch {
	case rs[0].outcome == outcomeRan || rs[1].outcome == outcomeRan:
		return outcomeRan
	case rs[0].outcome != outcomeNotRun || rs[1].outcome != outcomeNotRun:
		return outcomeUnknown
	case rs[0].closed && rs[1].closed:
		c.renewKey()
	}
	return outcomeNotRun
}

func callIfSet(f func(d *deployment), d *deployment) {
	if f != nil {
		f(d)
	}
}

func (d *deployment) faultServices(f faults) {
	for _, v := range d.services {
		v.upstream.injectFaults(f)
	}
}

func (d *deployment) eachService(f func(p *process)) {
	for _, v := range d.services {
		f(v.process)
	}
}
