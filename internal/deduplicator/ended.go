package deduplicator

import (
	"crypto/sha256"
	"encoding/binary"
)

// keyDigest identifies a key by a truncated digest of all its fields. It takes
// a tenth of the memory of the key's strings, so that even the closed
// keys of an overload are retained for long.
type keyDigest [16]byte

// digestKey hashes the fields with their lengths in front, so that no two keys
// produce the same input.
func digestKey(k Key) keyDigest {
	data := make([]byte, 0, 256)
	for _, part := range []string{k.Workspace, k.Service, k.Owner, k.Incarnation, k.Nonce} {
		data = binary.AppendUvarint(data, uint64(len(part)))
		data = append(data, part...)
	}
	data = binary.AppendVarint(data, k.Issued.Unix())
	data = binary.AppendVarint(data, int64(k.Issued.Nanosecond()))
	sum := sha256.Sum256(data)
	return keyDigest(sum[:len(keyDigest{})])
}

// endedHeap is a heap of ended calls, ordered by the time of issue.
type endedHeap []*entry

func (h endedHeap) Len() int           { return len(h) }
func (h endedHeap) Less(i, j int) bool { return h[i].issued.Before(h[j].issued) }
func (h endedHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *endedHeap) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop implements heap.Interface.
func (h *endedHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	*h = old[:last]
	return e
}
