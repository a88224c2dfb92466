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
	"net/netip"
	"slices"
	"strconv"
	"time"

	"k8s.io/klog/v2"
)

// outcome states whether a request has run, as reported by the system.
type outcome string

const (
	outcomeRan     outcome = "ran"
	outcomeNotRun  outcome = "notRun"
	outcomeUnknown outcome = "unknown"
	// outcomeNotSent is never received: the caller sets it if this attempt was sent
	// to no entry, so that the outcome of earlier attempts still applies.
	outcomeNotSent outcome = ""

	outcomeHeader   = "Oriolecroft-Outcome"
	workspaceHeader = "Oriolecroft-Workspace"
	keyHeader       = "Oriolecroft-Key"
	resumeHeader    = "Oriolecroft-Resume"

	lookupTimeout = 5 * time.Second // for the list of entries and for keys
	dialTimeout   = 2 * time.Second
)

// session is one simulated caller with its own copy of the list of entries.
type session struct {
	caller    *Caller
	random    *rand.Rand
	http      *http.Client
	entries   []netip.AddrPort
	expires   time.Time
	lastEntry netip.AddrPort // the entry of the last call
}

// entryAddresses returns the known entries in order of preference. An expired list
// is requested again; if that fails, the old one is used.
func (s *session) entryAddresses() []netip.AddrPort {
	now := s.caller.Clock.Now()
	if len(s.entries) > 0 && now.Before(s.expires) {
		return s.entries
	}
	for _, i := range s.random.Perm(len(s.caller.Entries)) {
		if s.fetchEntries(s.caller.Entries[i]) {
			return s.entries
		}
	}
	if len(s.entries) > 0 {
		return s.entries
	}
	return s.caller.Entries
}

func (s *session) fetchEntries(address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/v1/entries", nil)
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
			Address netip.AddrPort `json:"address"`
		} `json:"entries"`
		KeepForMs int64 `json:"keepForMs"`
	}
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&list) != nil {
		return false
	}
	var entries []netip.AddrPort
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

// dialFailed returns whether the error occurred before anything was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// unsentError is returned if no entry accepted a connection, so nothing was sent.
type unsentError struct {
	tried []netip.AddrPort
}

func (e *unsentError) Error() string {
	return fmt.Sprintf("none of %v can be connected to", e.tried)
}

func isUnsent(err error) bool {
	var unsent *unsentError
	return errors.As(err, &unsent)
}

// send posts the body to the first entry that it can connect to. With avoidLast it
// tries the entry of the last call after all others.
func (s *session) send(ctx context.Context, path string, header http.Header, body []byte, avoidLast bool) (*http.Response, error) {
	addresses := slices.Clone(s.entryAddresses())
	if avoidLast {
		addresses = moveToEnd(addresses, s.lastEntry)
	}
	for _, a := range addresses {
		address := "http://" + a.String() + path
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		r.Header = header.Clone()
		s.lastEntry = a
		res, err := s.http.Do(r)
		if dialFailed(err) {
			continue
		}
		return res, err
	}
	s.expires = time.Time{}
	return nil, &unsentError{tried: addresses}
}

// moveToEnd moves a to the end of the addresses if they contain it.
func moveToEnd(addresses []netip.AddrPort, a netip.AddrPort) []netip.AddrPort {
	i := slices.Index(addresses, a)
	if i < 0 {
		return addresses
	}
	return append(slices.Delete(addresses, i, i+1), a)
}

// refusal describes the response to a request that was not served.
type refusal struct {
	outcome    outcome
	retryDelay time.Duration // before a retry
}

// readRefusal reads a response with a status other than 200. A response without a
// recognized outcome counts as unknown.
func readRefusal(res *http.Response) refusal {
	defer res.Body.Close()
	f := refusal{outcome: outcomeUnknown, retryDelay: defaultRetryDelay}
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
		f.retryDelay = time.Duration(body.RetryAfterMs) * time.Millisecond
	case seconds > 0:
		f.retryDelay = time.Duration(seconds) * time.Second
	}
	klog.V(1).InfoS("refused", "status", res.StatusCode, "outcome", f.outcome, "error", body.Error)
	return f
}

// waitBeforeRetry waits for d, at most maxRetryDelay, plus up to 25% jitter.
func (s *session) waitBeforeRetry(d time.Duration) {
	d = min(d, maxRetryDelay)
	d += time.Duration(s.random.Int64N(int64(d)/4 + 1))
	s.caller.Clock.Sleep(d)
}
