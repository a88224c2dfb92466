package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// The operators write a version that is in force once more, as a repeated command does. The weights
// before it were replaced by the first write; if that counted from the second, they would start
// replies beyond their time limit.
func TestVersionWrittenTwiceCountsFromFirst(t *testing.T) {
	r, c := newRegistrar()
	r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("weights/m", "1", 1)}})
	first := c.Now()
	r.Apply(registrar.Batch{After: 1, At: 2, Records: []registrar.Record{record("weights/m", "2", 2)}})
	c.Step(5 * time.Second)
	r.Apply(registrar.Batch{After: 2, At: 3, Records: []registrar.Record{record("weights/m", "2", 3)}})
	w, _ := r.View().Weights("m")
	must.Eq(t, first, w.Learned)
	superseded, _ := w.SupersededAt(1)
	must.Eq(t, first, superseded)
}
