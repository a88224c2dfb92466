package proofs_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

// Outcomes as the system reports them, and outcomeUnsent for a request that reached
// no entry.
const (
	outcomeRan     = "ran"
	outcomeNotRun  = "notRun"
	outcomeUnknown = "unknown"
	outcomeUnsent  = "unsent"
)

const (
	headerOutcome       = "Oriolecroft-Outcome"
	headerKeyClosed     = "Oriolecroft-Key-Closed"
	headerReplayed      = "Oriolecroft-Replayed"
	defaultMaxTokens    = 20
	callTimeout         = 20 * time.Second
	bookingDeadline     = 2 * time.Second
	refusalPause        = 20 * time.Millisecond
	maxIdleConnsPerHost = 64
)

// client keeps connections open for reuse, as callers do.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}}

// modelRequest is a request to a model.
type modelRequest struct {
	Workspace string `json:"workspace"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"maxTokens"`
	RequestID string `json:"requestId,omitempty"`
}

// answer holds everything that a caller received for a request to a model.
type answer struct {
	request modelRequest
	events  []imitator.Event
	// complete is set once the end mark has arrived.
	complete bool
	// outcome is the reported outcome of an incomplete answer, empty if the answer ended
	// without one.
	outcome string
	message string
	started time.Time
}

// generate sends one request and reads its answer to the end. Each event is passed to
// watch as it arrives, unless watch is nil. The caller gives up once nothing has arrived
// for callTimeout: a long answer may take longer as a whole on a busy machine.
func generate(ctx context.Context, addr netip.AddrPort, q modelRequest, watch func(imitator.Event)) answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(callTimeout, cancel)
	defer idleTimer.Stop()
	q.Workspace, q.Model = workspace, model
	if q.MaxTokens == 0 {
		q.MaxTokens = defaultMaxTokens
	}
	a := answer{request: q, started: time.Now()}
	body, _ := json.Marshal(q)
	res, err := send(ctx, addr, "/v1/generate", nil, body)
	if err != nil {
		a.outcome, a.message = outcomeOfError(err), err.Error()
		return a
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		a.outcome = res.Header.Get(headerOutcome)
		a.message = res.Status
		return a
	}
	a.read(bufio.NewScanner(res.Body), func(e imitator.Event) {
		idleTimer.Reset(callTimeout)
		if watch != nil {
			watch(e)
		}
	})
	return a
}

