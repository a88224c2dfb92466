package deduplicator

import "net/http"

// Outcome is the state of a key in the ledger: one of Run, Running, Replay,
// Refused, Unknown and Unseen.
type Outcome interface{ outcome() }

// Run permits exactly this attempt to run the call. It must do so now and then
// call Finish, Abandon or Refuse.
type Run struct{}

// Running is a call that another attempt is running; see Ledger.Wait.
type Running struct{}

// Replay is a call that has run, with the reply it returned.
type Replay struct{ Reply Reply }

// Refused is a call that was closed without running and never will run here. The
// caller may retry with a new key.
type Refused struct{}

// Unknown is a call that may have run. It will not run here.
type Unknown struct{ Reason UnknownReason }

// Unseen is the outcome of Lookup for a call that has not arrived. It may still.
type Unseen struct{}

func (Run) outcome()     {}
func (Running) outcome() {}
func (Replay) outcome()  {}
func (Refused) outcome() {}
func (Unknown) outcome() {}
func (Unseen) outcome()  {}

// UnknownReason is why the outcome of a call is unknown.
type UnknownReason string

// The reasons for Unknown.
const (
	// OtherIncarnation is a key bound to another agent or another start of this one.
	OtherIncarnation UnknownReason = "otherIncarnation"
	// Evicted is a key issued no later than some key that the ledger has evicted.
	Evicted UnknownReason = "forgotten"
	// InDoubt is a call whose run ended without a reply of the service.
	InDoubt UnknownReason = "inDoubt"
	// ReplyNotKept is a call that ran, but whose reply was too large to keep.
	ReplyNotKept UnknownReason = "replyNotKept"
	// FromFuture is a key issued far ahead of the agent's clock.
	FromFuture UnknownReason = "fromFuture"
	// LedgerFull is a call for which there is no entry, as running calls occupy all.
	LedgerFull UnknownReason = "overrun"
)

// Reply is the service's reply.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// size estimates the reply's memory in bytes.
func (r Reply) size() int {
	n := len(r.Body)
	for name, values := range r.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}
