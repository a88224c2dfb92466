package driver

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"hash"
	"io"
	"net/http"
	"strconv"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
)

// MaxEventBytes bounds one event of a stream: an upstream gone wrong must not be
// able to fill the agent's memory.
const MaxEventBytes = 64 << 10

// Event is one event of a stream: a token, or the end if Done is set.
type Event struct {
	Index int    `json:"index"`
	Token string `json:"token,omitempty"`
	// Version and Weights are the engine's word on what made the token; Weights
	// is the digest of the bytes really loaded.
	Version string `json:"version"`
	Weights string `json:"weights"`
	// AdapterWeights is the same for the adapter, when one was used.
	AdapterWeights string `json:"adapterWeights,omitempty"`

	Done bool `json:"done,omitempty"`
	// Tokens and Digest are set at the end: the number of all tokens and the
	// digest of the tokens joined by a space.
	Tokens int    `json:"tokens,omitempty"`
	Digest string `json:"digest,omitempty"`
}

// Stream is a reply of an engine as it comes. It is not for concurrent use.
type Stream struct {
	body   io.ReadCloser
	events *bodyreader.EventReader
	from   int
	next   int
	sum    hash.Hash
	first  Event
	done   bool
}

func newStream(resp *http.Response, from int) *Stream {
	return &Stream{
		body:   resp.Body,
		events: bodyreader.NewEventReader(resp, MaxEventBytes),
		from:   from,
		next:   from,
		sum:    sha256.New(),
	}
}

// Next gives the next event, and io.EOF after the one that is Done. Errors are
// *CutError when the stream ends without it, *MixedError when it is not of one
// piece and *ProtocolError when it is no stream at all.
func (s *Stream) Next() (Event, error) {
	if s.done {
		return Event{}, io.EOF
	}
	data, err := s.data()
	if err != nil {
		return Event{}, err
	}
	var e Event
	if err := json.Unmarshal(data, &e); err != nil {
		return Event{}, &ProtocolError{Problem: "event is not JSON", Err: err}
	}
	if err := s.check(e); err != nil {
		return Event{}, err
	}
	return e, nil
}

// Close gives the connection back; before the end of the stream it cuts it.
func (s *Stream) Close() error { return s.body.Close() }

// data gives the data of the next event that has any.
func (s *Stream) data() ([]byte, error) {
	for {
		event, err := s.events.Next()
		var large *bodyreader.OversizeError
		switch {
		case errors.As(err, &large):
			return nil, &ProtocolError{Problem: "event too large", Err: err}
		case err != nil:
			return nil, &CutError{Events: s.next - s.from, Err: unexpected(err)}
		}
		if data := bodyreader.EventData(event); len(data) > 0 {
			return data, nil
		}
	}
}

// check holds an event against those before it.
func (s *Stream) check(e Event) error {
	if s.first.Weights == "" {
		s.first = e
	}
	if e.Weights != s.first.Weights || e.Version != s.first.Version || e.AdapterWeights != s.first.AdapterWeights {
		return &MixedError{Want: s.first.Version + " " + s.first.Weights, Got: e.Version + " " + e.Weights}
	}
	if e.Done {
		return s.end(e)
	}
	if e.Index != s.next {
		return &MixedError{Want: "event " + strconv.Itoa(s.next), Got: "event " + strconv.Itoa(e.Index)}
	}
	if s.next > 0 {
		s.sum.Write([]byte(" "))
	}
	s.sum.Write([]byte(e.Token))
	s.next++
	return nil
}

// end checks that the last event sums up all that came. The digest can be
// checked only by who has the stream from its start.
func (s *Stream) end(e Event) error {
	s.done = true
	if e.Tokens != s.next {
		return &MixedError{Want: strconv.Itoa(e.Tokens) + " tokens", Got: strconv.Itoa(s.next)}
	}
	digest := "sha256:" + hex.EncodeToString(s.sum.Sum(nil))
	if s.from == 0 && e.Digest != digest {
		return &MixedError{Want: "digest " + e.Digest, Got: digest}
	}
	return nil
}

// unexpected makes the bare end of the connection an error of its own.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
