package deduplicator

import "net/http"

// Verdict is what the ledger knows of a key: one of Run, Running, Replay,
// Refused, Unknown and Unseen.
type Verdict interface{ verdict() }

// Run tells the asker that it, and nobody else, must run the call now and then
// call Finish, Abandon or Refuse.
type Run struct{}

// Running is a call that another attempt is running; see Ledger.Wait.
type Running struct{}

// Replay is a call that has run; the reply is the one it gave.
type Replay struct{ Reply Reply }

// Refused is a call that was closed without running and never will run here. The
// caller may go on with a new key.
type Refused struct{}

// Unknown is a call of which nobody can say whether it ran. It will not run here.
type Unknown struct{ Reason UnknownReason }

// Unseen is Lookup's word for a call that has not arrived. It may still.
type Unseen struct{}

func (Run) verdict()     {}
func (Running) verdict() {}
func (Replay) verdict()  {}
func (Refused) verdict() {}
func (Unknown) verdict() {}
func (Unseen) verdict()  {}

// UnknownReason says why nothing is known of a call.
type UnknownReason string

// The reasons for Unknown.
const (
	// OtherIncarnation is a key bound to another agent or another start of this.
	OtherIncarnation UnknownReason = "otherIncarnation"
	// Forgotten is a key as old as some that the ledger had to forget.
	Forgotten UnknownReason = "forgotten"
	// InDoubt is a call whose run ended without an answer from the service.
	InDoubt UnknownReason = "inDoubt"
	// NotKept is a call that ran, but whose reply was too large to keep.
	NotKept UnknownReason = "replyNotKept"
	// FromFuture is a key issued far ahead of the agent's clock.
	FromFuture UnknownReason = "fromFuture"
	// Overrun is a ledger whose every place is taken by a running call.
	Overrun UnknownReason = "overrun"
)

// Reply is what the service answered.
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
