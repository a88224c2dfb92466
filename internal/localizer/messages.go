package localizer

import "time"

// Update is the evidence that entries exchange. Times are sent as ages because the clocks of VMs differ.
type Update struct {
	Reports []Report `json:"reports,omitempty"`
	Replies []Reply  `json:"replies,omitempty"`
	Blames  []Blame  `json:"blames,omitempty"`
	// All requests the receiver's snapshot.
	All bool `json:"all,omitempty"`
	// Begun is set in replies to updates: how many replies of Entry got under way in the last replyWindow.
	Entry string `json:"entry,omitempty"`
	Begun int    `json:"begun,omitempty"`
}

// Report is one entry's observation of one crash.
type Report struct {
	// Upstream is the one that crashed.
	Upstream string `json:"upstream"`
	Entry    string `json:"entry"`
	// AgeMS is the time since the crash in milliseconds.
	AgeMS int64 `json:"ageMs"`
	// Requests counts the requests of the entry interrupted before their replies were under way; Parts are
	// the parts that they share with others.
	Requests int      `json:"requests"`
	Parts    []string `json:"parts,omitempty"`
	// Replies is how many replies of the entry got under way in the replyWindow before.
	Replies int `json:"replies"`
}

// Reply is the newest reply to a prompt with a part that got under way.
type Reply struct {
	Part string `json:"part"`
	// AgeMS is the time since its start in milliseconds.
	AgeMS int64 `json:"ageMs"`
}

// Blame is the decision that a part of prompts crashes upstreams. It is also stored. A later epoch supersedes
// earlier ones, and within an epoch a lifted blame supersedes an active one.
type Blame struct {
	Part string `json:"part"`
	// Epoch is the Unix time of the decision in milliseconds, increased if needed to exceed earlier epochs of the part.
	Epoch uint64 `json:"epoch"`
	// Lifted marks a blame that has ended, for the given Reason.
	Lifted bool   `json:"lifted,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Entry is the entry that decided, at DecidedAt by its VM's clock.
	Entry     string    `json:"entry"`
	DecidedAt time.Time `json:"decidedAt"`
	// Crashes counts the crashes under requests with the part, without any reply under way in between;
	// Upstreams are the last ones to crash. Chance is the probability of that for an unrelated part.
	Crashes   int      `json:"crashes"`
	Upstreams []string `json:"upstreams,omitempty"`
	Chance    float64  `json:"chance"`
	// Trials is the number of requests sent since then to test whether the part still crashes upstreams,
	// the last one at TriedAt.
	Trials  int       `json:"trials,omitempty"`
	TriedAt time.Time `json:"triedAt,omitzero"`
}

// LogFields returns the evidence as keys and values for log lines.
func (b *Blame) LogFields() []any {
	return []any{
		"part", b.Part, "epoch", b.Epoch, "decidedBy", b.Entry, "decidedAt", b.DecidedAt, "crashes", b.Crashes, "chance", b.Chance,
		"upstreams", b.Upstreams, "trials", b.Trials,
	}
}

// Supersedes reports whether this state of a blame replaces another one.
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
