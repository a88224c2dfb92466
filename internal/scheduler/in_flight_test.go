package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/emulator"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// Guards against granting slots that are taken by requests sent without a grant: an engine's report of these is
// set off against granted requests still in flight, and the last granted one starts later than the margin
// before its weights' expiry allows.
func TestInFlightRequestsHideNoUnreservedOnes(t *testing.T) {
	const inFlight = 8
	for unreserved := 4; unreserved <= figures().Slots-inFlight; unreserved++ {
		t.Run(fmt.Sprintf("%d unreserved", unreserved), func(t *testing.T) {
			l, c := openLedger()
			e := &emulator.Engine{Figures: figures()}
			startedAt := map[string]time.Time{}
			finish := func(until time.Time) {
				for {
					next, busy := e.PassEnd()
					if !busy || next.After(until) {
						return
					}
					for _, v := range e.FinishPass() {
						if v.First {
							startedAt[v.ID] = v.At
						}
					}
				}
			}
			for i := range unreserved {
				must.True(t, e.Add(emulator.Request{ID: fmt.Sprint("unasked", i), Prompt: 1000, Answer: 300}, c.Now()))
			}
			reserve := func(id string) scheduler.Decision {
				return l.Reserve(scheduler.Job{ID: id, Prompt: 100, Answer: 300, Patience: time.Second, Left: 6 * time.Second}, 0)
			}
			for i := range inFlight {
				must.True(t, reserve(fmt.Sprint("way", i)).Granted)
			}
			c.Step(500 * time.Millisecond)
			finish(c.Now())
			l.Observe(e.Report(c.Now()).Running+e.Waiting(), 1)
			var next []string
			var last scheduler.Decision
			for v := reserve("next0"); v.Granted; v = reserve(fmt.Sprint("next", len(next))) {
				next, last = append(next, fmt.Sprint("next", len(next))), v
			}
			for i := range inFlight {
				must.True(t, e.Add(emulator.Request{ID: fmt.Sprint("way", i), Prompt: 100, Answer: 300}, c.Now()))
			}
			for _, id := range next {
				must.True(t, e.Add(emulator.Request{ID: id, Prompt: 100, Answer: 300}, c.Now()))
			}
			finish(c.Now().Add(time.Minute))
			if len(next) > 0 {
				must.LessEq(t, last.Wait+startMargin, startedAt[next[len(next)-1]].Sub(c.Now()),
					must.Sprintf("%d requests at %d slots", unreserved+inFlight+len(next), figures().Slots))
			}
			must.Eq(t, figures().Slots-unreserved-inFlight, len(next), must.Sprint("all free slots are granted"))
		})
	}
}
