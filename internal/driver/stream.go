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

// MaxEventBytes limits one event of a stream, so that a faulty upstream cannot fill
// the agent's memory.
const MaxEventBytes = 64 << 10

// Event is one event of a stream: a token, or the end if Done is set.
type Event struct {
	Index int    `json:"index"`
	Token string `json:"token,omitempty"`
	// Version and Weights are what the engine reports as the source of the token;
	// Weights is the digest of the bytes actually loaded.
	Version string `json:"version"`
	Weights string `json:"weights"`
	// AdapterWeights is the digest of the adapter's weights, if one was used.
	AdapterWeights string `json:"adapterWeights,omitempty"`

	Done bool `json:"done,omitempty"`
	// Tokens and Digest are set in the last event: the number of all tokens and the
	// digest of the tokens joined by a space.
	Tokens int    `json:"tokens,omitempty"`
	Digest string `json:"digest,omitempty"`
}

// Stream is a streamed reply of an engine. It is not safe for concurrent use.
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

// Next returns the next event, and io.EOF after the one that is Done. Errors are
// *CutError if the stream ends without that event, *InconsistentError if its events
// do not belong together and *ProtocolError if they cannot be parsed.
func (s *Stream) Next() (Event, error) {
	if s.done {
		return Event{}, io.EOF
	}
	data, err := s.nextData()
	if err != nil {
		return Event{}, err
	}
	var e Event
	if err := json.Unmarshal(data, &e); err != nil {
		return Event{}, &ProtocolError{Problem: "event is not JSON", Err: err}
	}
	if err := s.checkEvent(e); err != nil {
		return Event{}, err
	}
	return e, nil
}

// Close closes the connection, also before the end of the stream.
func (s *Stream) Close() error { return s.body.Close() }

// nextData returns the data of the next event that has any.
func (s *Stream) nextData() ([]byte, error) {
	for {
		event, err := s.events.Next()
		var large *bodyreader.OversizeError
		switch {
		case errors.As(err, &large):
			return nil, &ProtocolError{Problem: "event too large", Err: err}
		case err != nil:
			return nil, &CutError{Events: s.next - s.from, Err: unexpectedEOF(err)}
		}
		if data := bodyreader.EventData(event); len(data) > 0 {
			return data, nil
		}
	}
}

// checkEvent compares an event with those before it.
func (s *Stream) checkEvent(e Event) error {
	if s.first.Weights == "" {
		s.first = e
	}
	if e.Weights != s.first.Weights || e.Version != s.first.Version || e.AdapterWeights != s.first.AdapterWeights {
		return &InconsistentError{Want: s.first.Version + " " + s.first.Weights, Got: e.Version + " " + e.Weights}
	}
	if e.Done {
		return s.checkEnd(e)
	}
	if e.Index != s.next {
		return &InconsistentError{Want: "event " + strconv.Itoa(s.next), Got: "event " + strconv.Itoa(e.Index)}
	}
	if s.next > 0 {
		s.sum.Write([]byte(" "))
	}
	s.sum.Write([]byte(e.Token))
	s.next++
	return nil
}

// checkEnd checks the last event against all tokens received. The digest can be
// checked only if the stream was read from its start.
func (s *Stream) checkEnd(e Event) error {
	s.done = true
	if e.Tokens != s.next {
		return &InconsistentError{Want: strconv.Itoa(e.Tokens) + " tokens", Got: strconv.Itoa(s.next)}
	}
	digest := "sha256:" + hex.EncodeToString(s.sum.Sum(nil))
	if s.from == 0 && e.Digest != digest {
		return &InconsistentError{Want: "digest " + e.Digest, Got: digest}
	}
	return nil
}

// unexpectedEOF turns io.EOF, the end of the connection, into io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
