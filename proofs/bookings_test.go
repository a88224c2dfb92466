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

// bookingTries is how often a caller tries a booking of unknown fate.
const bookingTries = 6

// crossed is the fate of a booking whose caller got the answer to another one.
const crossed = "crossed"

// keyKind says where a booking's key comes from.
type keyKind struct {
	name   string
	header string
	// make gives the key for a booking; empty when there is none now.
	make func(ctx context.Context, at netip.AddrPort, booking string) string
}

// minted keys are made by an entry, ownKeys by the caller.
var (
	minted = keyKind{"minted", "Oriolecroft-Key", func(ctx context.Context, at netip.AddrPort, _ string) string {
		return mint(ctx, at)
	}}
	ownKeys = keyKind{"own", "Idempotency-Key", func(_ context.Context, _ netip.AddrPort, booking string) string {
		return "key-of-" + booking
	}}
)

// bookings are callers that book until they are stopped, each booking with one
// key and through one entry after the other until its fate is known.
type bookings struct {
	deployment *deployment
	kind       keyKind
	cancel     context.CancelFunc
	group      sync.WaitGroup

	mu    sync.Mutex
	fates map[string]string
	// keys are those of the bookings, by name.
	keys map[string]string
}

func startBookings(t *testing.T, callers int, d *deployment, kind keyKind) *bookings {
	ctx, cancel := context.WithCancel(t.Context())
	b := &bookings{deployment: d, kind: kind, cancel: cancel, fates: map[string]string{}, keys: map[string]string{}}
	for i := range callers {
		b.group.Go(func() { b.run(ctx, i) })
	}
	t.Cleanup(b.stop)
	return b
}

func (b *bookings) run(ctx context.Context, caller int) {
	pause := time.NewTicker(betweenRefusals)
	defer pause.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		name := fmt.Sprintf("%s-%d-%d", b.kind.name, caller, n)
		// A booking that was begun is followed to its end.
		key, fate := b.book(context.WithoutCancel(ctx), name, caller+n, pause.C)
		b.mu.Lock()
		b.keys[name], b.fates[name] = key, fate
		b.mu.Unlock()
		if fate != ran {
			<-pause.C
		}
	}
}

// book tries one booking and gives its key and the last word on it.
func (b *bookings) book(ctx context.Context, name string, first int, pause <-chan time.Time) (key, fate string) {
	entries := b.deployment.callers()
	fate = notRun
	for try := range bookingTries {
		at := entries[(first+try)%len(entries)]
		if key == "" {
			key = b.kind.make(ctx, at, name)
		}
		if key == "" {
			<-pause
			continue
		}
		r := book(ctx, at, b.kind.header, key, name)
		if r.outcome == ran && r.name != name {
			return key, crossed
		}
		if r.outcome != unsent {
			fate = r.outcome
		}
		if fate == ran || fate == notRun && r.outcome != unsent {
			return key, fate
		}
		<-pause
	}
	return key, fate
}

// stop ends the callers once they have the last word on their bookings.
func (b *bookings) stop() {
	b.cancel()
	b.group.Wait()
}

// done is how many bookings were confirmed so far.
func (b *bookings) done() int { return b.count(ran) }

// count is how many bookings had a fate so far.
func (b *bookings) count(fate string) int {
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

// moves waits for a number of further confirmed bookings.
func (b *bookings) moves(t *testing.T, further int) {
	t.Helper()
	target := b.done() + further
	eventually(t, patience, fmt.Sprintf("%d more bookings", further), func() bool { return b.done() >= target })
}

// mustBeTrue compares what callers were told with what the services did. Of those
// whose fate is unknown the system is asked once more, by their keys.
func (b *bookings) mustBeTrue(t *testing.T) {
	t.Helper()
	must.Positive(t, b.done())
	at := b.deployment.callers()[len(b.deployment.entries)-1]
	for name, word := range b.fates {
		if word == unknown {
			b.fates[name] = fate(t.Context(), at, b.keys[name])
		}
	}
	runs := b.deployment.runs()
	for name, word := range b.fates {
		mustMatch(t, name, word, runs[name])
	}
}

// mustMatch compares the word on one booking with how often it ran.
func mustMatch(t *testing.T, name, word string, runs int64) {
	t.Helper()
	must.LessEq(t, 1, runs, must.Sprintf("booking %s ran twice", name))
	switch word {
	case ran:
		must.Eq(t, 1, runs, must.Sprintf("booking %s was confirmed and has not run", name))
	case notRun:
		must.Zero(t, runs, must.Sprintf("booking %s was called not run and ran", name))
	}
}
