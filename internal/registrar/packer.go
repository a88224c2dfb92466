package registrar

import (
	"bytes"
	"compress/flate"

	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
)

const (
	// minPackedBytes is the size from which a value is compressed for other processes. A route
	// table with thousands of routes is a megabyte; sent uncompressed to a hundred processes, it
	// saturates the links between regions for half a minute and delays updates on draining
	// upstreams.
	minPackedBytes = 2 << 10
	// maxValueBytes bounds an unpacked value: the store's own limit plus a margin.
	maxValueBytes = 8 << 20
)

// pack returns the record as sent to other processes. It is cached, as many request it.
func (r *Registrar) pack(rec Record) Record {
	if len(rec.Value) < minPackedBytes {
		return rec
	}
	packed, ok := r.packed[rec.Key]
	if !ok {
		packed = Record{Key: rec.Key, Revision: rec.Revision, Packed: deflate(rec.Value)}
		if r.packed == nil {
			r.packed = map[string]Record{}
		}
		r.packed[rec.Key] = packed
	}
	packed.Age, packed.Announcements = rec.Age, rec.Announcements
	return packed
}

func deflate(data []byte) []byte {
	var b bytes.Buffer
	// The level is valid and writing to a buffer can't fail, so no error occurs.
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

// unpackAll returns records with their values; false if one can't be unpacked.
func unpackAll(recs []Record) ([]Record, bool) {
	unpacked := make([]Record, 0, len(recs))
	for _, rec := range recs {
		rec, ok := unpack(rec)
		if !ok {
			return nil, false
		}
		unpacked = append(unpacked, rec)
	}
	return unpacked, true
}

// unpack returns the record with its value; false if it can't be unpacked.
func unpack(rec Record) (Record, bool) {
	if rec.Packed == nil {
		return rec, true
	}
	data, err := bodyreader.ReadAtMost(flate.NewReader(bytes.NewReader(rec.Packed)), maxValueBytes)
	if err != nil {
		klog.ErrorS(err, "Failed to unpack record", "key", rec.Key, "revision", rec.Revision)
		return rec, false
	}
	rec.Value, rec.Packed = data, nil
	return rec, true
}
