package imitator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
)

// book makes one booking, with retries: with the same key while it is unknown
// whether it ran, with a new key once it is known not to have run.
func (s *session) book(name string) Fate {
	key := ""
	fate := FateNotRun
	for try := 0; ; try++ {
		var f refusal
		if key == "" {
			key, f = s.newKey(try > 0)
		}
		if key != "" {
			f = s.bookOnce(name, key, try > 0)
		}
		switch f.outcome {
		case outcomeRan:
			return FateDone
		case outcomeNotRun:
			fate, key = FateNotRun, ""
		case outcomeNotSent:
		default:
			fate = FateUnknown
		}
		if try == maxRetries {
			return fate
		}
		s.rest(f.pause)
	}
}

// newKey returns the key that makes one booking idempotent, or none with the
// pause before a retry: without a key nothing of the booking was sent.
func (s *session) newKey(another bool) (string, refusal) {
	failed := refusal{outcome: outcomeNotRun, pause: defaultPause}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	body, err := json.Marshal(struct {
		Workspace string `json:"workspace"`
		Service   string `json:"service"`
	}{s.caller.Workspace, s.caller.Service})
	if err != nil {
		return "", failed
	}
	res, err := s.send(ctx, "/v1/keys", http.Header{"Content-Type": {"application/json"}}, body, another)
	if err != nil {
		return "", failed
	}
	if res.StatusCode != http.StatusOK {
		failed.pause = readRefusal(res).pause
		return "", failed
	}
	defer res.Body.Close()
	var answer struct {
		Key string `json:"key"`
	}
	if json.NewDecoder(res.Body).Decode(&answer) != nil {
		return "", failed
	}
	return answer.Key, failed
}

func (s *session) bookOnce(name, key string, another bool) refusal {
	ctx, cancel := context.WithTimeout(context.Background(), s.caller.Timeout)
	defer cancel()
	h := http.Header{}
	h.Set(workspaceHeader, s.caller.Workspace)
	h.Set(keyHeader, key)
	h.Set("Booking", name)
	h.Set("Content-Type", "application/json")
	path := "/v1/services/" + url.PathEscape(s.caller.Service) + "/bookings"
	res, err := s.send(ctx, path, h, []byte(`{"slot":"`+name+`"}`), another)
	if isUnsent(err) {
		return refusal{outcome: outcomeNotSent, pause: defaultPause}
	}
	if err != nil {
		return refusal{outcome: outcomeUnknown, pause: defaultPause}
	}
	if res.StatusCode != http.StatusOK {
		return readRefusal(res)
	}
	defer res.Body.Close()
	var answer struct {
		Booking string `json:"booking"`
	}
	if json.NewDecoder(res.Body).Decode(&answer) != nil || answer.Booking != name {
		return refusal{outcome: outcomeUnknown, pause: defaultPause}
	}
	return refusal{outcome: outcomeRan}
}
