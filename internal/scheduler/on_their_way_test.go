package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/emulator"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// Guards against granting slots that requests sent without a grant have: an engine's report of
// these is set off against granted requests that are still on their way, and the last to be
// granted a slot begins later than the margin before the end of its weights' time allows.
func TestRequestsOnTheirWayHideNoUnaskedOnes(t *testing.T) {
	const way = 8
	for unasked := 4; unasked <= figures().Slots-way; unasked++ {
		t.Run(fmt.Sprintf("%d unasked", unasked), func(t *testing.T) {
			l, c := openLedger()
			e := &emulator.Engine{Figures: figures()}
			began := map[string]time.Time{}
			finish := func(until time.Time) {
				for {
					next, busy := e.PassEnd()
					if !busy || next.After(until) {
						return
					}
					for _, v := range e.FinishPass() {
						if v.First {
							began[v.ID] = v.At
						}
					}
				}
			}
			for i := range unasked {
				must.True(t, e.Add(emulator.Request{ID: fmt.Sprint("unasked", i), Prompt: 1000, Answer: 300}, c.Now()))
			}
			reserve := func(id string) scheduler.Verdict {
				return l.Reserve(scheduler.Job{ID: id, Prompt: 100, Answer: 300, Patience: time.Second, Left: 6 * time.Second}, 0)
			}
			for i := range way {
				must.True(t, reserve(fmt.Sprint("way", i)).Granted)
			}
			c.Step(500 * time.Millisecond)
			finish(c.Now())
			l.Observe(e.Report(c.Now()).Running+e.Waiting(), 1)
			var next []string
			var last scheduler.Verdict
			for v := reserve("next0"); v.Granted; v = reserve(fmt.Sprint("next", len(next))) {
				next, last = append(next, fmt.Sprint("next", len(next))), v
			}
			for i := range way {
				must.True(t, e.Add(emulator.Request{ID: fmt.Sprint("way", i), Prompt: 100, Answer: 300}, c.Now()))
			}
			for _, id := range next {
				must.True(t, e.Add(emulator.Request{ID: id, Prompt: 100, Answer: 300}, c.Now()))
			}
			finish(c.Now().Add(time.Minute))
			if len(next) > 0 {
				must.LessEq(t, last.Wait+startMargin, began[next[len(next)-1]].Sub(c.Now()),
					must.Sprintf("%d requests at %d slots", unasked+way+len(next), figures().Slots))
			}
			must.Eq(t, figures().Slots-unasked-way, len(next), must.Sprint("no slot is left empty either"))
		})
	}
}
