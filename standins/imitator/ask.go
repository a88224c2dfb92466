package imitator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/google/uuid"
	"k8s.io/klog/v2"
)

// ask makes a model request. It is made again only after "not run".
func (s *session) ask(number int) reply {
	for try := 0; ; try++ {
		r := s.askOnce(number, try > 0)
		if !r.mayAskAnew() || try == maxRetries {
			return r
		}
		s.rest(r.pause)
	}
}

func (s *session) askOnce(number int, another bool) reply {
	ctx, cancel := context.WithTimeout(context.Background(), s.caller.Timeout)
	defer cancel()
	body, err := json.Marshal(struct {
		Workspace string `json:"workspace"`
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"maxTokens"`
		Priority  int    `json:"priority"`
		RequestID string `json:"requestId"`
	}{s.caller.Workspace, s.caller.Model, s.prompt(number), promptTokens, number % 3, uuid.NewString()})
	if err != nil {
		return reply{broken: true}
	}
	h := http.Header{"Content-Type": {"application/json"}}
	res, err := s.send(ctx, "/v1/generate", h, body, another)
	if isUnsent(err) {
		return reply{outcome: outcomeNotRun, pause: defaultPause}
	}
	if err != nil {
		return reply{broken: true, unbegun: true, pause: defaultPause}
	}
	if res.StatusCode != http.StatusOK {
		f := readRefusal(res)
		return reply{outcome: f.outcome, pause: f.pause}
	}
	defer res.Body.Close()
	var a reading
	r := a.read(res.Body)
	if r.cut && len(a.tokens) == 0 {
		r.unbegun, r.pause = true, defaultPause
		return r
	}
	if r.cut {
		return s.readOn(ctx, &a, body, res.Header.Get(resumeHeader))
	}
	// A connection is used again only when its last answer was read to the end.
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		klog.V(1).InfoS("no clean end after the last event", "err", err)
	}
	return r
}

// readOn asks another entry for the rest of a reply whose connection was cut.
func (s *session) readOn(ctx context.Context, a *reading, body []byte, token string) reply {
	r := reply{broken: true, mixed: a.mixed}
	for try := 0; try < maxRetries && r.broken && token != "" && len(a.tokens) > 0; try++ {
		h := http.Header{
			"Content-Type":  {"application/json"},
			resumeHeader:    {token},
			"Last-Event-Id": {strconv.Itoa(len(a.tokens) - 1)},
		}
		res, err := s.send(ctx, "/v1/generate", h, body, true)
		if err != nil {
			return r
		}
		if res.StatusCode != http.StatusOK {
			f := readRefusal(res)
			s.rest(f.pause)
			continue
		}
		r = a.read(res.Body)
		res.Body.Close()
	}
	return r
}

// prompt returns one of a few long beginnings, which prefix caches can share,
// and an end of its own.
func (s *session) prompt(number int) string {
	const beginnings = 8
	text := fmt.Sprintf("You draft rosters for shed %d. ", (s.caller.Seed+uint64(number))%beginnings)
	for len(text) < 2*PrefixBlockBytes {
		text += "Be brief and keep to the facts. "
	}
	return fmt.Sprintf("%sRequest %d-%d.", text, s.caller.Seed, number)
}
