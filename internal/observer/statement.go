// Package observer keeps what upstreams state of themselves in their replies, and tells what a
// process may send them.
package observer

import (
	"fmt"
	"strings"
	"time"
)

// Statement is something that an upstream states of itself in a reply. Its text is for the log.
type Statement interface {
	fmt.Stringer
	statement()
}

// Statements are those of one reply.
type Statements []Statement

// String lists them.
func (s Statements) String() string {
	var texts []string
	for _, one := range s {
		texts = append(texts, one.String())
	}
	return strings.Join(texts, ", ")
}

// RateLimit states that the upstream takes no more than PerSecond requests a second from all
// entries together. It is over with the first reply that leaves it out.
type RateLimit struct{ PerSecond float64 }

// Rest asks the process that got the reply to send nothing for a time.
type Rest struct{ For time.Duration }

// Leaving states that the upstream is about to end.
type Leaving struct{}

// Invalid is a statement whose value makes no sense. It binds nobody.
type Invalid struct{ Header, Value string }

// String implements fmt.Stringer.
func (s RateLimit) String() string { return fmt.Sprintf("limit %v/s", s.PerSecond) }

// String implements fmt.Stringer.
func (s Rest) String() string { return fmt.Sprintf("rest %v", s.For) }

// String implements fmt.Stringer.
func (Leaving) String() string { return "leaving" }

// String implements fmt.Stringer.
func (s Invalid) String() string { return fmt.Sprintf("invalid %s %q", s.Header, s.Value) }

func (RateLimit) statement() {}
func (Rest) statement()      {}
func (Leaving) statement()   {}
func (Invalid) statement()   {}
