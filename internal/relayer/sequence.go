package relayer

import (
	"fmt"
	"strconv"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
)

// GapError reports a stream that goes on with the wrong event.
type GapError struct{ Last, Next string }

func (e *GapError) Error() string { return fmt.Sprintf("event %q follows %q", e.Next, e.Last) }

// WeightsError reports a stream that goes on with other weights than those of its last event.
type WeightsError struct{ Want, Got uint64 }

func (e *WeightsError) Error() string {
	return fmt.Sprintf("goes on with version %d of the weights, not %d", e.Got, e.Want)
}

// sequence is how far a stream of events has come.
type sequence struct {
	// last is the id of the last event; empty for none.
	last string
	// resumes tells that another reply goes on behind the last event: its first event with data has to follow.
	resumes bool
	// version is that of the weights of the last event; 0 when not told.
	version uint64
	// unnumbered tells that data without an id came behind the last event: what follows can't be asked for.
	unnumbered bool
}

// sequence is that of the events that the caller has.
func (c *call) sequence() sequence {
	switch {
	case c.stream != nil:
		s := c.stream.sequence
		s.resumes = true
		return s
	case c.Route.Resumable && c.LastEvent != "":
		return sequence{last: c.LastEvent, resumes: true}
	default:
		return sequence{}
	}
}

// begin takes in the version that the header of a reply tells; 0 for none. Errors are *WeightsError.
func (s *sequence) begin(version uint64) error {
	if s.resumes && s.version != 0 && version != 0 && version != s.version {
		return &WeightsError{Want: s.version, Got: version}
	}
	if version != 0 {
		s.version = version
	}
	return nil
}

// take takes in the next event of a reply, which may state a version; 0 for none. Errors are *GapError and
// *WeightsError.
func (s *sequence) take(event []byte, version uint64) error {
	if err := s.begin(version); err != nil {
		return err
	}
	id := bodyreader.EventID(event)
	if id == "" {
		return s.takeUnnumbered(event)
	}
	if !precedes(s.last, id) {
		return &GapError{Last: s.last, Next: id}
	}
	s.last, s.unnumbered, s.resumes = id, false, false
	return nil
}

// takeUnnumbered takes in an event without an id. Comments may come anywhere.
func (s *sequence) takeUnnumbered(event []byte) error {
	if len(bodyreader.EventData(event)) == 0 {
		return nil
	}
	if s.resumes && s.last != "" {
		return &GapError{Last: s.last}
	}
	s.unnumbered, s.resumes = true, false
	return nil
}

// precedes tells whether an event may follow another one by their ids. Ids that are
// numbers count up by one; of others it is only known that they differ.
func precedes(lastID, id string) bool {
	last, err := strconv.ParseUint(lastID, 10, 64)
	if err != nil {
		return lastID == "" || id != lastID
	}
	next, err := strconv.ParseUint(id, 10, 64)
	return err == nil && next == last+1
}
