package acceptor

import (
	"bytes"
	"net/http"
)

const (
	// headByteCost is the memory for a byte of a head, in bytes: it is copied as a line, as a string, and once more while
	// the buffer of a long line grows.
	headByteCost = 4
	// fieldCost is the memory for a field of a head, in bytes: its part of a map that is half full, its name and a slice of
	// one value.
	fieldCost = 160
	// handshakeByteCost is the memory for a byte of a TLS handshake, in bytes.
	handshakeByteCost = 4
	// jsonByteCost is the memory for a byte of a JSON text, in bytes: the decoder's buffer, which doubles as it grows, and
	// the copies of parameters that are decoded later.
	jsonByteCost = 8
	// objectCost and elementCost are the memory for an object of a JSON text, which is decoded into a struct, and for any
	// other element, in bytes.
	objectCost  = 1 << 10
	elementCost = 128
)

// headCost returns the memory for a part of a head once it is parsed, in bytes.
func headCost(head []byte) int64 {
	return int64(headByteCost*len(head) + fieldCost*bytes.Count(head, []byte{'\n'}))
}

// HeaderCost returns the memory for a header, in bytes.
func HeaderCost(h http.Header) int64 {
	var cost int64
	for name, values := range h {
		for _, v := range values {
			cost += int64(headByteCost*(len(name)+len(v)) + fieldCost)
		}
	}
	return cost
}

// JSONCost returns the memory for a part of a JSON text once it is decoded, in bytes.
func JSONCost(text []byte) int64 {
	objects := bytes.Count(text, []byte{'{'})
	elements := bytes.Count(text, []byte{','}) + bytes.Count(text, []byte{'['})
	return int64(jsonByteCost*len(text) + objectCost*objects + elementCost*elements)
}
