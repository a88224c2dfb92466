// Package observer keeps what upstreams state of themselves in their replies, and tells what a
// process may send them.
package observer

import "time"

// Statement is something that an upstream states of itself in a reply.
type Statement interface{ statement() }

// RateLimit states that the upstream takes no more than PerSecond requests a second from all
// entries together. It is over with the first reply that leaves it out.
type RateLimit struct{ PerSecond float64 }

// Rest asks the process that got the reply to send nothing for a time.
type Rest struct{ For time.Duration }

// Leaving states that the upstream is about to end.
type Leaving struct{}

// Invalid is a statement whose value makes no sense. It binds nobody.
type Invalid struct{ Header, Value string }

func (RateLimit) statement() {}
func (Rest) statement()      {}
func (Leaving) statement()   {}
func (Invalid) statement()   {}
