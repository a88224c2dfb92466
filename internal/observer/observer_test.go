package observer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/observer"
)

type statements = observer.Statements

func newObserver() (*observer.Observer, *clocktest.FakeClock) {
	c := clocktest.NewFakeClock(time.Unix(1000, 0))
	return &observer.Observer{Clock: c, Metrics: metrics.NewRegistry()}, c
}

// Guards against a backoff that is ended early by a shorter or a later one, or by a reply without one.
func TestBackoffLastsToItsEnd(t *testing.T) {
	o, c := newObserver()
	u := observer.Start{ID: "u"}
	must.Zero(t, o.Terms(u).Rest)
	o.Record(u, statements{observer.Backoff{For: 3 * time.Second}})
	c.Step(time.Second)
	o.Record(u, statements{observer.Backoff{For: time.Second}})
	o.Record(u, nil)
	must.Eq(t, 2*time.Second, o.Terms(u).Rest)
	must.Eq(t, observer.UpstreamBackingOff, o.Terms(u).ClosedReason())
	o.Record(u, statements{observer.Backoff{For: 3 * time.Second}})
	must.Eq(t, 3*time.Second, o.Terms(u).Rest)
	must.Zero(t, o.Terms(observer.Start{ID: "other"}).Rest)
	c.Step(3 * time.Second)
	must.Eq(t, "", o.Terms(u).ClosedReason())
	must.SliceEmpty(t, o.All())
}

// Guards against applying the statements of an upstream's former start to the present one, and against
// losing those of the present one when its record arrives.
func TestRestartDropsStatementsOfFormerStart(t *testing.T) {
	all := statements{observer.Backoff{For: 8 * time.Second}, observer.Leaving{}, observer.RateLimit{PerSecond: 2}}
	for name, test := range map[string]struct {
		// beforeStart is how long before the new start, by its own clock, the statements were made.
		beforeStart time.Duration
		kept        bool
	}{
		"stated by the former start":  {time.Second, false},
		"stated by the present start": {-time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			o, c := newObserver()
			former := observer.Start{ID: "u", At: c.Now().Add(-time.Minute)}
			o.Terms(former)
			o.Record(former, all)
			present := observer.Start{ID: "u", At: c.Now().Add(test.beforeStart)}
			c.Step(2 * time.Second)
			terms := o.Terms(present)
			must.Eq(t, test.kept, terms.Leaving)
			must.Eq(t, test.kept, terms.Rest == 6*time.Second)
			must.Eq(t, test.kept, terms.Limited)

			// A late reply of the former start changes nothing.
			o.Record(former, all)
			must.Eq(t, terms, o.Terms(present))
			// A statement of leaving that may be the former start's expires.
			c.Step(time.Minute)
			must.Eq(t, "", o.Terms(present).ClosedReason())
		})
	}
}

// Guards against requests to an upstream that stated that it is leaving.
func TestLeavingLastsWhileTheUpstreamIsUsed(t *testing.T) {
	o, c := newObserver()
	u, other := observer.Start{ID: "u", At: c.Now()}, observer.Start{ID: "other"}
	o.Record(u, statements{observer.Leaving{}})
	for range 200 {
		c.Step(time.Second)
		o.Record(u, nil)
		o.Record(other, statements{observer.Backoff{}})
		must.Eq(t, observer.UpstreamLeaving, o.Terms(u).ClosedReason())
	}
}

// Guards against a limit that outlives the replies that state it.
func TestLimitEndsWithTheReplies(t *testing.T) {
	o, c := newObserver()
	u := observer.Start{ID: "u"}
	o.Record(u, nil)
	must.False(t, o.Terms(u).Limited)
	o.Record(u, statements{observer.RateLimit{PerSecond: 1.5}})
	c.Step(time.Second)
	terms := o.Terms(u)
	must.True(t, terms.Limited)
	must.Eq(t, observer.Limit{Rate: 1.5, Age: time.Second}, terms.Limit)
	o.Record(u, statements{observer.Backoff{For: time.Second}})
	terms = o.Terms(u)
	must.True(t, terms.Limited, must.Sprint("the end of the limit is passed on"))
	must.Zero(t, terms.Limit.Rate)
}

// Guards against a limit of 0, which no reply could ever end.
func TestMinLimitLetsRepliesThrough(t *testing.T) {
	o, _ := newObserver()
	u := observer.Start{ID: "u"}
	o.Record(u, statements{observer.RateLimit{}})
	must.Positive(t, o.Terms(u).Limit.Rate)
}

// Guards against invalid values that take effect, or that aren't counted.
func TestInvalidStatementsHaveNoEffect(t *testing.T) {
	o, _ := newObserver()
	u := observer.Start{ID: "u"}
	for range 3 {
		o.Record(u, statements{observer.Invalid{Header: "h", Value: "-1"}})
	}
	must.Eq(t, observer.Terms{}, o.Terms(u))
	must.Eq(t, 3, metrics.GetOrRegisterCounter("statements.invalid", o.Metrics).Count())
}

// Guards against memory that grows with the number of all upstreams ever seen, and against a backoff that
// is dropped before its end.
func TestUnusedUpstreamsAreRemoved(t *testing.T) {
	o, c := newObserver()
	backingOff := observer.Start{ID: "resting"}
	o.Record(backingOff, statements{observer.Backoff{For: 10 * time.Minute}})
	for i := range 100 {
		o.Record(observer.Start{ID: fmt.Sprint(i)}, statements{observer.Leaving{}})
	}
	must.Len(t, 101, o.All())
	c.Step(5 * time.Minute)
	o.Record(observer.Start{ID: "new"}, nil)
	must.Len(t, 1, o.All())
	must.Eq(t, 5*time.Minute, o.Terms(backingOff).Rest)
}

// Guards against a log that doesn't show the statements of an upstream.
func TestStatementsAreReadable(t *testing.T) {
	all := statements{observer.RateLimit{PerSecond: 1.5}, observer.Backoff{For: 3 * time.Second}, observer.Leaving{}, observer.Invalid{Header: "h", Value: "-1"}}
	must.Eq(t, `limit 1.5/s, rest 3s, leaving, invalid h "-1"`, all.String())
	must.Eq(t, "", statements(nil).String())
}

// Guards against a nil dereference in a process without an observer.
func TestNilObserverHasNoTerms(t *testing.T) {
	var o *observer.Observer
	o.Record(observer.Start{ID: "u"}, statements{observer.Leaving{}})
	must.Eq(t, observer.Terms{}, o.Terms(observer.Start{ID: "u"}))
	must.SliceEmpty(t, o.All())
}
