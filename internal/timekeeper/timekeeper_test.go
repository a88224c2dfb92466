package timekeeper_test

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/suspender"
	"github.com/oriolecroft/oriolecroft/internal/timekeeper"
)

// kernelUptime is the time since the VM's start as in /proc/uptime, suspended time included,
// in hundredths of a second.
func kernelUptime(t *testing.T) time.Duration {
	t.Helper()
	text, err := os.ReadFile("/proc/uptime")
	must.NoError(t, err)
	seconds, err := strconv.ParseFloat(strings.Fields(string(text))[0], 64)
	must.NoError(t, err)
	return time.Duration(seconds * float64(time.Second))
}

// If the daemons used the monotonic clock, the fault would show only after a VM is suspended:
// callers then get old weights. On a VM that was suspended before, the kernel's uptime
// differs from the monotonic clock by that time.
func TestClockOfThisVMCountsSinceItsStart(t *testing.T) {
	c, err := timekeeper.New()
	must.NoError(t, err)
	before := kernelUptime(t)
	now := c.Now().Sub(time.Unix(0, 0))
	after := kernelUptime(t)
	must.GreaterEq(t, before, now)
	must.LessEq(t, after+10*time.Millisecond, now)
	started := c.Now()
	time.Sleep(20 * time.Millisecond)
	must.GreaterEq(t, 20*time.Millisecond, c.Since(started))
}

// A timer runs by the monotonic clock, and the age beside it includes the suspended time.
func TestAgesIncludeSuspensionAndTimersDoNot(t *testing.T) {
	steady := clocktest.NewFakeClock(time.Unix(1000, 0))
	vm := &suspender.VM{Steady: steady}
	c := vm.Clock()
	started := c.Now()
	fired := c.After(time.Second)
	vm.Suspend(9 * time.Second)
	must.Eq(t, 9*time.Second, c.Since(started))
	must.Eq(t, 0, len(fired))
	steady.Step(time.Second)
	must.Eq(t, 10*time.Second, c.Since(started))
	must.Eq(t, 1, len(fired))
}

// A time of this clock that is mixed up with those of the standard library must be obvious:
// it lies decades before them, so that a deadline derived from it has passed.
func TestTimesLieBeforeTimesOfDay(t *testing.T) {
	c, err := timekeeper.New()
	must.NoError(t, err)
	must.True(t, c.Now().Add(24*time.Hour).Before(time.Now()))
}

func BenchmarkNow(b *testing.B) {
	counting, err := timekeeper.New()
	must.NoError(b, err)
	for name, c := range map[string]clock.PassiveClock{"counting": counting, "real": clock.RealClock{}} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				_ = c.Now()
			}
		})
	}
}