func (a *answer) read(lines *bufio.Scanner, watch func(imitator.Event)) {
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var v struct {
			imitator.Event
			Error *struct {
				Outcome string `json:"outcome"`
				Message string `json:"message"`
			} `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &v); err != nil {
			a.message = err.Error()
			return
		}
		if v.Error != nil {
			a.outcome, a.message = v.Error.Outcome, v.Error.Message
			return
		}
		a.events = append(a.events, v.Event)
		watch(v.Event)
		if v.Done {
			a.complete = true
			return
		}
	}
	a.message = fmt.Sprintf("answer ended without an end mark: %v", lines.Err())
}

// defect describes what is wrong with an answer, or returns "" if nothing is. The part
// received of an incomplete answer is checked too: the caller has read it already.
func (a answer) defect(weights map[string]string) string {
	if !a.complete && a.outcome == "" {
		return "cut: " + a.message
	}
	if a.outcome == outcomeNotRun && len(a.events) > 0 {
		return "has tokens but was reported as not run"
	}
	var tokens []string
	for i, v := range a.events {
		first := a.events[0]
		switch {
		case weights[v.Version] != v.Weights:
			return fmt.Sprintf("event %d is from weights %s, which are not those of %s", i, v.Weights, v.Version)
		case v.Weights != first.Weights || v.Version != first.Version:
			return fmt.Sprintf("event %d is from %s after %s", i, v.Version, first.Version)
		case v.Done:
			return a.endDefect(v, tokens)
		case v.Index != i || v.Token != expectedToken(a.request.Prompt, v):
			return fmt.Sprintf("event %d is token %d, %q, of another prompt", i, v.Index, v.Token)
		}
		tokens = append(tokens, v.Token)
	}
	return ""
}

func (a answer) endDefect(end imitator.Event, tokens []string) string {
	sum := sha256.Sum256([]byte(strings.Join(tokens, " ")))
	switch {
	case len(tokens) != a.request.MaxTokens || end.Tokens != len(tokens):
		return fmt.Sprintf("has %d of %d tokens", len(tokens), a.request.MaxTokens)
	case end.Digest != "sha256:"+hex.EncodeToString(sum[:]):
		return "digest does not match its tokens"
	}
	return ""
}

// expectedToken returns the only token that the stand-in engine can produce for this
// prompt at this index from these weights.
func expectedToken(prompt string, v imitator.Event) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %d %s %s", prompt, v.Index, v.Weights, v.AdapterWeights))
	return hex.EncodeToString(sum[:4])
}

func send(ctx context.Context, addr netip.AddrPort, path string, h http.Header, body []byte) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the HTTP client can't read the body again and never repeats a request.
	r.GetBody = nil
	for name, values := range h {
		r.Header[name] = values
	}
	return client.Do(r)
}

// outcomeOfError returns the outcome of a request that got no answer.
func outcomeOfError(err error) string {
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return outcomeUnsent
	}
	return outcomeUnknown
}

// traffic runs callers that send requests continuously until they are stopped.
type traffic struct {
	cancel context.CancelFunc
	group  sync.WaitGroup

	// tokens is the length of the requested replies, 0 for the default.
	tokens int

	mu       sync.Mutex
	answers  []answer
	requests int
}

// startTraffic starts callers that send requests to the entries chosen by pick.
func startTraffic(t *testing.T, callers int, pick entryPicker) *traffic {
	return startLongTraffic(t, callers, 0, pick)
}

// startLongTraffic is startTraffic with replies of the given number of tokens.
func startLongTraffic(t *testing.T, callers, tokens int, pick entryPicker) *traffic {
	ctx, cancel := context.WithCancel(t.Context())
	f := &traffic{cancel: cancel, tokens: tokens}
	for i := range callers {
		f.group.Go(func() { f.requestRepeatedly(ctx, i, pick) })
	}
	t.Cleanup(f.stop)
	return f
}

// entryPicker returns the entry for a caller's request with the given number.
type entryPicker func(caller, request int) netip.AddrPort

// roundRobin picks one entry after the other.
func roundRobin(entries []netip.AddrPort) entryPicker {
	return func(caller, request int) netip.AddrPort { return entries[(caller+request)%len(entries)] }
}

func (f *traffic) requestRepeatedly(ctx context.Context, caller int, pick entryPicker) {
	pause := time.NewTicker(refusalPause)
	defer pause.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		// A caller's last answer is read to its end.
		a := generate(context.WithoutCancel(ctx), pick(caller, n), f.nextRequest(caller), nil)
		f.record(a)
		if !a.complete {
			<-pause.C
		}
	}
}

// nextRequest returns a request with a unique prompt. All requests have the same
// request id, as callers may use one twice.
func (f *traffic) nextRequest(caller int) modelRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	return modelRequest{
		Prompt:    fmt.Sprintf("Caller %d drafts roster %d.", caller, f.requests),
		MaxTokens: f.tokens,
		RequestID: "roster",
	}
}

func (f *traffic) record(a answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers = append(f.answers, a)
}

// stop ends the callers once their last answers are read.
func (f *traffic) stop() {
	f.cancel()
	f.group.Wait()
}

// completeAnswers returns the number of complete answers so far.
func (f *traffic) completeAnswers() int { return f.count(func(a answer) bool { return a.complete }) }

func (f *traffic) count(match func(a answer) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, a := range f.answers {
		if match(a) {
			n++
		}
	}
	return n
}

// awaitComplete waits until the given number of further answers is complete.
func (f *traffic) awaitComplete(t *testing.T, further int) {
	t.Helper()
	target := f.completeAnswers() + further
	eventually(t, waitTimeout, fmt.Sprintf("%d more complete answers", further), func() bool { return f.completeAnswers() >= target })
}

// mustHaveNoDefects checks that no answer has a defect.
func (f *traffic) mustHaveNoDefects(t *testing.T, weights map[string]string) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	must.Positive(t, len(f.answers))
	for _, a := range f.answers {
		must.Eq(t, "", a.defect(weights), must.Sprintf("answer to %q", a.request.Prompt))
	}
}

// bookingResult is the result of one try of a booking as its caller sees it.
type bookingResult struct {
	outcome  string
	status   int
	name     string
	replayed bool
	closed   bool
	message  string
}

// book tries a booking once. The key was issued by an entry if header is
// Oriolecroft-Key, and made by the caller if it is Idempotency-Key.
func book(ctx context.Context, addr netip.AddrPort, header, key, name string) bookingResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h := http.Header{}
	h.Set("Oriolecroft-Workspace", workspace)
	h.Set("Booking", name)
	h.Set("Oriolecroft-Deadline-Ms", strconv.FormatInt(bookingDeadline.Milliseconds(), 10))
	h.Set("Content-Type", "application/json")
	if key != "" {
		h.Set(header, key)
	}
	res, err := send(ctx, addr, "/v1/services/"+service+"/slots", h, []byte(`{"slot":"`+name+`"}`))
	if err != nil {
		return bookingResult{outcome: outcomeOfError(err), message: err.Error()}
	}
	defer res.Body.Close()
	b := bookingResult{
		status:   res.StatusCode,
		outcome:  res.Header.Get(headerOutcome),
		replayed: res.Header.Get(headerReplayed) != "",
		closed:   res.Header.Get(headerKeyClosed) != "",
	}
	var reply struct {
		Booking string `json:"booking"`
		Error   string `json:"error"`
	}
	if err := json.NewDecoder(res.Body).Decode(&reply); err != nil {
		return bookingResult{outcome: outcomeUnknown, message: err.Error()}
	}
	b.name, b.message = reply.Booking, reply.Error
	if res.StatusCode == http.StatusOK {
		b.outcome = outcomeRan
	}
	return b
}

// fetchKey gets a key from an entry. It returns "" if the entry issues none.
func fetchKey(ctx context.Context, addr netip.AddrPort) string {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, _ := json.Marshal(struct {
		Workspace string `json:"workspace"`
		Service   string `json:"service"`
	}{workspace, service})
	res, err := send(ctx, addr, "/v1/keys", nil, body)
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	var reply struct {
		Key string `json:"key"`
	}
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&reply) != nil {
		return ""
	}
	return reply.Key
}

// fetchFate asks an entry for the fate of a key. It returns "" if the entry has none to report.
func fetchFate(ctx context.Context, addr netip.AddrPort, key string) string {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q := url.Values{"workspace": {workspace}, "service": {service}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/v1/keys/"+url.PathEscape(key)+"?"+q.Encode(), nil)
	if err != nil {
		return ""
	}
	res, err := client.Do(r)
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	var reply struct {
		Fate string `json:"fate"`
	}
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&reply) != nil {
		return ""
	}
	return reply.Fate
}
