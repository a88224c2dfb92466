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

// methodRecords is how all processes hand each other records of the store.
const methodRecords = "records"

const (
	// packFrom is from how many records on a batch is compressed. Below, the types that go
	// along with packed records outweigh the gain. A deployment has a record for each
	// upstream, 0.5 kB on the wire; three thousand of them, asked for by all processes that
	// start at once, fill the links of those who tell them for seconds, and the questions
	// run into their timeouts.
	packFrom = 16
	// maxUnpacked bounds unpacked records, in bytes, so that a faulty peer can't fill the
	// memory.
	maxUnpacked = 4 * MaxMessage
)

// RecordsQuery asks for what changed after a revision. The answer comes at once if
// anything did, and else after WaitMS milliseconds.
type RecordsQuery struct {
	After  uint64 `json:"after"`
	WaitMS int64  `json:"waitMs"`
	// Packed tells that the asker understands packed records. One of an older version would
	// take such an answer for one without news, and never hear of what was in it.
	Packed bool `json:"packed,omitempty"`
	// Stale allows the answer to be held back for the whole wait, however old it is then.
	Stale bool `json:"stale,omitempty"`
	// Ages asks for the ages of all weights' announcements: the asker found some in the store when it
	// started. A peer of an older version answers with what is new only.
	Ages bool `json:"ages,omitempty"`
	// Region is that of an asker that understands a referral to another process, Peers where it
	// answers others itself. A peer of an older version ignores both and answers in full.
	Region string         `json:"region,omitempty"`
	Peers  netip.AddrPort `json:"peers,omitzero"`
	// Unresponsive is a process to which the asker was referred and that didn't answer it.
	Unresponsive netip.AddrPort `json:"unresponsive,omitzero"`
}

// Records asks another process for records. The timeout bounds the time until the answer begins
// to arrive and must be longer than the query's wait; an answer that is arriving may take longer.
func (c *Client) Records(ctx context.Context, q RecordsQuery, timeout time.Duration) (registrar.Batch, error) {
	q.Packed = true
	var b packedBatch
	if err := c.callArriving(ctx, timeout, methodRecords, q, &b); err != nil {
		return registrar.Batch{}, err
	}
	return b.unpack()
}

// maxRecordsWait bounds how long a peer may have an answer held back.
const maxRecordsWait = 5 * time.Second

// Wait is WaitMS as a duration, within bounds.
func (q RecordsQuery) Wait() time.Duration {
	return min(max(0, time.Duration(q.WaitMS)*time.Millisecond), maxRecordsWait)
}

// packedBatch is a batch as it goes over a connection.
type packedBatch struct {
	registrar.Batch
	// Packed holds the records, in gob, compressed, instead of Records.
	Packed []byte `json:"packed,omitempty"`
}

// packer compresses answers and keeps the last one, as many ask for the same records.
type packer struct {
	mu      sync.Mutex
	records []registrar.Record
	packed  []byte
}

// pack gives a batch as the asker understands it.
func (p *packer) pack(b registrar.Batch, q RecordsQuery) (packedBatch, error) {
	if !q.Packed || len(b.Records) < packFrom {
		return packedBatch{Batch: b}, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !shared(p.records, b.Records) {
		packed, err := compress(b.Records)
		if err != nil {
			return packedBatch{}, err
		}
		p.records, p.packed = b.Records, packed
	}
	b.Records = nil
	return packedBatch{Batch: b, Packed: p.packed}, nil
}

// shared returns whether two batches have the same records in memory.
func shared(a, b []registrar.Record) bool { return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0] }

func compress(records []registrar.Record) ([]byte, error) {
	var packed bytes.Buffer
	// The level is valid, and a buffer takes all.
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
	data, err := bodyreader.ReadAtMost(flate.NewReader(bytes.NewReader(p.Packed)), maxUnpacked)
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
