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

// generate makes a model request. It retries only if the request did not run or no
// token was received.
func (s *session) generate(number int) reply {
	for try := 0; ; try++ {
		r := s.generateOnce(number, try > 0)
		if !r.safeToRetry() || try == maxRetries {
			return r
		}
		s.waitBeforeRetry(r.retryDelay)
	}
}

func (s *session) generateOnce(number int, avoidLast bool) reply {
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
	header := http.Header{"Content-Type": {"application/json"}}
	res, err := s.send(ctx, "/v1/generate", header, body, avoidLast)
	if isUnsent(err) {
		return reply{outcome: outcomeNotRun, retryDelay: defaultRetryDelay}
	}
	if err != nil {
		return reply{broken: true, notStarted: true, retryDelay: defaultRetryDelay}
	}
	if res.StatusCode != http.StatusOK {
		f := readRefusal(res)
		return reply{outcome: f.outcome, retryDelay: f.retryDelay}
	}
	defer res.Body.Close()
	var a replyReader
	r := a.read(res.Body)
	if r.disconnected && len(a.tokens) == 0 {
		r.notStarted, r.retryDelay = true, defaultRetryDelay
		return r
	}
	if r.disconnected {
		return s.resume(ctx, &a, body, res.Header.Get(resumeHeader))
	}
	// A connection is reused only if its last response was read to the end.
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		klog.V(1).InfoS("no clean end after the last event", "err", err)
	}
	return r
}

// resume requests the rest of a reply from another entry after a disconnection.
func (s *session) resume(ctx context.Context, a *replyReader, body []byte, token string) reply {
	r := reply{broken: true, mixed: a.mixed}
	for try := 0; try < maxRetries && r.broken && token != "" && len(a.tokens) > 0; try++ {
		header := http.Header{
			"Content-Type":  {"application/json"},
			resumeHeader:    {token},
			"Last-Event-Id": {strconv.Itoa(len(a.tokens) - 1)},
		}
		res, err := s.send(ctx, "/v1/generate", header, body, true)
		if err != nil {
			return r
		}
		if res.StatusCode != http.StatusOK {
			f := readRefusal(res)
			s.waitBeforeRetry(f.retryDelay)
			continue
		}
		r = a.read(res.Body)
		res.Body.Close()
	}
	return r
}

// prompt returns one of a few long prefixes, which prefix caches can share, with a
// unique suffix.
func (s *session) prompt(number int) string {
	const prefixCount = 8
	text := fmt.Sprintf("You draft rosters for shed %d. ", (s.caller.Seed+uint64(number))%prefixCount)
	for len(text) < 2*PrefixBlockBytes {
		text += "Be brief and keep to the facts. "
	}
	return fmt.Sprintf("%sRequest %d-%d.", text, s.caller.Seed, number)
}
