package dispatcher

import (
	"fmt"
	"strings"
	"time"
	"unicode/utf8"
)

// Bounds of a request.
const (
	MaxPromptBytes   = 1 << 20
	MaxTokens        = 32768
	DefaultMaxTokens = 256
	// MaxDeadlineMS is a day.
	MaxDeadlineMS = 24 * 60 * 60 * 1000
	maxNameBytes  = 128
	maxKeyBytes   = 1024
)

// GenerateRequest is a caller's request to a model.
type GenerateRequest struct {
	// RequestID may be given by the caller to find the request in the logs.
	RequestID string `json:"requestId,omitempty"`
	Workspace string `json:"workspace"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	// MaxTokens bounds the reply; 0 means DefaultMaxTokens.
	MaxTokens int `json:"maxTokens,omitempty"`
	// Priority orders requests within the workspace; higher goes first.
	Priority int `json:"priority,omitempty"`
	// DeadlineMS is how long the caller waits, in milliseconds; 0 means the
	// entry's own deadline.
	DeadlineMS int64 `json:"deadlineMs,omitempty"`

	// Resume is the token of a reply that broke off, From the index of the first
	// event still needed.
	Resume string `json:"-"`
	From   int    `json:"-"`
}

// SetDefaults fills in omitted fields.
func (g *GenerateRequest) SetDefaults() {
	if g.MaxTokens == 0 {
		g.MaxTokens = DefaultMaxTokens
	}
}

// Validate reports all problems as one *InvalidError.
func (g *GenerateRequest) Validate() error {
	var f problemList
	f.checkName("workspace", g.Workspace, true)
	f.checkName("model", g.Model, true)
	f.checkName("adapter", g.Adapter, false)
	f.checkName("requestId", g.RequestID, false)
	if len(g.Prompt) == 0 || len(g.Prompt) > MaxPromptBytes {
		f.add("prompt", "%d bytes long, must be 1 to %d", len(g.Prompt), MaxPromptBytes)
	}
	if !utf8.ValidString(g.Prompt) {
		f.add("prompt", "is not UTF-8")
	}
	if g.MaxTokens < 1 || g.MaxTokens > MaxTokens {
		f.add("maxTokens", "%d must be 1 to %d", g.MaxTokens, MaxTokens)
	}
	if g.DeadlineMS < 0 || g.DeadlineMS > MaxDeadlineMS {
		f.add("deadlineMs", "%d must be 0 to %d", g.DeadlineMS, MaxDeadlineMS)
	}
	return f.err()
}

// CallRequest is a caller's request to a plain service.
type CallRequest struct {
	RequestID string
	Workspace string
	Service   string
	Method    string
	Path      string
	Priority  int
	Header    map[string]string
	Body      []byte
	// Key makes the call idempotent: one from Dispatcher.MintKey, or the
	// caller's own. Empty means that the caller never repeats this call.
	Key string
	// First states that no earlier attempt with this key was made.
	First    bool
	Deadline time.Duration
}

// Validate reports all problems as one *InvalidError.
func (c *CallRequest) Validate() error {
	var f problemList
	f.checkName("workspace", c.Workspace, true)
	f.checkName("service", c.Service, true)
	f.checkName("requestId", c.RequestID, false)
	if len(c.Key) > maxKeyBytes {
		f.add("key", "%d bytes long, must be at most %d", len(c.Key), maxKeyBytes)
	}
	if strings.ContainsFunc(c.Key, func(r rune) bool { return r <= ' ' || r > '~' }) {
		f.add("key", "must be printable ASCII without spaces")
	}
	return f.err()
}

// InvalidError lists every invalid field of a request; it was not run.
type InvalidError struct {
	Problems []string
}

func (e *InvalidError) Error() string { return strings.Join(e.Problems, "; ") }

type problemList struct {
	problems []string
}

func (f *problemList) add(field, format string, args ...any) {
	f.problems = append(f.problems, field+": "+fmt.Sprintf(format, args...))
}

func (f *problemList) checkName(field, value string, needed bool) {
	if value == "" && needed {
		f.add(field, "is missing")
	}
	if len(value) > maxNameBytes {
		f.add(field, "%d bytes long, must be at most %d", len(value), maxNameBytes)
	}
	if strings.ContainsFunc(value, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		f.add(field, "has control characters")
	}
}

func (f *problemList) err() error {
	if len(f.problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: f.problems}
}
