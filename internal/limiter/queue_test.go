package limiter_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktesting "k8s.io/utils/clock/testing"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/limiter"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// TestMain fixes rapid's seed, so that each run gives the same verdict.
func TestMain(m *testing.M) {
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "1000")); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

func newQueue(capacity int) (*limiter.Queue, *clocktesting.FakePassiveClock) {
	c := clocktesting.NewFakePassiveClock(epoch)
	return &limiter.Queue{Clock: c, Capacity: capacity, Random: rand.New(rand.NewPCG(3, 3))}, c
}

func pass(c *clocktesting.FakePassiveClock, d time.Duration) { c.SetTime(c.Now().Add(d)) }

// shedError is the refusal of a waiter that is no longer waiting; nil otherwise.
func shedError(w *limiter.Waiter) *limiter.ShedError {
	select {
	case <-w.Ready():
		e, _ := errors.AsType[*limiter.ShedError](w.Err())
		return e
	default:
		return nil
	}
}

// TestQueueAgainstOracle runs random requests past a queue and a plain list. A
// caller would notice a fault as no answer at all, two, or one after the deadline.
func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, c := newQueue(6)
		var waiting []*limiter.Waiter
		settle := func() {
			waiting = slices.DeleteFunc(waiting, func(w *limiter.Waiter) bool {
				e := shedError(w)
				must.True(t, e == nil || e.RetryAfter >= retrier.MinRetryAfter && e.RetryAfter <= retrier.MaxRetryAfter)
				return e != nil
			})
			must.EqOp(t, len(waiting), q.Len())
		}
		join := func(t *rapid.T) {
			i := limiter.Item{
				Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
				Priority:  rapid.IntRange(0, 2).Draw(t, "priority"),
				Deadline:  c.Now().Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "deadline")) * 100 * time.Millisecond),
			}
			w, err := q.Join(i)
			if err == nil {
				waiting = append(waiting, w)
			}
			settle()
			if err != nil && len(waiting) == 6 {
				low := func(v *limiter.Waiter) bool { return v.Priority < i.Priority }
				must.False(t, slices.ContainsFunc(waiting, low), must.Sprint("refused though a lower priority waits"))
			}
			must.LessEq(t, 6, q.Len())
		}
		next := func(t *rapid.T) {
			w := q.Next()
			at := slices.Index(waiting, w)
			if w != nil {
				must.NoError(t, w.Err())
				must.True(t, c.Now().Before(w.Deadline), must.Sprint("served after its deadline"))
				waiting = slices.Delete(waiting, at, at+1)
			}
			settle()
			if w == nil {
				must.SliceEmpty(t, waiting)
				return
			}
			if rapid.IntRange(0, 3).Draw(t, "return") == 3 {
				again, err := q.Return(w)
				must.NoError(t, err)
				waiting = append(waiting, again)
				return
			}
			q.Finished(1)
		}
		t.Repeat(map[string]func(*rapid.T){
			"join": join, "join again": join, "next": next,
			"wait": func(t *rapid.T) {
				pass(c, time.Duration(rapid.IntRange(1, 500).Draw(t, "ms"))*time.Millisecond)
				q.Expire()
				settle()
			},
			"leave": func(t *rapid.T) {
				if len(waiting) > 0 {
					w := waiting[0]
					waiting = waiting[1:]
					must.True(t, w.Leave())
					must.False(t, w.Leave())
				}
				settle()
			},
		})
	})
}

// One workspace fills the line and another asks for little. Users of the small
// one would wait behind all requests of the large one.
func TestSmallWorkspaceIsServedInTurn(t *testing.T) {
	q, _ := newQueue(0)
	for range 100 {
		_, err := q.Join(limiter.Item{Workspace: "large"})
		must.NoError(t, err)
	}
	q.Next()
	_, err := q.Join(limiter.Item{Workspace: "small"})
	must.NoError(t, err)
	must.SliceContains(t, []string{q.Next().Workspace, q.Next().Workspace}, "small")
}

// A small workspace's requests are shed in a rush. Were their turns still
// counted, its next request would wait behind a large one's whole line.
func TestShedRequestsCostNoTurn(t *testing.T) {
	q, c := newQueue(0)
	for range 50 {
		_, err := q.Join(limiter.Item{Workspace: "large"})
		must.NoError(t, err)
		_, err = q.Join(limiter.Item{Workspace: "small", Deadline: c.Now().Add(time.Second)})
		must.NoError(t, err)
	}
	pass(c, 2*time.Second)
	q.Expire()
	must.EqOp(t, 50, q.Len())
	_, err := q.Join(limiter.Item{Workspace: "small"})
	must.NoError(t, err)
	must.SliceContains(t, []string{q.Next().Workspace, q.Next().Workspace}, "small")
}

// The upstreams were slow and have recovered while nobody waited. A rate that
// was once low would refuse every user from then on.
func TestLowRateDoesNotRefuseForEver(t *testing.T) {
	q, c := newQueue(0)
	join := func() error {
		_, err := q.Join(limiter.Item{Workspace: "farm", Deadline: c.Now().Add(time.Second)})
		return err
	}
	_, err := q.Join(limiter.Item{Workspace: "farm"})
	must.NoError(t, err)
	pass(c, 5*time.Second)
	q.Finished(1)
	must.NotNil(t, q.Next())
	must.NoError(t, join(), must.Sprint("the first in line"))
	must.Error(t, join(), must.Sprint("the second would start too late"))
}

// A hundred users are refused at the same moment. With one time to come back for
// all of them they would return as a crowd and be refused again.
func TestRefusedCallersReturnSpread(t *testing.T) {
	q, c := newQueue(1)
	_, err := q.Join(limiter.Item{Workspace: "farm"})
	must.NoError(t, err)
	for range 20 {
		pass(c, 100*time.Millisecond)
		q.Finished(1)
	}
	perSecond := map[time.Duration]int{}
	for i := range 100 {
		_, err := q.Join(limiter.Item{Workspace: fmt.Sprint(i), Priority: -1})
		e, ok := errors.AsType[*limiter.ShedError](err)
		must.True(t, ok)
		perSecond[e.RetryAfter.Truncate(time.Second)]++
	}
	for at, n := range perSecond {
		must.LessEq(t, 15, n, must.Sprintf("ten a second are served, %d return at %s", n, at))
	}
}

// A request had its turn, and the replica it was sent to was full. Sent to the
// back of the line, its user waits a second time and is shed in the end, though
// there was room for all.
func TestRefusedByReplicaKeepsItsTurn(t *testing.T) {
	q, _ := newQueue(0)
	for i := range 20 {
		_, err := q.Join(limiter.Item{Workspace: fmt.Sprint(i % 2)})
		must.NoError(t, err)
	}
	first := q.Next()
	i := first.Item
	i.Again = true
	_, err := q.Join(i)
	must.NoError(t, err)
	must.True(t, q.Next().Again)
	must.EqOp(t, 19, q.Len())
}
