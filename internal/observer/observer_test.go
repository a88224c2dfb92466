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

// Guards against a rest that ends early, as by a shorter or a later one, or by a reply that asks for none.
func TestRestLastsToItsEnd(t *testing.T) {
	o, c := newObserver()
	u := observer.Start{ID: "u"}
	must.Zero(t, o.Terms(u).Rest)
	o.Note(u, statements{observer.Rest{For: 3 * time.Second}})
	c.Step(time.Second)
	o.Note(u, statements{observer.Rest{For: time.Second}})
	o.Note(u, nil)
	must.Eq(t, 2*time.Second, o.Terms(u).Rest)
	must.Eq(t, observer.RestingUpstream, o.Terms(u).Closed())
	o.Note(u, statements{observer.Rest{For: 3 * time.Second}})
	must.Eq(t, 3*time.Second, o.Terms(u).Rest)
	must.Zero(t, o.Terms(observer.Start{ID: "other"}).Rest)
	c.Step(3 * time.Second)
	must.Eq(t, "", o.Terms(u).Closed())
	must.SliceEmpty(t, o.All())
}

// Guards against what a former start of an upstream stated binding the present one, and against what
// the present one stated being lost when its record is heard.
func TestUpstreamThatStartsAnewIsFreeOfWhatTheFormerStartStated(t *testing.T) {
	all := statements{observer.Rest{For: 8 * time.Second}, observer.Leaving{}, observer.RateLimit{PerSecond: 2}}
	for name, test := range map[string]struct {
		// stated is how long before the new start's own begin the statements came.
		stated time.Duration
		kept   bool
	}{
		"stated by the former start":  {time.Second, false},
		"stated by the present start": {-time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			o, c := newObserver()
			former := observer.Start{ID: "u", At: c.Now().Add(-time.Minute)}
			o.Terms(former)
			o.Note(former, all)
			present := observer.Start{ID: "u", At: c.Now().Add(test.stated)}
			c.Step(2 * time.Second)
			terms := o.Terms(present)
			must.Eq(t, test.kept, terms.Leaving)
			must.Eq(t, test.kept, terms.Rest == 6*time.Second)
			must.Eq(t, test.kept, terms.Limited)

			// A late reply of the former start changes nothing.
			o.Note(former, all)
			must.Eq(t, terms, o.Terms(present))
			// A leaving that may be the former start's doesn't hold for good.
			c.Step(time.Minute)
			must.Eq(t, "", o.Terms(present).Closed())
		})
	}
}

// Guards against an upstream that is used again although it stated that it leaves.
func TestLeavingHoldsWhileTheUpstreamIsKnown(t *testing.T) {
	o, c := newObserver()
	u, other := observer.Start{ID: "u", At: c.Now()}, observer.Start{ID: "other"}
	o.Note(u, statements{observer.Leaving{}})
	for range 200 {
		c.Step(time.Second)
		o.Note(u, nil)
		o.Note(other, statements{observer.Rest{}})
		must.Eq(t, observer.LeavingUpstream, o.Terms(u).Closed())
	}
}

// Guards against a limit that outlives the replies that state it.
func TestLimitEndsWithTheReplies(t *testing.T) {
	o, c := newObserver()
	u := observer.Start{ID: "u"}
	o.Note(u, nil)
	must.False(t, o.Terms(u).Limited)
	o.Note(u, statements{observer.RateLimit{PerSecond: 1.5}})
	c.Step(time.Second)
	terms := o.Terms(u)
	must.True(t, terms.Limited)
	must.Eq(t, observer.Limit{Rate: 1.5, Age: time.Second}, terms.Limit)
	o.Note(u, statements{observer.Rest{For: time.Second}})
	terms = o.Terms(u)
	must.True(t, terms.Limited, must.Sprint("its end is passed on"))
	must.Zero(t, terms.Limit.Rate)
}

// Guards against a limit of 0, which no reply could ever end.
func TestLeastLimitLetsRepliesThrough(t *testing.T) {
	o, _ := newObserver()
	u := observer.Start{ID: "u"}
	o.Note(u, statements{observer.RateLimit{}})
	must.Positive(t, o.Terms(u).Limit.Rate)
}

// Guards against values without sense that bind, or that aren't counted.
func TestInvalidStatementsBindNobody(t *testing.T) {
	o, _ := newObserver()
	u := observer.Start{ID: "u"}
	for range 3 {
		o.Note(u, statements{observer.Invalid{Header: "h", Value: "-1"}})
	}
	must.Eq(t, observer.Terms{}, o.Terms(u))
	must.Eq(t, 3, metrics.GetOrRegisterCounter("statements.invalid", o.Metrics).Count())
}

// Guards against memory that grows with all upstreams that ever were, and against a rest that is
// forgotten before its end.
func TestGoneUpstreamsAreForgotten(t *testing.T) {
	o, c := newObserver()
	resting := observer.Start{ID: "resting"}
	o.Note(resting, statements{observer.Rest{For: 10 * time.Minute}})
	for i := range 100 {
		o.Note(observer.Start{ID: fmt.Sprint(i)}, statements{observer.Leaving{}})
	}
	must.Len(t, 101, o.All())
	c.Step(5 * time.Minute)
	o.Note(observer.Start{ID: "new"}, nil)
	must.Len(t, 1, o.All())
	must.Eq(t, 5*time.Minute, o.Terms(resting).Rest)
}

// Guards against a log that doesn't tell what an upstream stated.
func TestStatementsAreReadable(t *testing.T) {
	all := statements{observer.RateLimit{PerSecond: 1.5}, observer.Rest{For: 3 * time.Second}, observer.Leaving{}, observer.Invalid{Header: "h", Value: "-1"}}
	must.Eq(t, `limit 1.5/s, rest 3s, leaving, invalid h "-1"`, all.String())
	must.Eq(t, "", statements(nil).String())
}

// Guards against a process without an observer that fails.
func TestNilObserverKnowsNothing(t *testing.T) {
	var o *observer.Observer
	o.Note(observer.Start{ID: "u"}, statements{observer.Leaving{}})
	must.Eq(t, observer.Terms{}, o.Terms(observer.Start{ID: "u"}))
	must.SliceEmpty(t, o.All())
}
