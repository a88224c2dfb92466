package registrar

import (
	"bytes"
	"compress/flate"

	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
)

const (
	// packFrom is from which size, in bytes, a value is compressed for other processes.
	// A route table with thousands of routes is a megabyte; sent as it is to a hundred
	// processes it fills the links between regions for half a minute, and nobody hears of
	// a leaving upstream meanwhile.
	packFrom = 2 << 10
	// maxValue bounds an unpacked value, in bytes: the store's own limit, with room.
	maxValue = 8 << 20
)

// pack gives the record as it is sent to other processes. It is kept, as many ask.
func (r *Registrar) pack(rec Record) Record {
	if len(rec.Value) < packFrom {
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
	packed.Age, packed.Namings = rec.Age, rec.Namings
	return packed
}

func deflate(data []byte) []byte {
	var b bytes.Buffer
	// The level is valid and a buffer takes all, so neither can fail.
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

// unpackAll gives records with their values; false when one can't be unpacked.
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

// unpack gives the record with its value; false when it can't be unpacked.
func unpack(rec Record) (Record, bool) {
	if rec.Packed == nil {
		return rec, true
	}
	data, err := bodyreader.ReadAtMost(flate.NewReader(bytes.NewReader(rec.Packed)), maxValue)
	if err != nil {
		klog.ErrorS(err, "Record not unpacked", "key", rec.Key, "revision", rec.Revision)
		return rec, false
	}
	rec.Value, rec.Packed = data, nil
	return rec, true
}
