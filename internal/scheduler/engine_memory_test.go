package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// Guards against an engine that crashes because the requests granted there exceed its memory.
func TestGrantsStayWithinTheEnginesMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, _ := openLedger()
		memory := rapid.IntRange(1, 40_000).Draw(t, "memory")
		foreign := rapid.IntRange(0, 3).Draw(t, "foreign")
		l.Observe(foreign, 1)
		l.SetMemory(memory)
		held, sizes := foreign*(figures().UsualPrompt+figures().UsualAnswer), map[string]int{}
		for i := range rapid.IntRange(1, 30).Draw(t, "requests") {
			j := job(i, unlimitedWait)
			j.Prompt, j.MaxAnswer = rapid.IntRange(1, 9000).Draw(t, "prompt"), rapid.SampledFrom([]int{0, 50, 4000}).Draw(t, "longest answer")
			size := j.Prompt + max(j.Answer, j.MaxAnswer)
			v := l.Reserve(j, nil)
			if v.Granted {
				held, sizes[j.ID] = held+size, size
				must.LessEq(t, memory, held)
				continue
			}
			must.Positive(t, v.Free)
			must.True(t, held+size > memory || len(sizes)+foreign == figures().Slots, must.Sprint("refused despite free memory and slots"))
			for id, size := range sizes {
				l.Ended(id)
				delete(sizes, id)
				held -= size
				break
			}
		}
	})
}

// unlimitedWait is a wait limit that refuses no request.
const unlimitedWait = 1 << 40

// Guards against a limit where the engine states no memory.
func TestUnknownMemoryIsUnlimited(t *testing.T) {
	l, _ := openLedger()
	for i := range figures().Slots {
		j := scheduler.Job{ID: fmt.Sprint(i), Prompt: 100, MaxAnswer: 1 << 40, Patience: unlimitedWait}
		must.True(t, l.Reserve(j, nil).Granted)
	}
}
