package registrar

import (
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"
)

// Confirmation tells on whose word the known weights count as the newest, and how old that word is.
type Confirmation struct {
	// Age is the time since the store confirmed that no newer weights were announced, or since the end of an outage of
	// the store that was inferred after that.
	Age time.Duration
	// StoreAge is the time since the store's confirmation alone.
	StoreAge time.Duration
	// By is the process that received it from the store; empty if unknown.
	By string
}

// LogFields returns the log fields that describe a confirmation.
func (c Confirmation) LogFields() []any {
	return []any{"confirmedAge", c.Age, "storeConfirmedAge", c.StoreAge, "confirmedBy", c.By}
}

// Confirmation returns the current confirmation.
func (r *Registrar) Confirmation() Confirmation { return r.confirmation.Load().ages(r.Clock) }

// ConfirmedAge returns the age of the current confirmation.
func (r *Registrar) ConfirmedAge() time.Duration { return r.Confirmation().Age }

// confirmation is a view and the time until which nothing else can have been announced: the store's last confirmation
// that one process received from it, or the end of an outage inferred since then.
type confirmation struct {
	view            *View
	until, storedAt time.Time
	by              string
}

// confirm publishes the current confirmation. It is read without the lock: to apply a large route table takes longer
// than entries wait for a slot.
func (r *Registrar) confirm() {
	c := &confirmation{view: r.view.Load(), until: r.confirmedUntil(), storedAt: r.weightsConfirmation(), by: r.confirmedBy}
	if previous := r.confirmation.Swap(c); c.isInferred() != previous.isInferred() {
		klog.InfoS("Weights confirmed by an outage", append([]any{"inferred", c.isInferred()}, c.ages(r.Clock).LogFields()...)...)
	}
}

// isInferred reports whether an inferred outage extends the store's confirmation; a nil one is not.
func (c *confirmation) isInferred() bool { return c != nil && c.until.After(c.storedAt) }

// ages returns the confirmation with ages instead of times; a nil one is as old as can be.
func (c *confirmation) ages(clk clock.PassiveClock) Confirmation {
	if c == nil {
		c = &confirmation{}
	}
	return Confirmation{Age: clk.Since(c.until), StoreAge: clk.Since(c.storedAt), By: c.by}
}
