package relayer

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
)

// GapError reports a stream that continues with the wrong event.
type GapError struct{ Last, Next string }

func (e *GapError) Error() string { return fmt.Sprintf("event %q follows %q", e.Next, e.Last) }

// WeightsError reports a stream that continues with other weights than those of its last event.
type WeightsError struct{ Want, Got uint64 }

func (e *WeightsError) Error() string {
	return fmt.Sprintf("goes on with version %d of the weights, not %d", e.Got, e.Want)
}

// MissingEventError reports a stream that ends where an earlier upstream had started another event.
type MissingEventError struct{ Last string }

func (e *MissingEventError) Error() string {
	return fmt.Sprintf("ends behind event %q though another one had begun", e.Last)
}

// sequence is the position in a stream of events.
type sequence struct {
	// lastID is the id of the last event; empty for none.
	lastID string
	// step is the difference between the first ids of the stream; 0 if unknown.
	step uint64
	// resuming reports that another reply continues after the last event: its first event with data has to
	// follow.
	resuming bool
	// version is the version of the weights of the last event; 0 if unknown.
	version uint64
	// unnumbered reports data without an id after the last event: the rest can't be requested elsewhere.
	unnumbered bool
	// cutMidEvent reports that a reply broke off within the event after the last one: there is more to come.
	cutMidEvent bool
}

// deliveredSequence is the position up to which the caller has the stream.
func (c *call) deliveredSequence() sequence {
	switch {
	case c.stream != nil:
		s := c.stream.sequence
		s.resuming = true
		return s
	case c.Route.Resumable && c.LastEvent != "":
		return sequence{lastID: c.LastEvent, resuming: true}
	default:
		return sequence{}
	}
}

// acceptVersion records the version stated in a reply's header; 0 for none. Errors are *WeightsError.
func (s *sequence) acceptVersion(version uint64) error {
	if s.resuming && s.version != 0 && version != 0 && version != s.version {
		return &WeightsError{Want: s.version, Got: version}
	}
	if version != 0 {
		s.version = version
	}
	return nil
}

// acceptEvent checks and records the next event of a reply, which may state a version; 0 for none. Errors are
// *GapError and *WeightsError.
func (s *sequence) acceptEvent(event []byte, version uint64) error {
	if err := s.acceptVersion(version); err != nil {
		return err
	}
	id := bodyreader.EventID(event)
	if id == "" {
		return s.acceptUnnumbered(event)
	}
	if !s.mayFollow(id) {
		return &GapError{Last: s.lastID, Next: id}
	}
	s.lastID, s.unnumbered, s.resuming, s.cutMidEvent = id, false, false, false
	return nil
}

// acceptEnd checks the end of a reply. Errors are *MissingEventError.
func (s *sequence) acceptEnd() error {
	if s.resuming && s.cutMidEvent {
		return &MissingEventError{Last: s.lastID}
	}
	return nil
}

// recordCut records that a reply broke off.
func (s *sequence) recordCut(err error) {
	var cut *bodyreader.CutError
	if errors.As(err, &cut) && cut.Unfinished > 0 {
		s.cutMidEvent = true
	}
}

// isComment reports whether an event has neither an id nor data.
func isComment(event []byte) bool {
	return bodyreader.EventID(event) == "" && len(bodyreader.EventData(event)) == 0
}

// acceptUnnumbered checks an event without an id. Comments are allowed anywhere.
func (s *sequence) acceptUnnumbered(event []byte) error {
	if isComment(event) {
		return nil
	}
	if s.resuming && s.lastID != "" {
		return &GapError{Last: s.lastID}
	}
	s.unnumbered, s.resuming = true, false
	return nil
}

// mayFollow reports whether an event's id may follow the last one. Numeric ids increase; after a resumption, and
// in streams that have counted by one, they count by one. Other ids only have to differ.
func (s *sequence) mayFollow(id string) bool {
	last, err := strconv.ParseUint(s.lastID, 10, 64)
	if err != nil {
		return s.lastID == "" || id != s.lastID
	}
	next, err := strconv.ParseUint(id, 10, 64)
	if err != nil || next <= last {
		return false
	}
	step := next - last
	if s.step == 0 {
		s.step = step
	}
	return step == 1 || !s.resuming && s.step != 1
}
