// Package deduplicator ensures that a call that may not be repeated runs at
// most once. An entry mints a key and binds it to one incarnation of one agent;
// only that incarnation may run it, so its memory alone is the ledger. A run requires no
// store access, its safety does not depend on clocks, and no key
// fails over. docs/ATMOSTONCE.md compares the alternatives.
package deduplicator

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Bounds of a key's text form.
const (
	// MaxKeyBytes is the maximum length of the text form of a key.
	MaxKeyBytes  = 1024
	maxNameBytes = 128
	keyPrefix    = "v1."
)

// Key identifies one call and the one agent incarnation that may run it.
type Key struct {
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	// Owner is the agent's ID, Incarnation that of its current start.
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation"`
	// Issued is when the entry minted the key, by the entry's clock.
	Issued time.Time `json:"issued"`
	// Nonce distinguishes keys that were issued at the same time.
	Nonce string `json:"nonce"`
}

// KeyError reports a text that is not a valid key.
type KeyError struct {
	Problem string
	Err     error
}

func (e *KeyError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("idempotency key: %s: %v", e.Problem, e.Err)
	}
	return "idempotency key: " + e.Problem
}

func (e *KeyError) Unwrap() error { return e.Err }

// String returns the text form: "v1." followed by the JSON in base64url.
func (k Key) String() string {
	k.Issued = k.Issued.UTC().Round(0)
	data, err := json.Marshal(k)
	if err != nil {
		return ""
	}
	return keyPrefix + base64.RawURLEncoding.EncodeToString(data)
}

// IsKey reports whether a text has the prefix of the system's keys; others are
// caller-provided keys.
func IsKey(text string) bool { return strings.HasPrefix(text, keyPrefix) }

// ParseKey parses the text form. Errors are *KeyError.
func ParseKey(text string) (Key, error) {
	if len(text) > MaxKeyBytes {
		return Key{}, &KeyError{Problem: fmt.Sprintf("%d bytes, over the limit of %d", len(text), MaxKeyBytes)}
	}
	rest, ok := strings.CutPrefix(text, keyPrefix)
	if !ok {
		return Key{}, &KeyError{Problem: "does not start with " + keyPrefix}
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(rest)
	if err != nil {
		return Key{}, &KeyError{Problem: "not base64url", Err: err}
	}
	var k Key
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&k); err != nil {
		return Key{}, &KeyError{Problem: "not JSON of a key", Err: err}
	}
	if err := k.Validate(); err != nil {
		return Key{}, err
	}
	// A call has exactly one text: a second spelling of a key would be a different
	// key to any code that compares texts.
	if k.String() != text {
		return Key{}, &KeyError{Problem: "not in the form in which keys are issued"}
	}
	return k, nil
}

// Validate checks that all fields are set and not too long.
func (k Key) Validate() error {
	parts := []struct{ name, value string }{
		{"workspace", k.Workspace},
		{"service", k.Service},
		{"owner", k.Owner},
		{"incarnation", k.Incarnation},
		{"nonce", k.Nonce},
	}
	for _, p := range parts {
		if p.value == "" || len(p.value) > maxNameBytes {
			return &KeyError{Problem: fmt.Sprintf("%s has %d bytes, want 1 to %d", p.name, len(p.value), maxNameBytes)}
		}
	}
	if k.Issued.IsZero() {
		return &KeyError{Problem: "no time of issue"}
	}
	if _, err := k.Issued.MarshalJSON(); err != nil {
		return &KeyError{Problem: "no time of issue", Err: err}
	}
	return nil
}
