package emulator_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/emulator"
)

// Guards against a model of an engine that admits in order of arrival: urgent requests that are granted a place in
// its queue would look no better off than others.
func TestMoreUrgentRequestsAreAdmittedFirst(t *testing.T) {
	f := figures()
	f.Slots = 1
	e := &emulator.Engine{Figures: f}
	must.True(t, e.Add(emulator.Request{ID: "running", Prompt: 100, Answer: 50, Priority: 5}, start))
	for _, r := range []emulator.Request{{ID: "batch", Priority: 2}, {ID: "live", Priority: 0}, {ID: "live2", Priority: 0}, {ID: "summary", Priority: 1}} {
		r.Prompt, r.Answer = 100, 5
		must.True(t, e.Add(r, start.Add(time.Millisecond)))
	}
	var ended []string
	for len(ended) < 5 {
		for _, v := range e.Finish() {
			if v.Last {
				ended = append(ended, v.ID)
			}
		}
	}
	must.Eq(t, []string{"running", "live", "live2", "summary", "batch"}, ended)
}
