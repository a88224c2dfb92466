package receiver

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/oriolecroft/oriolecroft/internal/forwarder"
)

// eventStream writes a model's reply as server-sent events. A reply is complete only
// with its last event, which has "done" or "error".
type eventStream struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	started bool
	// resume is the resume token in the caller's request, if any.
	resume string
	// id is the index of the last event.
	id int
}

// Start sends the headers.
func (s *eventStream) Start(resume string) error {
	s.started = true
	s.writer.Header().Set("Content-Type", "text/event-stream")
	s.writer.Header().Set("Cache-Control", "no-store")
	s.writer.Header().Set(HeaderResume, resume)
	s.writer.WriteHeader(http.StatusOK)
	return s.control.Flush()
}

// Event writes one event and sends it at once.
func (s *eventStream) Event(e forwarder.Event) error {
	if !e.Done {
		s.id = e.Index
	}
	if !s.started {
		// The rest of a reply that started through another entry.
		if err := s.Start(s.resume); err != nil {
			return err
		}
	}
	return s.write(e)
}

// write sends one event with the id after which a caller may resume.
func (s *eventStream) write(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(s.writer, "id: %d\ndata: %s\n\n", s.id, data); err != nil {
		return err
	}
	return s.control.Flush()
}

// writeError ends the reply: with an error response before the first event, with an
// error event after it.
func (s *eventStream) writeError(err error) {
	if !s.started {
		writeError(s.writer, err)
		return
	}
	f := asFailure(err)
	// The write fails if the caller has closed its connection; that needs no handling.
	_ = s.write(struct {
		Error any `json:"error"`
	}{struct {
		Outcome      string `json:"outcome"`
		Message      string `json:"message"`
		RetryAfterMS int64  `json:"retryAfterMs"`
	}{f.Outcome.String(), f.Message, f.RetryAfter.Milliseconds()}})
}
