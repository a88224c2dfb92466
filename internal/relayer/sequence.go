package relayer

import (
	"errors"
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

// MissingEventError reports a stream that ends where a former upstream had begun another event.
type MissingEventError struct{ Last string }

func (e *MissingEventError) Error() string {
	return fmt.Sprintf("ends behind event %q though another one had begun", e.Last)
}

// sequence is how far a stream of events has come.
type sequence struct {
	// last is the id of the last event; empty for none.
	last string
	// step is by how much the first ids of the stream differ; 0 when not known.
	step uint64
	// resumes tells that another reply goes on behind the last event: its first event with data has to follow.
	resumes bool
	// version is that of the weights of the last event; 0 if unknown.
	version uint64
	// unnumbered tells that data without an id came behind the last event: what follows can't be asked for.
	unnumbered bool
	// cutInside tells that a reply broke off inside the event behind the last one: there is one to come.
	cutInside bool
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
	if !s.goesOn(id) {
		return &GapError{Last: s.last, Next: id}
	}
	s.last, s.unnumbered, s.resumes, s.cutInside = id, false, false, false
	return nil
}

// end takes in the end of a reply. Errors are *MissingEventError.
func (s *sequence) end() error {
	if s.resumes && s.cutInside {
		return &MissingEventError{Last: s.last}
	}
	return nil
}

// cut takes in that a reply broke off.
func (s *sequence) cut(err error) {
	var cut *bodyreader.CutError
	if errors.As(err, &cut) && cut.Unfinished > 0 {
		s.cutInside = true
	}
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

// goesOn tells whether an event may follow by its id. Ids that are numbers increase. Where another reply goes on, and
// in streams that have counted by one, they count by one. Of other ids it is only known that they differ.
func (s *sequence) goesOn(id string) bool {
	last, err := strconv.ParseUint(s.last, 10, 64)
	if err != nil {
		return s.last == "" || id != s.last
	}
	next, err := strconv.ParseUint(id, 10, 64)
	if err != nil || next <= last {
		return false
	}
	step := next - last
	if s.step == 0 {
		s.step = step
	}
	return step == 1 || !s.resumes && s.step != 1
}
