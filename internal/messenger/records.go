package messenger

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/gob"
	"net/netip"
	"sync"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

// methodRecords transfers records of the store between any two processes.
const methodRecords = "records"

const (
	// minPackedRecords is the smallest number of records that is compressed. In smaller batches, the
	// type descriptions of the encoding outweigh the gain. A deployment has a record for each
	// upstream, 0.5 kB on the wire. Uncompressed, three thousand of them, requested by all
	// processes that start at once, saturate the links of the processes that serve them for
	// seconds, and the requests time out.
	minPackedRecords = 16
	// maxUnpackedBytes bounds decompressed records, in bytes, so that a faulty peer can't exhaust
	// the memory.
	maxUnpackedBytes = 4 * MaxMessage
)

// RecordsQuery requests all changes after a revision. The reply is sent at once if there are
// any, and otherwise after WaitMS milliseconds.
type RecordsQuery struct {
	After  uint64 `json:"after"`
	WaitMS int64  `json:"waitMs"`
	// Packed states that the requester supports packed records. A requester of an older version
	// would read such a reply as an empty one and miss the changes in it.
	Packed bool `json:"packed,omitempty"`
	// Stale allows the reply to be delayed for the whole wait, however old it is then.
	Stale bool `json:"stale,omitempty"`
	// Ages requests the ages of all weights' announcements: the requester found some in the store when it
	// started. A peer of an older version replies with new ones only.
	Ages bool `json:"ages,omitempty"`
	// Region is set if the requester supports referrals to another process, and Peers if it also
	// answers the queries of others. A peer of an older version ignores both and replies in full.
	Region string         `json:"region,omitempty"`
	Peers  netip.AddrPort `json:"peers,omitzero"`
	// Unresponsive is a process that the requester was referred to without getting a reply.
	Unresponsive netip.AddrPort `json:"unresponsive,omitzero"`
	// Weights is what the requester knows of weights that the peer's last reply lacked. A peer of an older version
	// ignores it.
	Weights *WeightsReport `json:"weights,omitempty"`
}

// WeightsReport is what a requester knows of weights beyond a peer's reply.
type WeightsReport struct {
	// Batch is that of registrar.WeightsBeyond.
	Batch registrar.Batch `json:"batch"`
	// ReplySentBy and ReplySentAt are the reply's SentBy and SentAt, and ReplyAge the time since its arrival: the report was
	// sent that much later.
	ReplySentBy uint64        `json:"replySentBy"`
	ReplySentAt time.Duration `json:"replySentAt"`
	ReplyAge    time.Duration `json:"replyAge"`
}

// Records queries another process for records. The timeout bounds the time until the reply starts
// to arrive and must be longer than the query's wait; the transfer may take longer.
func (c *Client) Records(ctx context.Context, q RecordsQuery, timeout time.Duration) (registrar.Batch, error) {
	q.Packed = true
	var b packedBatch
	if err := c.callLargeReply(ctx, timeout, methodRecords, q, &b); err != nil {
		return registrar.Batch{}, err
	}
	return b.unpack()
}

// maxRecordsWait bounds how long a query may delay its reply.
const maxRecordsWait = 5 * time.Second

// Wait returns WaitMS as a duration, limited to maxRecordsWait.
func (q RecordsQuery) Wait() time.Duration {
	return min(max(0, time.Duration(q.WaitMS)*time.Millisecond), maxRecordsWait)
}

// packedBatch is the wire format of a batch.
type packedBatch struct {
	registrar.Batch
	// Packed holds the records in compressed gob, instead of Records.
	Packed []byte `json:"packed,omitempty"`
}

// packer compresses replies and caches the last one, as many processes request the same records.
type packer struct {
	mu      sync.Mutex
	records []registrar.Record
	packed  []byte
}

// pack returns a batch in a form that the requester supports.
func (p *packer) pack(b registrar.Batch, q RecordsQuery) (packedBatch, error) {
	if !q.Packed || len(b.Records) < minPackedRecords {
		return packedBatch{Batch: b}, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !sameRecords(p.records, b.Records) {
		packed, err := compress(b.Records)
		if err != nil {
			return packedBatch{}, err
		}
		p.records, p.packed = b.Records, packed
	}
	b.Records = nil
	return packedBatch{Batch: b, Packed: p.packed}, nil
}

// sameRecords reports whether two batches share their records in memory.
func sameRecords(a, b []registrar.Record) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}

func compress(records []registrar.Record) ([]byte, error) {
	var packed bytes.Buffer
	// Neither the constant level nor a bytes.Buffer can cause an error.
	w, _ := flate.NewWriter(&packed, flate.BestSpeed)
	if err := gob.NewEncoder(w).Encode(records); err != nil {
		return nil, err
	}
	err := w.Close()
	return packed.Bytes(), err
}

func (p packedBatch) unpack() (registrar.Batch, error) {
	if len(p.Packed) == 0 {
		return p.Batch, nil
	}
	data, err := bodyreader.ReadAtMost(flate.NewReader(bytes.NewReader(p.Packed)), maxUnpackedBytes)
	if err != nil {
		return registrar.Batch{}, &UnreadableError{Err: err}
	}
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&p.Records); err != nil {
		return registrar.Batch{}, &UnreadableError{Err: err}
	}
	return p.Batch, nil
}

// UnreadableError reports packed records that can't be read.
type UnreadableError struct{ Err error }

func (e *UnreadableError) Error() string { return "packed records not readable: " + e.Err.Error() }

func (e *UnreadableError) Unwrap() error { return e.Err }
