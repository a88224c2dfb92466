package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// Guards against an entry that denies a route or key which was added more than two seconds ago, the time within which it
// has to take effect, as its own last confirmation is older.
func TestConfirmationOlderThanAChangeTakesIsNotFresh(t *testing.T) {
	r, c := newRegistrar()
	r.Apply(registrar.Batch{Whole: true, At: 1, Records: []registrar.Record{record("table", "1", 1)}})
	c.Step(1900 * time.Millisecond)
	must.True(t, r.Fresh())
	c.Step(200 * time.Millisecond)
	must.False(t, r.Fresh())
}
