package imitator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
)

// book makes one booking. Retries use the same key while it is unknown whether the
// booking ran, and a new key once it is known not to have run.
func (s *session) book(name string) BookingOutcome {
	key := ""
	result := BookingNotRun
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
			return BookingDone
		case outcomeNotRun:
			result, key = BookingNotRun, ""
		case outcomeNotSent:
		default:
			result = BookingUnknown
		}
		if try == maxRetries {
			return result
		}
		s.waitBeforeRetry(f.retryDelay)
	}
}

// newKey returns the key that makes one booking idempotent. On failure the key is
// empty and the refusal states the delay before a retry; it counts as not run
// because nothing of the booking was sent.
func (s *session) newKey(avoidLast bool) (string, refusal) {
	failed := refusal{outcome: outcomeNotRun, retryDelay: defaultRetryDelay}
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	body, err := json.Marshal(struct {
		Workspace string `json:"workspace"`
		Service   string `json:"service"`
	}{s.caller.Workspace, s.caller.Service})
	if err != nil {
		return "", failed
	}
	res, err := s.send(ctx, "/v1/keys", http.Header{"Content-Type": {"application/json"}}, body, avoidLast)
	if err != nil {
		return "", failed
	}
	if res.StatusCode != http.StatusOK {
		failed.retryDelay = readRefusal(res).retryDelay
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

func (s *session) bookOnce(name, key string, avoidLast bool) refusal {
	ctx, cancel := context.WithTimeout(context.Background(), s.caller.Timeout)
	defer cancel()
	header := http.Header{}
	header.Set(workspaceHeader, s.caller.Workspace)
	header.Set(keyHeader, key)
	header.Set("Booking", name)
	header.Set("Content-Type", "application/json")
	path := "/v1/services/" + url.PathEscape(s.caller.Service) + "/bookings"
	res, err := s.send(ctx, path, header, []byte(`{"slot":"`+name+`"}`), avoidLast)
	if isUnsent(err) {
		return refusal{outcome: outcomeNotSent, retryDelay: defaultRetryDelay}
	}
	if err != nil {
		return refusal{outcome: outcomeUnknown, retryDelay: defaultRetryDelay}
	}
	if res.StatusCode != http.StatusOK {
		return readRefusal(res)
	}
	defer res.Body.Close()
	var answer struct {
		Booking string `json:"booking"`
	}
	if json.NewDecoder(res.Body).Decode(&answer) != nil || answer.Booking != name {
		return refusal{outcome: outcomeUnknown, retryDelay: defaultRetryDelay}
	}
	return refusal{outcome: outcomeRan}
}
