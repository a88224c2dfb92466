package bodyreader

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// eventScanner finds the ends of a stream's events, which are blank lines. Lines end with LF, CR or CRLF.
type eventScanner struct {
	// unfinished is the number of bytes of the current event, whole the number of whole events.
	unfinished, whole int
	// inLine is set if the current line isn't blank, afterCR if the last byte was a CR.
	inLine, afterCR bool
}

// scanAll scans all of b.
func (s *eventScanner) scanAll(b []byte) {
	for len(b) > 0 {
		n, _ := s.scan(b)
		b = b[n:]
	}
}

// scan scans b up to the end of an event, or all of it, and reports whether an event ends there. Blank lines
// before an event belong to no event.
func (s *eventScanner) scan(b []byte) (n int, ends bool) {
	for i, c := range b {
		if c == '\n' && s.afterCR {
			s.afterCR = false
			continue
		}
		s.afterCR = c == '\r'
		blank := !s.inLine
		s.inLine = c != '\n' && c != '\r'
		if s.inLine || s.unfinished > 0 {
			s.unfinished++
		}
		if blank && !s.inLine && s.unfinished > 0 {
			s.unfinished = 0
			s.whole++
			return i + 1 + s.skipLineFeed(b[i+1:]), true
		}
	}
	return len(b), false
}

// skipLineFeed returns 1 if b begins with the LF of a CRLF, else 0.
func (s *eventScanner) skipLineFeed(b []byte) int {
	if !s.afterCR || len(b) == 0 || b[0] != '\n' {
		return 0
	}
	s.afterCR = false
	return 1
}

// EventReader splits a stream into events. It is not safe for concurrent use.
type EventReader struct {
	// Room reserves more bytes of memory for an event and reports whether they are free; nil for no limit.
	Room func(bytes int64) bool

	body  Reader
	limit int
	// reserved is the size, in bytes, up to which memory for an event is reserved.
	reserved int
	// pending is the data after the last event. Its first scanned bytes contain no end of an event.
	pending []byte
	scanned int
	buf     [4 << 10]byte
}

// NewEventReader returns a reader of the events of a reply, each of at most limit bytes.
func NewEventReader(res *http.Response, limit int) *EventReader {
	return &EventReader{body: Reader{Response: res, isStream: true, splitElsewhere: true}, limit: limit, reserved: unreservedEventBytes}
}

// Next returns the next event with the blank line that ends it. At the end of a whole stream it returns io.EOF and
// the line ends after the last event, which are part of the body but of no event. Other errors are *CutError,
// *OversizeError and *MemoryError.
func (r *EventReader) Next() ([]byte, error) {
	for {
		n, ends := r.body.scanner.scan(r.pending[r.scanned:])
		r.scanned += n
		if ends {
			event := r.pending[:r.scanned:r.scanned]
			r.pending, r.scanned = r.pending[r.scanned:], 0
			return event, nil
		}
		if len(r.pending) > r.limit {
			return nil, &OversizeError{Limit: int64(r.limit)}
		}
		n, err := r.body.Read(r.buf[:])
		if !r.reserve(len(r.pending) + n) {
			return nil, &MemoryError{Bytes: r.reserved}
		}
		r.pending = append(r.pending, r.buf[:n]...)
		if errors.Is(err, io.EOF) {
			return r.pending, io.EOF
		}
		if err != nil {
			return nil, err
		}
	}
}

// unreservedEventBytes is the size up to which an event needs no call of Room. Events of token streams have some
// hundred bytes.
const unreservedEventBytes = 8 << 10

// MemoryError reports an event for which there is no memory.
type MemoryError struct {
	// Bytes is the size that was reserved before.
	Bytes int
}

func (e *MemoryError) Error() string {
	return fmt.Sprintf("no memory for an event of more than %d bytes", e.Bytes)
}

// reserve reserves memory for the current event. A slice that grows is copied to a longer one, so twice its size is
// reserved.
func (r *EventReader) reserve(size int) bool {
	if r.Room == nil || size <= r.reserved {
		return true
	}
	more := max(size, 2*r.reserved) - r.reserved
	if !r.Room(2 * int64(more)) {
		return false
	}
	r.reserved += more
	return true
}

// EventID returns an event's id; empty for none.
func EventID(event []byte) string {
	for _, line := range splitLines(event) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// EventData returns an event's data, its lines joined.
func EventData(event []byte) []byte {
	var data []byte
	for _, line := range splitLines(event) {
		if part, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			data = append(data, bytes.TrimPrefix(part, []byte(" "))...)
		}
	}
	return data
}

func splitLines(event []byte) [][]byte {
	return bytes.FieldsFunc(event, func(r rune) bool { return r == '\n' || r == '\r' })
}
