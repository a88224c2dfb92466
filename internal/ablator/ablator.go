// Package ablator names the mechanisms of the deciding code that an experiment may switch off,
// to measure the contribution of each. Daemons run with all of them.
package ablator

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is a part of the deciding code that can be switched off.
type Mechanism string

// The mechanisms.
const (
	// SlotLimit has an agent grant no more slots than its engine's batch holds.
	SlotLimit Mechanism = "slotLimit"
	// QueueingBudget has an agent reject requests whose prompt would be read too late.
	QueueingBudget Mechanism = "queueingBudget"
	// EqualBudgets has all kinds of request queue for equally long under contention.
	EqualBudgets Mechanism = "equalBudgets"
	// LateShare limits requests that are late already to a part of the slots.
	LateShare Mechanism = "lateShare"
	// ColdLimit bounds the requests to a cold engine.
	ColdLimit Mechanism = "coldLimit"
	// Locality prefers near engines.
	Locality Mechanism = "locality"
	// LoadFeedback ranks engines by the load that their agents last reported.
	LoadFeedback Mechanism = "loadFeedback"
	// TieBreaking ranks engines that look alike at random.
	TieBreaking Mechanism = "tieBreaking"
	// FailureEjection ranks engines behind others after failed attempts.
	FailureEjection Mechanism = "failureEjection"
	// FullBackoff delays the next reservation at an engine that had no slot.
	FullBackoff Mechanism = "fullBackoff"
	// UnresponsiveBackoff delays the next reservation at an agent after a timeout.
	UnresponsiveBackoff Mechanism = "unresponsiveBackoff"
	// UngrantedSends uses engines whose agents are unresponsive within a quota.
	UngrantedSends Mechanism = "ungrantedSends"
	// AdmissionWait looks for a slot for a part of the objective before it refuses.
	AdmissionWait Mechanism = "admissionWait"
	// LateWait has late requests of callers that came back wait for a slot while such waits succeed.
	LateWait Mechanism = "lateWait"
	// UpstreamTerms applies the restrictions that upstreams state in their replies.
	UpstreamTerms Mechanism = "upstreamTerms"
	// PromptBlame refuses prompts with a part that crashes engines.
	PromptBlame Mechanism = "promptBlame"
	// SlowStart limits the requests to an upstream that has just started or recovered.
	SlowStart Mechanism = "slowStart"
	// RetryJitter spreads the Retry-After of callers that are refused together.
	RetryJitter Mechanism = "retryJitter"
	// RetryBudget bounds retries to a share of first attempts.
	RetryBudget Mechanism = "retryBudget"
	// PriorityReservation keeps slots for more urgent requests during a shortage.
	PriorityReservation Mechanism = "priorityReservation"
	// UrgentQueue has more urgent requests wait for a slot at an engine, beyond its batch.
	UrgentQueue Mechanism = "urgentQueue"
	// WorkspaceShare keeps the last free slot from a workspace that holds more than its share.
	WorkspaceShare Mechanism = "workspaceShare"
	// PriorityBudgets has the most urgent requests queue for as long as their own objective allows.
	PriorityBudgets Mechanism = "priorityBudgets"
	// PriorityRetry gives more urgent requests an earlier retry time.
	PriorityRetry Mechanism = "priorityRetry"
	// PaceFeedback predicts and ranks by the momentary pace that upstreams state in their replies, and ranks engines by
	// the pace that they report.
	PaceFeedback Mechanism = "paceFeedback"
	// DeadlineAdmission doesn't start streams that could not end within the time their callers have left.
	DeadlineAdmission Mechanism = "deadlineAdmission"
	// PauseLimit grants no slot at an engine of uneven pace to a prompt whose reading would pause the engine's streams
	// for too long.
	PauseLimit Mechanism = "pauseLimit"
	// StreamMove moves a running stream whose predicted end is past its caller's deadline to another engine.
	StreamMove Mechanism = "streamMove"
)

// All lists the mechanisms.
func All() []Mechanism {
	return []Mechanism{
		SlotLimit, QueueingBudget, EqualBudgets, LateShare, ColdLimit, Locality, LoadFeedback, TieBreaking, FailureEjection, FullBackoff,
		UnresponsiveBackoff, UngrantedSends, AdmissionWait, LateWait, UpstreamTerms, PromptBlame, SlowStart, RetryJitter, RetryBudget,
		PriorityReservation, UrgentQueue, WorkspaceShare, PriorityBudgets, PriorityRetry,
		PaceFeedback, DeadlineAdmission, PauseLimit, StreamMove,
	}
}

// UnknownError reports a name that belongs to no mechanism.
type UnknownError struct{ Name string }

func (e *UnknownError) Error() string {
	var known []string
	for _, m := range All() {
		known = append(known, string(m))
	}
	return fmt.Sprintf("unknown mechanism %q, known are %s", e.Name, strings.Join(known, ", "))
}

// Parse returns the mechanism of a name. Its error is a *UnknownError.
func Parse(name string) (Mechanism, error) {
	m := Mechanism(name)
	if !slices.Contains(All(), m) {
		return "", &UnknownError{Name: name}
	}
	return m, nil
}

// Set holds the mechanisms that are switched off; nil for none.
type Set []Mechanism

// Has reports whether a mechanism is switched off.
func (s Set) Has(m Mechanism) bool { return slices.Contains(s, m) }
