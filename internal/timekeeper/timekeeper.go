// Package timekeeper provides a clock that measures elapsed time including the time for which
// the VM was suspended.
//
// The monotonic clock, by which the standard library measures elapsed time and runs timers,
// stops while a VM is suspended. The time of day continues, but may be set at any time.
// Linux's CLOCK_BOOTTIME does neither.
//
// Times of this clock count from the VM's start, represented as the beginning of 1970.
// Compare them with each other only. A deadline of a connection, of a context or of a
// request is a time of the standard library's clock; code that uses the one and code that
// uses the other exchange durations and never times.
package timekeeper

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/utils/clock"
)

// UnreadableError reports that the kernel doesn't provide a clock.
type UnreadableError struct {
	// Clock is the kernel's name of the clock.
	Clock string
	Err   error
}

func (e *UnreadableError) Error() string { return fmt.Sprintf("read %s: %v", e.Clock, e.Err) }

// Unwrap returns the kernel's error.
func (e *UnreadableError) Unwrap() error { return e.Err }

// Clock includes suspended time in Now and Since. Its timers and tickers are those of the
// embedded clock and exclude suspended time: one that is set when the VM is suspended
// fires that much later. Set the exported fields before use; it is safe for concurrent
// use.
type Clock struct {
	clock.WithTicker
	// Elapsed is the time since the VM's start, suspended time included.
	Elapsed func() time.Duration
}

// New returns the clock of the VM on which the process runs. It fails where the kernel does
// not measure suspended time.
func New() (*Clock, error) {
	if _, err := sinceBoot(); err != nil {
		return nil, err
	}
	return &Clock{WithTicker: clock.RealClock{}, Elapsed: elapsed}, nil
}

// Now returns the time since the VM's start, as a time of 1970.
func (c *Clock) Now() time.Time { return time.Unix(0, int64(c.Elapsed())) }

// Since returns the time elapsed since a time of this clock.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

func sinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, &UnreadableError{Clock: "CLOCK_BOOTTIME", Err: err}
	}
	return time.Duration(t.Nano()), nil
}

// elapsed can't fail: the kernel refuses only clocks that it doesn't have, and New has read
// this one.
func elapsed() time.Duration {
	d, err := sinceBoot()
	if err != nil {
		panic(err)
	}
	return d
}

// checkInterval is how often WaitUntil and WaitFor read the clock.
const checkInterval = 25 * time.Millisecond

// WaitUntil waits until a time of a clock, and notices a suspension within checkInterval, though timers don't count
// it. The error is the context's.
func WaitUntil(ctx context.Context, c clock.Clock, t time.Time) error {
	return WaitFor(ctx, c, func() time.Time { return t })
}

// WaitFor is WaitUntil for a time that may change meanwhile.
func WaitFor(ctx context.Context, c clock.Clock, due func() time.Time) error {
	for left := due().Sub(c.Now()); left > 0; left = due().Sub(c.Now()) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.After(min(left, checkInterval)):
		}
	}
	return ctx.Err()
}
