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
	// MaxReplyHead limits a reply's head, in bytes: its status line and header, with all interim replies before it.
	MaxReplyHead = 64 << 10
	// MaxSkippedBody limits the body of a reply that is skipped, in bytes.
	MaxSkippedBody = 1 << 20
)

// Part is a part of a reply.
type Part int

// The parts that have a limit.
const (
	Head Part = iota
	// SkippedBody is the body of a reply that is skipped.
	SkippedBody
)

func (p Part) String() string {
	if p == Head {
		return "reply head"
	}
	return "skipped body"
}

// OversizeError reports a peer that sent a part larger than its limit. Nothing more can be read from the connection.
type OversizeError struct {
	Part Part
	// Limit is in bytes.
	Limit int64
}

func (e *OversizeError) Error() string {
	return fmt.Sprintf("%v of more than %d bytes", e.Part, e.Limit)
}

// ReplyReader reads the replies on a connection. It is not safe for concurrent use.
type ReplyReader struct {
	buffer *bufio.Reader
	head   headReader
}

// NewReplyReader returns a reader with a buffer of size bytes.
func NewReplyReader(conn io.Reader, size int) *ReplyReader {
	r := &ReplyReader{head: headReader{src: conn, remaining: math.MaxInt64}}
	r.buffer = bufio.NewReaderSize(&r.head, size)
	return r
}

// Next reads the next final reply up to its body; the previous body has to be read before. Errors are *OversizeError for
// a head that is too long, *StatusError for an invalid status, and *InterimBodyError. After an error nothing more can
// be read.
func (r *ReplyReader) Next(method string) (*http.Response, error) {
	r.head.remaining = MaxReplyHead
	for {
		res, err := http.ReadResponse(r.buffer, &http.Request{Method: method})
		if r.head.exceeded {
			// net/http may report the truncated line instead.
			return nil, r.head.oversizeError()
		}
		if err != nil {
			return nil, err
		}
		if isInterim(res.StatusCode) {
			if err := checkInterim(res.StatusCode, res.Header, res.TransferEncoding); err != nil {
				return nil, err
			}
			continue
		}
		if err := checkFinal(res.StatusCode); err != nil {
			return nil, err
		}
		// The readers of bodies apply their own limits.
		r.head.remaining = math.MaxInt64
		return res, nil
	}
}

// Skip reads and discards a reply's body. A body that is too long returns *OversizeError.
func (r *ReplyReader) Skip(res *http.Response) error {
	_, err := io.CopyN(io.Discard, res.Body, MaxSkippedBody+1)
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return err
	}
	return &OversizeError{Part: SkippedBody, Limit: MaxSkippedBody}
}

// Buffered returns the number of bytes received after the replies read so far.
func (r *ReplyReader) Buffered() int { return r.buffer.Buffered() }

// headReader limits how much is read for a head.
type headReader struct {
	src       io.Reader
	remaining int64
	// exceeded is set if a read was refused because of the limit.
	exceeded bool
}

func (r *headReader) oversizeError() error { return &OversizeError{Part: Head, Limit: MaxReplyHead} }

// Read implements io.Reader.
func (r *headReader) Read(b []byte) (int, error) {
	if r.remaining <= 0 {
		r.exceeded = true
		return 0, r.oversizeError()
	}
	if int64(len(b)) > r.remaining {
		b = b[:r.remaining]
	}
	n, err := r.src.Read(b)
	r.remaining -= int64(n)
	return n, err
}
