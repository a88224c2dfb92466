package registrar

import (
	"net/netip"
	"slices"
	"time"
)

// Record is the state of a store key at a revision.
type Record struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Packed is the compressed value, sent between processes instead of Value.
	Packed []byte `json:"packed,omitempty"`
	// Revision is the store's counter at this change.
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
	// Age is the least time since the change; the greatest for a deletion, as an upstream gets no
	// requests after it. UnknownAge stands for any time.
	Age time.Duration `json:"age,omitempty"`
	// Announcements are the announcements of a model's weights, the oldest first, between processes.
	Announcements []AnnouncementReport `json:"namings,omitempty"`
}

// UnknownAge is the age of a record whose change was not observed.
const UnknownAge = time.Duration(-1)

// Batch is a sequence of changes.
type Batch struct {
	// Whole batches hold all existing records: records not listed were deleted.
	Whole bool `json:"whole,omitempty"`
	// After and At bound the revisions that a batch covers; After has no meaning in a whole one.
	After   uint64   `json:"after"`
	At      uint64   `json:"at"`
	Records []Record `json:"records,omitempty"`
	// RecordsAge is the time since the records were selected: their ages and Age are as of then.
	// The records are shared with other batches.
	RecordsAge time.Duration `json:"-"`
	// Age is the least time since the store answered that At was its newest revision. It determines
	// whether a process is disconnected from the store.
	Age time.Duration `json:"age"`
	// Unconfirmed is how much longer ago that may have been: nothing is known of announcements in
	// that time, as the answer may have been delayed. UnknownAge stands for any time.
	Unconfirmed time.Duration `json:"unconfirmed,omitempty"`
	// WeightsAge and WeightsUnconfirmed are Age and Unconfirmed of an answer on weights only, between processes.
	// WeightsUnconfirmed is zero if there was none, and positive otherwise.
	WeightsAge         time.Duration `json:"weightsAge,omitempty"`
	WeightsUnconfirmed time.Duration `json:"weightsUnconfirmed,omitempty"`
	// ConfirmedBy is the process to which the store gave the later of the two confirmations.
	ConfirmedBy string `json:"confirmedBy,omitempty"`
	// Partial is set if the store may have had more changes when it answered. The batch confirms
	// nothing then.
	Partial bool `json:"-"`
	// WeightsOnly is set if the batch covers the records of weights only. It confirms these, and no other record.
	WeightsOnly bool `json:"-"`
	// OutageFor is for how long after the later of these answers the store is known to have answered no process;
	// zero for not at all.
	OutageFor time.Duration `json:"outageFor,omitempty"`
	// Outages reports such times in all regions.
	Outages []RegionOutage `json:"outages,omitempty"`
	// Held is how long the sender delayed the answer for lack of changes, less RecordsAge; it may be negative.
	Held time.Duration `json:"held,omitempty"`
	// Lost is set if the sender reads the store itself and can't reach it. Its last update may be
	// recent, but no newer one will follow.
	Lost bool `json:"lost,omitempty"`
	// SentAt is when a sender that has lost the store sent the batch, as the time since its start; zero for others. SentBy
	// is a number that it drew then: another process may have started at its address.
	SentAt time.Duration `json:"sentAt,omitempty"`
	SentBy uint64        `json:"sentBy,omitempty"`
	// Refer is a process nearer to the requester to ask instead; the batch is empty then.
	Refer netip.AddrPort `json:"refer,omitzero"`
	// AsOf is when the batch was received, by the registrar's clock: all its ages count from there. Zero stands for
	// the current time.
	AsOf time.Time `json:"-"`
	// Source is the call that returned the batch.
	Source Source `json:"-"`
}

// answeredAt returns the latest time at which the store answered that At was its newest revision.
func (b Batch) answeredAt() time.Time { return b.AsOf.Add(-b.Age) }

// lastAnswer returns the latest possible time of the store's last answer on weights that the batch shows.
func (b Batch) lastAnswer() time.Time {
	if b.WeightsUnconfirmed == 0 {
		return b.answeredAt()
	}
	return later(b.answeredAt(), b.AsOf.Add(-b.WeightsAge))
}

// Source describes the call by which a process received a batch.
type Source struct {
	// Name is the peer's address or the kind of call to the store.
	Name string
	// Took is the duration of the call, Wait how long the answer could be delayed for lack of
	// changes, and Held how long a peer states that it was; the store doesn't state that.
	Took, Wait, Held time.Duration
}

// Older returns the batch with its ages raised by the longest time since it was sent. An answer may remain unread
// while its reader is suspended; if it counted as new, old weights and routes would look freshly confirmed. Ages that
// must not be overestimated stay: a cold upstream would get its full load before its cold time is over.
func (b Batch) Older(by time.Duration) Batch {
	b.Age += by
	b.WeightsAge += by
	b.Outages = slices.Clone(b.Outages)
	for i := range b.Outages {
		b.Outages[i].Until += by
	}
	records := make([]Record, 0, len(b.Records))
	for _, rec := range b.Records {
		if rec.Deleted {
			rec.Age = addAge(rec.Age, by)
		}
		rec.Announcements = slices.Clone(rec.Announcements)
		for i, n := range rec.Announcements {
			rec.Announcements[i].Age, rec.Announcements[i].SinceAge = addAge(n.Age, by), addAge(n.SinceAge, by)
			if n.ConfirmedAge > 0 {
				rec.Announcements[i].ConfirmedAge += by
			}
		}
		records = append(records, rec)
	}
	b.Records = records
	return b
}

func addAge(age, by time.Duration) time.Duration {
	if age == UnknownAge {
		return UnknownAge
	}
	return age + by
}
