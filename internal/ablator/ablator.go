// Package ablator names the mechanisms of the deciding code that an experiment may switch off,
// to measure what each contributes. Daemons run with all of them.
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
	// LateShare leaves requests that are late already a part of the slots only.
	LateShare Mechanism = "lateShare"
	// ColdLimit bounds what a cold engine gets.
	ColdLimit Mechanism = "coldLimit"
	// Locality prefers near engines.
	Locality Mechanism = "locality"
	// LoadFeedback ranks engines by the load that their agents last reported.
	LoadFeedback Mechanism = "loadFeedback"
	// TieBreaking ranks engines that look alike at random.
	TieBreaking Mechanism = "tieBreaking"
	// FailureEjection ranks engines behind others after failed attempts.
	FailureEjection Mechanism = "failureEjection"
	// FullBackoff doesn't ask an engine again right after it had no slot.
	FullBackoff Mechanism = "fullBackoff"
	// UnresponsiveBackoff doesn't ask an agent again right after a timeout.
	UnresponsiveBackoff Mechanism = "unresponsiveBackoff"
	// UngrantedSends uses engines whose agents are unresponsive within a quota.
	UngrantedSends Mechanism = "ungrantedSends"
	// AdmissionWait looks for a slot for a part of the objective before it refuses.
	AdmissionWait Mechanism = "admissionWait"
	// LateWait has late requests of callers that came back wait for a slot while such waits get one.
	LateWait Mechanism = "lateWait"
	// UpstreamTerms keeps to what upstreams state of themselves in their replies.
	UpstreamTerms Mechanism = "upstreamTerms"
	// PromptBlame refuses prompts with a part that crashes engines.
	PromptBlame Mechanism = "promptBlame"
	// SlowStart limits what an upstream gets that has just started or recovered.
	SlowStart Mechanism = "slowStart"
	// RetryJitter spreads the Retry-After of callers that are refused together.
	RetryJitter Mechanism = "retryJitter"
	// RetryBudget bounds retries to a share of first attempts.
	RetryBudget Mechanism = "retryBudget"
)

// All lists the mechanisms.
func All() []Mechanism {
	return []Mechanism{
		SlotLimit, QueueingBudget, EqualBudgets, LateShare, ColdLimit, Locality, LoadFeedback, TieBreaking, FailureEjection, FullBackoff,
		UnresponsiveBackoff, UngrantedSends, AdmissionWait, LateWait, UpstreamTerms, PromptBlame, SlowStart, RetryJitter, RetryBudget,
	}
}

// UnknownError reports a name that is no mechanism's.
type UnknownError struct{ Name string }

func (e *UnknownError) Error() string {
	var known []string
	for _, m := range All() {
		known = append(known, string(m))
	}
	return fmt.Sprintf("unknown mechanism %q, known are %s", e.Name, strings.Join(known, ", "))
}

// Parse gives the mechanism of a name. Its error is a *UnknownError.
func Parse(name string) (Mechanism, error) {
	m := Mechanism(name)
	if !slices.Contains(All(), m) {
		return "", &UnknownError{Name: name}
	}
	return m, nil
}

// Set holds the mechanisms that are switched off; nil for none.
type Set []Mechanism

// Has tells whether a mechanism is switched off.
func (s Set) Has(m Mechanism) bool { return slices.Contains(s, m) }
