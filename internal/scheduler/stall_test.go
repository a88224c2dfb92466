package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against avoiding upstreams after the end of a stall, or not during one.
func TestStalledUpstreamIsAvoidedUntilProgress(t *testing.T) {
	c, clock := newChooser()
	c.RecordStall("a")
	must.True(t, c.Avoided("a"))
	c.RecordProgress("a")
	must.False(t, c.Avoided("a"))
	c.RecordStall("a")
	c.RecordSuccess("a")
	must.False(t, c.Avoided("a"))
	for range 3 {
		c.RecordStall("a")
	}
	clock.Step(time.Second)
	must.True(t, c.Avoided("a"))
}

// Guards against the end of a stall that hides a failure.
func TestProgressHidesNoFailure(t *testing.T) {
	for _, stalledFirst := range []bool{false, true} {
		c, _ := newChooser()
		if stalledFirst {
			c.RecordStall("a")
		}
		c.RecordFailure("a", true)
		if !stalledFirst {
			c.RecordStall("a")
		}
		c.RecordProgress("a")
		must.True(t, c.Avoided("a"))
	}
}
