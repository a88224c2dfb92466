package connector

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
)

const (
	// MaxReplyHead bounds a reply's head, in bytes: its status line and header, with all interim replies before it.
	MaxReplyHead = 64 << 10
	// MaxReadPast bounds the body of a reply that is read past, in bytes.
	MaxReadPast = 1 << 20
)

// Part is a part of a reply.
type Part int

// The parts that are bounded.
const (
	Head Part = iota
	// ReadPast is the body of a reply that is read past.
	ReadPast
)

func (p Part) String() string {
	if p == Head {
		return "reply head"
	}
	return "body read past"
}

// OversizeError reports a peer that sent more of a part than is read of it. Nothing more can be read from its
// connection.
type OversizeError struct {
	Part Part
	// Limit is in bytes.
	Limit int64
}

func (e *OversizeError) Error() string {
	return fmt.Sprintf("%v of more than %d bytes", e.Part, e.Limit)
}

// ReplyReader reads the replies that come on a connection. It is not safe for concurrent use.
type ReplyReader struct {
	buffer *bufio.Reader
	head   headReader
}

// NewReplyReader makes a reader with a buffer of a size in bytes.
func NewReplyReader(conn io.Reader, size int) *ReplyReader {
	r := &ReplyReader{head: headReader{from: conn, left: math.MaxInt64}}
	r.buffer = bufio.NewReaderSize(&r.head, size)
	return r
}

// Next reads the next final reply up to its body; the body of the one before has to be read already. A head that is
// too long gives *OversizeError.
func (r *ReplyReader) Next(method string) (*http.Response, error) {
	r.head.left = MaxReplyHead
	for {
		res, err := http.ReadResponse(r.buffer, &http.Request{Method: method})
		if r.head.over {
			// net/http may report the line that was cut instead.
			return nil, r.head.oversize()
		}
		if err != nil {
			return nil, err
		}
		if res.StatusCode >= 200 || res.StatusCode == http.StatusSwitchingProtocols {
			// Bodies are bounded by who reads them.
			r.head.left = math.MaxInt64
			return res, nil
		}
	}
}

// Skip reads past a reply's body. One that is too long gives *OversizeError.
func (r *ReplyReader) Skip(res *http.Response) error {
	_, err := io.CopyN(io.Discard, res.Body, MaxReadPast+1)
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return err
	}
	return &OversizeError{Part: ReadPast, Limit: MaxReadPast}
}

// Buffered is how many bytes have come behind what was read of replies.
func (r *ReplyReader) Buffered() int { return r.buffer.Buffered() }

// headReader bounds what is read for a head.
type headReader struct {
	from io.Reader
	left int64
	// over tells that there was more to read.
	over bool
}

func (r *headReader) oversize() error { return &OversizeError{Part: Head, Limit: MaxReplyHead} }

// Read implements io.Reader.
func (r *headReader) Read(b []byte) (int, error) {
	if r.left <= 0 {
		r.over = true
		return 0, r.oversize()
	}
	if int64(len(b)) > r.left {
		b = b[:r.left]
	}
	n, err := r.from.Read(b)
	r.left -= int64(n)
	return n, err
}
