package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// A process could not reach the store just now, as when a watch of its was cut, and hears
// from another one that an upstream's record went. The upstream did leave, and the others
// kept away from it as soon as they heard; were the time that it is kept counted from the
// hearing, each hop would add to it, and a caller's request would reach an upstream that
// had told all the world that it goes.
func TestLateWordOfALeavingIsNotKeptLonger(t *testing.T) {
	heard, c := newRegistrar()
	heard.Apply(registrar.Batch{Whole: true, At: 5, Records: []registrar.Record{record("up/a", "1", 5)}})
	late := &registrar.Registrar{Clock: c, Decode: decode, Linger: 1600 * time.Millisecond}
	late.Apply(heard.Since(0))
	c.Step(5 * time.Second)
	heard.Apply(registrar.Batch{After: 5, At: 6, Records: []registrar.Record{{Key: "up/a", Revision: 6, Deleted: true}}})
	c.Step(time.Second)
	late.StoreLost()
	late.Apply(heard.Since(5))
	c.Step(700 * time.Millisecond)
	late.Tick()
	must.Len(t, 0, late.View().Service("s"), must.Sprint("1.7 s after it left"))
}
