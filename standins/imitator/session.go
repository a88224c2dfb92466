package imitator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"
)

// outcome is the system's own word on whether a request has run.
type outcome string

const (
	outcomeRan     outcome = "ran"
	outcomeNotRun  outcome = "notRun"
	outcomeUnknown outcome = "unknown"
	// outcomeNotSent is the caller's own word: this try left the machine for no
	// entry, so that what was known of earlier tries still holds.
	outcomeNotSent outcome = ""

	outcomeHeader   = "Oriolecroft-Outcome"
	workspaceHeader = "Oriolecroft-Workspace"
	keyHeader       = "Oriolecroft-Key"

	askTimeout  = 5 * time.Second  // for the list of entries and for keys
	callTimeout = 60 * time.Second // for a whole reply
)

// session is one caller with its own copy of the list of entries.
type session struct {
	caller  *Caller
	random  *rand.Rand
	http    *http.Client
	entries []string
	expires time.Time
	last    string // the entry of the last call
}

// entryAddresses returns the known entries, best first. A list that has outlived
// its time is asked for anew; when nobody answers the old one is used.
func (s *session) entryAddresses() []string {
	now := s.caller.Clock.Now()
	if len(s.entries) > 0 && now.Before(s.expires) {
		return s.entries
	}
	for _, i := range s.random.Perm(len(s.caller.Entries)) {
		if s.askEntries(s.caller.Entries[i]) {
			return s.entries
		}
	}
	if len(s.entries) > 0 {
		return s.entries
	}
	return s.caller.Entries
}

func (s *session) askEntries(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries", nil)
	if err != nil {
		return false
	}
	res, err := s.http.Do(r)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	var list struct {
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
		KeepForMs int64 `json:"keepForMs"`
	}
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&list) != nil {
		return false
	}
	var entries []string
	for _, e := range list.Entries {
		entries = append(entries, e.Address)
	}
	if len(entries) == 0 {
		return false
	}
	s.entries = entries
	s.expires = s.caller.Clock.Now().Add(time.Duration(list.KeepForMs) * time.Millisecond)
	return true
}

// dialFailed tells whether the error came before anything was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// errNoEntry tells that no entry could be connected to, so nothing was sent.
var errNoEntry = errors.New("no entry can be connected to")

// send posts the body to the first entry that it can connect to. It leaves the
// last call's entry for the end when another is wanted.
func (s *session) send(ctx context.Context, path string, h http.Header, body []byte, another bool) (*http.Response, error) {
	addresses := append([]string(nil), s.entryAddresses()...)
	if another {
		for i, a := range addresses {
			if a == s.last {
				addresses = append(append(addresses[:i:i], addresses[i+1:]...), a)
				break
			}
		}
	}
	for _, a := range addresses {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a+path, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		r.Header = h.Clone()
		s.last = a
		res, err := s.http.Do(r)
		if dialFailed(err) {
			continue
		}
		return res, err
	}
	s.expires = time.Time{}
	return nil, errNoEntry
}

// refusal is the answer to a request that was not served.
type refusal struct {
	outcome outcome
	pause   time.Duration // before a retry
}

// readRefusal reads a response other than 200. A response without a known
// outcome counts as unknown.
func readRefusal(res *http.Response) refusal {
	defer res.Body.Close()
	f := refusal{outcome: outcomeUnknown, pause: defaultPause}
	switch o := outcome(res.Header.Get(outcomeHeader)); o {
	case outcomeRan, outcomeNotRun:
		f.outcome = o
	}
	var body struct {
		Error        string `json:"error"`
		RetryAfterMs int64  `json:"retryAfterMs"`
	}
	err := json.NewDecoder(io.LimitReader(res.Body, MaxValueBytes)).Decode(&body)
	seconds, _ := strconv.ParseInt(res.Header.Get("Retry-After"), 10, 64)
	switch {
	case err == nil && body.RetryAfterMs > 0:
		f.pause = time.Duration(body.RetryAfterMs) * time.Millisecond
	case seconds > 0:
		f.pause = time.Duration(seconds) * time.Second
	}
	klog.V(1).InfoS("refused", "status", res.StatusCode, "outcome", f.outcome, "error", body.Error)
	return f
}

// rest waits before a retry, with some jitter.
func (s *session) rest(d time.Duration) {
	d = min(d, maxPause)
	d += time.Duration(s.random.Int64N(int64(d)/4 + 1))
	s.caller.Clock.Sleep(d)
}

// ask makes a model request. It is made again only after "not run".
func (s *session) ask(number int) reply {
	for try := 0; ; try++ {
		r := s.askOnce(number, try > 0)
		if r.outcome != outcomeNotRun || try == maxRetries {
			return r
		}
		s.rest(r.pause)
	}
}

func (s *session) askOnce(number int, another bool) reply {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
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
	if errors.Is(err, errNoEntry) {
		return reply{outcome: outcomeNotRun, pause: defaultPause}
	}
	if err != nil {
		return reply{broken: true}
	}
	if res.StatusCode != http.StatusOK {
		f := readRefusal(res)
		return reply{outcome: f.outcome, pause: f.pause}
	}
	defer res.Body.Close()
	return readReply(res.Body)
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
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	h := http.Header{}
	h.Set(workspaceHeader, s.caller.Workspace)
	h.Set(keyHeader, key)
	h.Set("Booking", name)
	h.Set("Content-Type", "application/json")
	path := "/v1/services/" + url.PathEscape(s.caller.Service) + "/bookings"
	res, err := s.send(ctx, path, h, []byte(`{"slot":"`+name+`"}`), another)
	if errors.Is(err, errNoEntry) {
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
