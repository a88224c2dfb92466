package emulator_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/emulator"
)

// Guards against an emulated engine that admits in order of arrival: urgent requests that are granted a slot in
// its queue would get no earlier answers than others.
func TestMoreUrgentRequestsAreAdmittedFirst(t *testing.T) {
	e := &emulator.Engine{Figures: figures()}
	e.Figures.Slots = 1
	for i, priority := range []int{5, 2, 0, 0, 1} {
		must.True(t, e.Add(emulator.Request{ID: fmt.Sprint(i), Prompt: 100, Answer: 5, Priority: priority}, start))
	}
	var ended []string
	for len(ended) < 5 {
		for _, v := range e.FinishPass() {
			if v.Last {
				ended = append(ended, v.ID)
			}
		}
	}
	must.Eq(t, []string{"0", "2", "3", "4", "1"}, ended)
}
