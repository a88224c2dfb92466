// Package planner decides which chunk an agent fetches next, and from which
// source. Its decisions are pure functions of the state, the time and the
// random source, so that they run the same in an agent and, without sockets, in
// a benchmark.
package planner

import "math/bits"

// Bitmap is a set of chunk numbers, chunk i in bit i%8 of byte i/8: the form of
// messenger.Holding. Numbers beyond its end are not in it.
type Bitmap []byte

// NewBitmap returns an empty set for n chunks.
func NewBitmap(n int) Bitmap { return make(Bitmap, (n+7)/8) }

// Has reports whether chunk i is in the set.
func (b Bitmap) Has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// Set adds chunk i, which must be below the n of NewBitmap.
func (b Bitmap) Set(i int) { b[i/8] |= 1 << (i % 8) }

// Clear removes chunk i.
func (b Bitmap) Clear(i int) {
	if i/8 < len(b) {
		b[i/8] &^= 1 << (i % 8)
	}
}

// Count is the number of chunks in the set.
func (b Bitmap) Count() int {
	n := 0
	for _, v := range b {
		n += bits.OnesCount8(v)
	}
	return n
}

// byteAt is byte i of the set, 0 beyond its end.
func (b Bitmap) byteAt(i int) byte {
	if i < len(b) {
		return b[i]
	}
	return 0
}
