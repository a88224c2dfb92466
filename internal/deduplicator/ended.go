package deduplicator

import (
	"crypto/sha256"
	"encoding/binary"
)

// name is what a key is found by: a part of the digest of all that it says. It
// takes a tenth of the memory of the key's own texts, so that even the closed
// keys of an overload are kept for long.
type name [16]byte

// nameOf digests the parts with their lengths in front, so that no two keys give
// the same bytes.
func nameOf(k Key) name {
	data := make([]byte, 0, 256)
	for _, part := range []string{k.Workspace, k.Service, k.Owner, k.Incarnation, k.Nonce} {
		data = binary.AppendUvarint(data, uint64(len(part)))
		data = append(data, part...)
	}
	data = binary.AppendVarint(data, k.Issued.Unix())
	data = binary.AppendVarint(data, int64(k.Issued.Nanosecond()))
	sum := sha256.Sum256(data)
	return name(sum[:len(name{})])
}

// endedHeap has the ended call with the earliest time of issue first.
type endedHeap []*entry

func (h endedHeap) Len() int           { return len(h) }
func (h endedHeap) Less(i, j int) bool { return h[i].issued.Before(h[j].issued) }
func (h endedHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *endedHeap) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop is part of heap.Interface.
func (h *endedHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	*h = old[:last]
	return e
}
