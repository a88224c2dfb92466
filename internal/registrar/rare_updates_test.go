package registrar_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktest "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// partitionedProcess follows a reader of the store at intervals, while its own calls to the store fail.
type partitionedProcess struct {
	*registrar.Registrar
	clock  *clocktest.FakeClock
	reader *registrar.Registrar
	// updateInterval is the time between two updates, callTakes how long a call takes to fail, and pause the time between
	// two calls.
	updateInterval, callTakes, pause time.Duration
	// startsAt and failsAt are when the next call starts and fails, elapsed the time since the start of the test.
	startsAt, failsAt, elapsed time.Duration
}

// run passes time; readerAnswered reports whether the store answers the reader and the updates arrive.
func (p *partitionedProcess) run(d time.Duration, readerAnswered bool) {
	const (
		step        = 50 * time.Millisecond
		answerEvery = 500 * time.Millisecond
	)
	for end := p.elapsed + d; p.elapsed < end; {
		p.clock.Step(step)
		p.elapsed += step
		p.Tick()
		if p.failsAt == 0 && p.elapsed >= p.startsAt {
			p.StoreCallStarted()
			p.failsAt = p.elapsed + p.callTakes
		}
		if p.failsAt != 0 && p.elapsed >= p.failsAt {
			p.StoreCallFailed()
			p.startsAt, p.failsAt = p.elapsed+p.pause, 0
		}
		if !readerAnswered {
			continue
		}
		if p.elapsed%answerEvery == 0 {
			p.reader.StoreCallStarted()
			p.reader.StoreCallSucceeded()
			p.reader.Apply(registrar.Batch{After: 1, At: 1})
		}
		if p.elapsed%p.updateInterval == 0 {
			p.Apply(p.reader.ChangesSince(1))
		}
	}
}

// Guards against an outage that is accepted for a single failed call, because another process is partitioned and
// receives updates so seldom that its failed calls look like an outage each time.
func TestPartitionedProcessWithRareUpdatesShowsNoOutage(t *testing.T) {
	const (
		maxInterval = 4 * time.Second
		history     = 20 * time.Second
		longestCall = 1900 * time.Millisecond
	)
	for updateInterval := 500 * time.Millisecond; updateInterval <= maxInterval; updateInterval += 250 * time.Millisecond {
		for callTakes := 50 * time.Millisecond; callTakes <= longestCall; callTakes += 450 * time.Millisecond {
			for pause := 100 * time.Millisecond; pause <= 1500*time.Millisecond; pause += 200 * time.Millisecond {
				for firstCall := time.Duration(0); firstCall < updateInterval; firstCall += 500 * time.Millisecond {
					c := clocktest.NewFakeClock(time.Unix(1000, 0))
					reader, partitioned := newPair(c)
					p := &partitionedProcess{Registrar: partitioned, clock: c, reader: reader, updateInterval: updateInterval, callTakes: callTakes, pause: pause, startsAt: firstCall}
					p.run((history+updateInterval-1)/updateInterval*updateInterval, true)
					announced := c.Now()
					reader.StoreCallStarted()
					p.run(longestCall, false)
					reader.StoreCallFailed()
					reader.Apply(partitioned.ChangesSince(1))
					got := supersededAfterPause(t, reader, c, 200*time.Millisecond)
					must.False(t, got.After(announced), must.Sprintf("%v after the announcement: updates each %v, calls of %v each %v from %v on",
						got.Sub(announced), updateInterval, callTakes, pause, firstCall))
				}
			}
		}
	}
}
