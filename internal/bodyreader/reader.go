// Package bodyreader reads the bodies of HTTP replies and determines whether they arrived whole. A body that was
// cut, or that exceeds a limit of the reader, is always an error and never a shorter body.
package bodyreader

import (
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
)

// Framing is the way in which a body's end is marked.
type Framing int

// The framings of HTTP/1.1.
const (
	ByLength Framing = iota
	ByChunks
	// ByConnection bodies end with their connection. A body whose connection was reset is not whole.
	ByConnection
)

func (f Framing) String() string {
	switch f {
	case ByLength:
		return "length"
	case ByChunks:
		return "chunks"
	default:
		return "connection"
	}
}

// FramingOf returns the framing of a reply's body.
func FramingOf(res *http.Response) Framing {
	switch {
	case len(res.TransferEncoding) > 0:
		return ByChunks
	case res.ContentLength >= 0 || res.Body == http.NoBody:
		return ByLength
	default:
		return ByConnection
	}
}

// CutError reports a body that is not whole.
type CutError struct {
	Framing Framing
	// Unfinished is the number of bytes received of an incomplete event.
	Unfinished int
	Err        error
}

func (e *CutError) Error() string {
	if e.Unfinished > 0 {
		return fmt.Sprintf("body framed by %v was cut after %d bytes of an event: %v", e.Framing, e.Unfinished, e.Err)
	}
	return fmt.Sprintf("body framed by %v was cut: %v", e.Framing, e.Err)
}

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Err }

// OversizeError reports a body, or a part of it, that is larger than its reader's limit.
type OversizeError struct {
	// Limit is in bytes.
	Limit int64
}

func (e *OversizeError) Error() string { return fmt.Sprintf("more than %d bytes", e.Limit) }

// Reader reads the body of a reply. Set the exported fields before use. It doesn't close the body and is not
// safe for concurrent use.
type Reader struct {
	Response *http.Response
	// OnArrival is called after each read that returned data; nil for no call.
	OnArrival func()

	// isStream is set if the body consists of events, splitElsewhere if an EventReader looks for their ends.
	isStream, splitElsewhere bool
	started                  bool
	scanner                  eventScanner
	// err is the error that ended the body; nil before.
	err error
}

// EventStreamType is the content type of server-sent events.
const EventStreamType = "text/event-stream"

// Read implements io.Reader. It returns io.EOF at the end of a whole body and *CutError at any other end.
func (r *Reader) Read(b []byte) (int, error) {
	if r.err != nil {
		return 0, r.endError()
	}
	if !r.started {
		r.started = true
		kind, _, err := mime.ParseMediaType(r.Response.Header.Get("Content-Type"))
		r.isStream = r.isStream || err == nil && kind == EventStreamType
	}
	n, err := r.Response.Body.Read(b)
	r.err = err
	if n == 0 && err != nil {
		return 0, r.endError()
	}
	if r.isStream && !r.splitElsewhere {
		r.scanner.scanAll(b[:n])
	}
	if n > 0 && r.OnArrival != nil {
		r.OnArrival()
	}
	return n, nil
}

// endError returns the error for the end of the body, once all data before it was scanned.
func (r *Reader) endError() error {
	if r.Response.Body == http.NoBody {
		return io.EOF
	}
	cut := &CutError{Framing: FramingOf(r.Response), Unfinished: r.scanner.unfinished, Err: io.ErrUnexpectedEOF}
	switch {
	case !errors.Is(r.err, io.EOF):
		cut.Err = r.err
		return cut
	case r.scanner.unfinished > 0:
		return cut
	case r.isStream && cut.Framing == ByConnection && r.scanner.whole == 0:
		// The end of a connection alone doesn't prove that the stream has no events.
		return cut
	default:
		return io.EOF
	}
}

// ReadAll reads a whole body of at most limit bytes. Errors are *CutError and *OversizeError.
func (r *Reader) ReadAll(limit int64) ([]byte, error) {
	declared := r.Response.ContentLength
	if declared > limit && FramingOf(r.Response) == ByLength {
		return nil, &OversizeError{Limit: limit}
	}
	return readAll(r, limit, declared)
}

// ReadStart reads the first size bytes of a body, or all of a shorter one, and reports whether the body has ended
// with them; Read returns the rest. Errors are *CutError.
func (r *Reader) ReadStart(size int64) (start []byte, ended bool, err error) {
	start, err = io.ReadAll(io.LimitReader(r, size))
	return start, err == nil && int64(len(start)) < size, err
}

// ReadJSON decodes a whole body of at most limit bytes that is one JSON value. Errors are those of ReadAll and
// DecodeJSON.
func (r *Reader) ReadJSON(limit int64, v any) error {
	data, err := r.ReadAll(limit)
	if err != nil {
		return err
	}
	return DecodeJSON(data, v)
}

// ReadAtMost reads r to its end, at most limit bytes. Errors are *OversizeError and those of the reader.
func ReadAtMost(r io.Reader, limit int64) ([]byte, error) { return readAll(r, limit, 0) }

// ReadExpected is ReadAtMost with a buffer for the expected bytes from the start; a negative number is unknown.
func ReadExpected(r io.Reader, limit, expected int64) ([]byte, error) {
	return readAll(r, limit, expected)
}

// minReadBytes is the smallest initial buffer, unless the limit is lower.
const minReadBytes = 512

// readAll starts with a buffer for the expected bytes and one more, with which to detect the end.
func readAll(r io.Reader, limit, expected int64) ([]byte, error) {
	data := make([]byte, 0, min(max(expected, minReadBytes), limit)+1)
	for {
		if len(data) == cap(data) {
			data = append(data, 0)[:len(data)]
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, &OversizeError{Limit: limit}
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}
