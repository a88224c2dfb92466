package bodyreader

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// boundary tells where the events of a stream end: at blank lines. Lines end with LF, CR or CRLF.
type boundary struct {
	// unfinished is how many bytes of an event have come, whole how many events are whole.
	unfinished, whole int
	// inLine tells that the line under way isn't blank, afterCR that the last byte was a CR.
	inLine, afterCR bool
}

// pass takes in what has come.
func (s *boundary) pass(b []byte) {
	for len(b) > 0 {
		n, _ := s.next(b)
		b = b[n:]
	}
}

// next takes in bytes up to the end of an event, or all of them, and tells whether an event ends there. Blank
// lines before an event belong to none.
func (s *boundary) next(b []byte) (n int, ends bool) {
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
			return i + 1 + s.lineFeed(b[i+1:]), true
		}
	}
	return len(b), false
}

// lineFeed is 1 if what follows begins with the LF of a CRLF.
func (s *boundary) lineFeed(b []byte) int {
	if !s.afterCR || len(b) == 0 || b[0] != '\n' {
		return 0
	}
	s.afterCR = false
	return 1
}

// EventReader cuts a stream into events. It is not safe for concurrent use.
type EventReader struct {
	// Room is asked whether an event may take so many more bytes of memory; nil for any.
	Room func(bytes int64) bool

	body  Reader
	limit int
	// taken is for how many bytes there is room.
	taken int
	// rest is what stands behind the last event. Its first scanned bytes hold no end of an event.
	rest    []byte
	scanned int
	buf     [4 << 10]byte
}

// NewEventReader reads the events of a reply, each of at most limit bytes.
func NewEventReader(res *http.Response, limit int) *EventReader {
	return &EventReader{body: Reader{Response: res, stream: true, split: true}, limit: limit, taken: usualEvent}
}

// Next gives the next event with the blank line that ends it. At the end of a whole stream it gives io.EOF and
// the line ends behind the last event, which are part of the body and of no event. Other errors are *CutError,
// *OversizeError and *RoomError.
func (r *EventReader) Next() ([]byte, error) {
	for {
		n, ends := r.body.events.next(r.rest[r.scanned:])
		r.scanned += n
		if ends {
			event := r.rest[:r.scanned:r.scanned]
			r.rest, r.scanned = r.rest[r.scanned:], 0
			return event, nil
		}
		if len(r.rest) > r.limit {
			return nil, &OversizeError{Limit: int64(r.limit)}
		}
		n, err := r.body.Read(r.buf[:])
		if !r.fits(len(r.rest) + n) {
			return nil, &RoomError{Bytes: r.taken}
		}
		r.rest = append(r.rest, r.buf[:n]...)
		if errors.Is(err, io.EOF) {
			return r.rest, io.EOF
		}
		if err != nil {
			return nil, err
		}
	}
}

// usualEvent is up to which size, in bytes, an event takes no room. Events of token streams have some hundred bytes.
const usualEvent = 8 << 10

// RoomError reports an event for which there is no memory.
type RoomError struct {
	// Bytes is what it has taken so far.
	Bytes int
}

func (e *RoomError) Error() string {
	return fmt.Sprintf("no memory for an event of more than %d bytes", e.Bytes)
}

// fits takes room for an event under way. A slice that grows is copied to a longer one, so twice its size is taken.
func (r *EventReader) fits(size int) bool {
	if r.Room == nil || size <= r.taken {
		return true
	}
	more := max(size, 2*r.taken) - r.taken
	if !r.Room(2 * int64(more)) {
		return false
	}
	r.taken += more
	return true
}

// EventID is an event's id; empty for none.
func EventID(event []byte) string {
	for _, line := range lines(event) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// EventData is an event's data, its lines joined.
func EventData(event []byte) []byte {
	var data []byte
	for _, line := range lines(event) {
		if part, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			data = append(data, bytes.TrimPrefix(part, []byte(" "))...)
		}
	}
	return data
}

func lines(event []byte) [][]byte {
	return bytes.FieldsFunc(event, func(r rune) bool { return r == '\n' || r == '\r' })
}
