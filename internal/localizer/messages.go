package localizer

import "time"

// Update is evidence that entries exchange. Times are ages, as the clocks of VMs differ.
type Update struct {
	Reports []Report `json:"reports,omitempty"`
	Replies []Reply  `json:"replies,omitempty"`
	Blames  []Blame  `json:"blames,omitempty"`
	// All pulls the receiver's snapshot.
	All bool `json:"all,omitempty"`
	// Begun is how many replies of the entry named got under way in the last replyWindow; in replies to updates.
	Entry string `json:"entry,omitempty"`
	Begun int    `json:"begun,omitempty"`
}

// Report is what one entry saw of one crash.
type Report struct {
	// Upstream crashed.
	Upstream string `json:"upstream"`
	Entry    string `json:"entry"`
	// AgeMS is how many milliseconds ago the crash was.
	AgeMS int64 `json:"ageMs"`
	// Requests of the entry were cut before their replies had got under way; Parts are the parts that
	// these share with others.
	Requests int      `json:"requests"`
	Parts    []string `json:"parts,omitempty"`
	// Replies is how many replies of the entry got under way in the replyWindow before.
	Replies int `json:"replies"`
}

// Reply is the newest reply to a prompt with a part that got under way.
type Reply struct {
	Part string `json:"part"`
	// AgeMS is how many milliseconds ago it began.
	AgeMS int64 `json:"ageMs"`
}

// Blame is the verdict that a part of prompts crashes upstreams. It is kept in the store, too. A later
// epoch supersedes earlier ones, and within an epoch the end of a blame supersedes it.
type Blame struct {
	Part string `json:"part"`
	// Epoch is the Unix millisecond of the decision, and higher than that of any former blame of the part.
	Epoch uint64 `json:"epoch"`
	// Lifted blames are over, for the reason given.
	Lifted bool   `json:"lifted,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Entry decided, at a time of its VM's clock.
	Entry     string    `json:"entry"`
	DecidedAt time.Time `json:"decidedAt"`
	// Crashes came with the part and none of its replies got under way meanwhile; Upstreams are the last
	// ones to crash. Chance is the probability of that for a part that has nothing to do with it.
	Crashes   int      `json:"crashes"`
	Upstreams []string `json:"upstreams,omitempty"`
	Chance    float64  `json:"chance"`
	// Trials is how many requests with the part were sent since to see whether it still crashes
	// upstreams, the last one at TriedAt.
	Trials  int       `json:"trials,omitempty"`
	TriedAt time.Time `json:"triedAt,omitzero"`
}

// LogFields are the evidence, for log lines.
func (b *Blame) LogFields() []any {
	return []any{
		"part", b.Part, "epoch", b.Epoch, "decidedBy", b.Entry, "decidedAt", b.DecidedAt, "crashes", b.Crashes, "chance", b.Chance,
		"upstreams", b.Upstreams, "trials", b.Trials,
	}
}

// Supersedes tells whether this state of a blame replaces another one.
func (b *Blame) Supersedes(other *Blame) bool {
	switch {
	case b.Epoch != other.Epoch:
		return b.Epoch > other.Epoch
	case b.Lifted != other.Lifted:
		return b.Lifted
	default:
		return b.Trials > other.Trials
	}
}
