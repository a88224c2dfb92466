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

// TestMain fixes rapid's seed, so that results are reproducible.
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

func advance(c *clocktesting.FakePassiveClock, d time.Duration) { c.SetTime(c.Now().Add(d)) }

// shedError is the error of a waiter that was shed; nil otherwise.
func shedError(w *limiter.Waiter) *limiter.ShedError {
	select {
	case <-w.Ready():
		e, _ := errors.AsType[*limiter.ShedError](w.Err())
		return e
	default:
		return nil
	}
}

// TestQueueAgainstOracle compares a queue with a plain list under random requests.
// Guards against requests that get no answer, two, or one after their deadline.
func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, c := newQueue(6)
		var waiting []*limiter.Waiter
		syncWaiting := func() {
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
			syncWaiting()
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
			syncWaiting()
			if w == nil {
				must.SliceEmpty(t, waiting)
				return
			}
			if rapid.IntRange(0, 3).Draw(t, "return") == 3 {
				again, err := q.Requeue(w)
				must.NoError(t, err)
				waiting = append(waiting, again)
				return
			}
			q.Finished(1)
		}
		t.Repeat(map[string]func(*rapid.T){
			"join": join, "join again": join, "next": next,
			"wait": func(t *rapid.T) {
				advance(c, time.Duration(rapid.IntRange(1, 500).Draw(t, "ms"))*time.Millisecond)
				q.Expire()
				syncWaiting()
			},
			"leave": func(t *rapid.T) {
				if len(waiting) > 0 {
					w := waiting[0]
					waiting = waiting[1:]
					must.True(t, w.Cancel())
					must.False(t, w.Cancel())
				}
				syncWaiting()
			},
		})
	})
}

// Guards against one workspace that fills the queue and delays the few requests
// of another until all of its own have been served.
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

// Guards against counting the turns of shed requests: the next request of a
// small workspace would wait behind the whole backlog of a large one.
func TestShedRequestsDoNotCountAsServed(t *testing.T) {
	q, c := newQueue(0)
	for range 50 {
		_, err := q.Join(limiter.Item{Workspace: "large"})
		must.NoError(t, err)
		_, err = q.Join(limiter.Item{Workspace: "small", Deadline: c.Now().Add(time.Second)})
		must.NoError(t, err)
	}
	advance(c, 2*time.Second)
	q.Expire()
	must.EqOp(t, 50, q.Len())
	_, err := q.Join(limiter.Item{Workspace: "small"})
	must.NoError(t, err)
	must.SliceContains(t, []string{q.Next().Workspace, q.Next().Workspace}, "small")
}

// Guards against a rate measured while the upstreams were slow that refuses
// every request after they recovered with nothing queued.
func TestLowRateDoesNotRefuseForever(t *testing.T) {
	q, c := newQueue(0)
	join := func() error {
		_, err := q.Join(limiter.Item{Workspace: "farm", Deadline: c.Now().Add(time.Second)})
		return err
	}
	_, err := q.Join(limiter.Item{Workspace: "farm"})
	must.NoError(t, err)
	advance(c, 5*time.Second)
	q.Finished(1)
	must.NotNil(t, q.Next())
	must.NoError(t, join(), must.Sprint("the first in line"))
	must.Error(t, join(), must.Sprint("the second would start too late"))
}

// Guards against one retry time for all of a hundred callers refused at the same
// moment: they would come back together and be refused again.
func TestRetryTimesOfRefusedCallersAreSpread(t *testing.T) {
	q, c := newQueue(1)
	_, err := q.Join(limiter.Item{Workspace: "farm"})
	must.NoError(t, err)
	for range 20 {
		advance(c, 100*time.Millisecond)
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

// Guards against moving a request that had its turn to the back of the queue
// when its replica was full: it would wait a second time and be shed although
// there was capacity for all.
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
