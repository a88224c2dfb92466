package receiver

import (
	"encoding/json"
	"net/http"

	"github.com/oriolecroft/oriolecroft/internal/forwarder"
)

// eventStream writes a model's reply as server-sent events. A reply is whole
// only with its last event, which has "done" or "error".
type eventStream struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	started bool
}

// Event writes one event and sends it at once.
func (s *eventStream) Event(e forwarder.Event) error {
	s.start()
	return s.write(e)
}

func (s *eventStream) start() {
	if s.started {
		return
	}
	s.started = true
	s.writer.Header().Set("Content-Type", "text/event-stream")
	s.writer.Header().Set("Cache-Control", "no-store")
	s.writer.WriteHeader(http.StatusOK)
}

func (s *eventStream) write(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	line := append(append([]byte("data: "), data...), '\n', '\n')
	if _, err := s.writer.Write(line); err != nil {
		return err
	}
	return s.control.Flush()
}

// fail ends the reply: as an ordinary refusal before the first event, as an
// error event after it.
func (s *eventStream) fail(err error) {
	if !s.started {
		refuse(s.writer, err)
		return
	}
	f := failure(err)
	// The caller may be gone; then there is nobody left to tell.
	_ = s.write(struct {
		Error any `json:"error"`
	}{struct {
		Outcome      string `json:"outcome"`
		Message      string `json:"message"`
		RetryAfterMS int64  `json:"retryAfterMs"`
	}{f.Outcome.String(), f.Message, f.RetryAfter.Milliseconds()}})
}
