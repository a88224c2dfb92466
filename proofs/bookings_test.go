package proofs_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// maxBookingTries is how often a caller tries a booking whose fate is unknown.
const maxBookingTries = 6

// outcomeCrossed is the fate of a booking whose caller got the answer to another booking.
const outcomeCrossed = "crossed"

// keySource describes where the key of a booking comes from.
type keySource struct {
	name   string
	header string
	// newKey returns the key for a booking, or "" if none is available.
	newKey func(ctx context.Context, addr netip.AddrPort, booking string) string
}

// entryKeys are issued by an entry, callerKeys are made by the caller.
var (
	entryKeys = keySource{"minted", "Oriolecroft-Key", func(ctx context.Context, addr netip.AddrPort, _ string) string {
		return fetchKey(ctx, addr)
	}}
	callerKeys = keySource{"own", "Idempotency-Key", func(_ context.Context, _ netip.AddrPort, booking string) string {
		return "key-of-" + booking
	}}
)

// bookings runs callers that make bookings until they are stopped. Each booking is
// tried with one key through one entry after the other until its fate is known.
type bookings struct {
	deployment *deployment
	source     keySource
	cancel     context.CancelFunc
	group      sync.WaitGroup

	mu    sync.Mutex
	fates map[string]string
	// keys holds the key of each booking, by name.
	keys map[string]string
}

func startBookings(t *testing.T, callers int, d *deployment, kind keySource) *bookings {
	ctx, cancel := context.WithCancel(t.Context())
	b := &bookings{deployment: d, source: kind, cancel: cancel, fates: map[string]string{}, keys: map[string]string{}}
	for i := range callers {
		b.group.Go(func() { b.bookRepeatedly(ctx, i) })
	}
	t.Cleanup(b.stop)
	return b
}

func (b *bookings) bookRepeatedly(ctx context.Context, caller int) {
	pause := time.NewTicker(refusalPause)
	defer pause.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		name := fmt.Sprintf("%s-%d-%d", b.source.name, caller, n)
		// A booking that was started is followed to its end.
		key, fate := b.book(context.WithoutCancel(ctx), name, caller+n, pause.C)
		b.mu.Lock()
		b.keys[name], b.fates[name] = key, fate
		b.mu.Unlock()
		if fate != outcomeRan {
			<-pause.C
		}
	}
}

// book tries one booking and returns its key and its last known fate.
func (b *bookings) book(ctx context.Context, name string, offset int, pause <-chan time.Time) (key, fate string) {
	entries := b.deployment.callerAddresses()
	fate = outcomeNotRun
	for try := range maxBookingTries {
		addr := entries[(offset+try)%len(entries)]
		if key == "" {
			key = b.source.newKey(ctx, addr, name)
		}
		if key == "" {
			<-pause
			continue
		}
		r := book(ctx, addr, b.source.header, key, name)
		if r.outcome == outcomeRan && r.name != name {
			return key, outcomeCrossed
		}
		if r.outcome != outcomeUnsent {
			fate = r.outcome
		}
		if fate == outcomeRan || fate == outcomeNotRun && r.outcome != outcomeUnsent {
			return key, fate
		}
		<-pause
	}
	return key, fate
}

// stop ends the callers once the fates of their bookings are settled.
func (b *bookings) stop() {
	b.cancel()
	b.group.Wait()
}

// confirmed returns the number of bookings confirmed so far.
func (b *bookings) confirmed() int { return b.countFate(outcomeRan) }

// countFate returns the number of bookings with the given fate so far.
func (b *bookings) countFate(fate string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, f := range b.fates {
		if f == fate {
			n++
		}
	}
	return n
}

// awaitConfirmed waits until the given number of further bookings is confirmed.
func (b *bookings) awaitConfirmed(t *testing.T, further int) {
	t.Helper()
	target := b.confirmed() + further
	eventually(t, waitTimeout, fmt.Sprintf("%d more bookings", further), func() bool { return b.confirmed() >= target })
}

// mustMatchRuns compares the outcomes that callers received with the runs at the
// services. Unknown fates are first queried once more by key.
func (b *bookings) mustMatchRuns(t *testing.T) {
	t.Helper()
	must.Positive(t, b.confirmed())
	addr := b.deployment.callerAddresses()[len(b.deployment.entries)-1]
	for name, fate := range b.fates {
		if fate == outcomeUnknown {
			b.fates[name] = fetchFate(t.Context(), addr, b.keys[name])
		}
	}
	runs := b.deployment.bookingRuns()
	for name, fate := range b.fates {
		mustMatchRunCount(t, name, fate, runs[name])
	}
}

// mustMatchRunCount compares the fate of one booking with how often it ran.
func mustMatchRunCount(t *testing.T, name, fate string, runs int64) {
	t.Helper()
	must.LessEq(t, 1, runs, must.Sprintf("booking %s ran twice", name))
	switch fate {
	case outcomeRan:
		must.Eq(t, 1, runs, must.Sprintf("booking %s was confirmed but has not run", name))
	case outcomeNotRun:
		must.Zero(t, runs, must.Sprintf("booking %s was reported as not run but ran", name))
	}
}
