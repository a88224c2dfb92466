// Package observer keeps the statements that upstreams make in their replies, and derives from them
// which requests a process may send.
package observer

import (
	"fmt"
	"strings"
	"time"
)

// Statement is a statement of an upstream about itself in a reply. Its text is for the log.
type Statement interface {
	fmt.Stringer
	statement()
}

// Statements are those of one reply.
type Statements []Statement

// String joins the statements with commas.
func (s Statements) String() string {
	var texts []string
	for _, statement := range s {
		texts = append(texts, statement.String())
	}
	return strings.Join(texts, ", ")
}

// RateLimit states that the upstream accepts no more than PerSecond requests a second from all
// entries together. It ends with the first reply that leaves it out.
type RateLimit struct{ PerSecond float64 }

// Backoff asks the process that got the reply to send no requests for a time.
type Backoff struct{ For time.Duration }

// Leaving states that the upstream is about to shut down.
type Leaving struct{}

// Invalid is a statement with an invalid value. It has no effect.
type Invalid struct{ Header, Value string }

// String implements fmt.Stringer.
func (s RateLimit) String() string { return fmt.Sprintf("limit %v/s", s.PerSecond) }

// String implements fmt.Stringer.
func (s Backoff) String() string { return fmt.Sprintf("rest %v", s.For) }

// String implements fmt.Stringer.
func (Leaving) String() string { return "leaving" }

// String implements fmt.Stringer.
func (s Invalid) String() string { return fmt.Sprintf("invalid %s %q", s.Header, s.Value) }

func (RateLimit) statement() {}
func (Backoff) statement()   {}
func (Leaving) statement()   {}
func (Invalid) statement()   {}
