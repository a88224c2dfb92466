package registrar

import (
	"net/netip"
	"slices"
	"time"
)

// Record is a key of the store as it was at a revision.
type Record struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Packed is the value compressed, instead of Value, between our own processes.
	Packed []byte `json:"packed,omitempty"`
	// Revision is the store's counter at this change.
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
	// Age is how long ago the change was made, at the least; of a deletion at the most, as an
	// upstream whose record went is left alone from then on. UnknownAge stands for any time.
	Age time.Duration `json:"age,omitempty"`
	// Namings are those of a model's weights, the oldest first, between our own processes.
	Namings []PastNaming `json:"namings,omitempty"`
}

// UnknownAge is the age of a record that was found and not seen to change.
const UnknownAge = time.Duration(-1)

// Batch is a run of changes.
type Batch struct {
	// Whole batches hold all records there are: what they don't name is gone.
	Whole bool `json:"whole,omitempty"`
	// After and At bound the revisions that a batch covers; After means nothing in a
	// whole one.
	After   uint64   `json:"after"`
	At      uint64   `json:"at"`
	Records []Record `json:"records,omitempty"`
	// RecordsAge is how long ago the records were selected: their ages and Age are as of then. The
	// records are shared with other batches.
	RecordsAge time.Duration `json:"-"`
	// Age is how long ago the store answered that At was its newest revision, at the least. It is
	// the age that matters for who has lost touch with the store.
	Age time.Duration `json:"age"`
	// Unconfirmed is how much longer ago that may have been: nothing is known of announcements in
	// that time, as the answer may have been on its way.
	Unconfirmed time.Duration `json:"unconfirmed,omitempty"`
	// Partial tells that the store may have had more changes when it answered. The batch confirms
	// nothing then.
	Partial bool `json:"-"`
	// OutageFor is for how long after that answer the sender knows the store to have
	// answered nobody; zero for not at all.
	OutageFor time.Duration `json:"outageFor,omitempty"`
	// Outages is what the sender knows of such times in all regions.
	Outages []RegionOutage `json:"outages,omitempty"`
	// Held is how long the sender held the answer back for want of news, less RecordsAge; it may be negative.
	Held time.Duration `json:"held,omitempty"`
	// Lost tells that the sender reads the store itself and can't reach it now. Its word
	// may still be young, but nothing newer will come from there.
	Lost bool `json:"lost,omitempty"`
	// Refer is the process to ask instead, which is nearer to the asker; the batch holds nothing then.
	Refer netip.AddrPort `json:"refer,omitzero"`
	// AsOf is when the batch was received, by the registrar's clock: all its ages count from there. Zero
	// stands for now.
	AsOf time.Time `json:"-"`
	// Source is the call that brought the batch.
	Source Source `json:"-"`
}

// answered is when the store answered that At was its newest revision, at the latest.
func (b Batch) answered() time.Time { return b.AsOf.Add(-b.Age) }

// Source describes the call by which a process received a batch.
type Source struct {
	// Name is the peer's address, or names the kind of call to the store.
	Name string
	// Took is how long the call took, Wait for how long the answer was to be held back for want of
	// changes, and Held for how long a peer states that it was; the store doesn't state that.
	Took, Wait, Held time.Duration
}

// Older gives the batch as it is a while after it was sent, at the most. An answer may lie unread while
// its reader stands still; taken for new then, it would make old weights and old routes look
// as if the store had confirmed them just now. Ages that err to the other side stay: a cold upstream
// would be sent its full load before its cold time is over.
func (b Batch) Older(by time.Duration) Batch {
	b.Age += by
	b.Outages = slices.Clone(b.Outages)
	for i := range b.Outages {
		b.Outages[i].Until += by
	}
	records := make([]Record, 0, len(b.Records))
	for _, rec := range b.Records {
		if rec.Deleted {
			rec.Age = older(rec.Age, by)
		}
		rec.Namings = slices.Clone(rec.Namings)
		for i, n := range rec.Namings {
			rec.Namings[i].Age, rec.Namings[i].SinceAge = older(n.Age, by), older(n.SinceAge, by)
		}
		records = append(records, rec)
	}
	b.Records = records
	return b
}

func older(age, by time.Duration) time.Duration {
	if age == UnknownAge {
		return UnknownAge
	}
	return age + by
}
