package relayer

import "time"

// The times from the start of a process until it knows the route table, as restarts of all processes show them.
const (
	shortestStart = 700 * time.Millisecond
	usualStart    = time.Second
	longestStart  = 2400 * time.Millisecond
	// leastStartRetry is the least time to come back to an entry that knows no route table yet.
	leastStartRetry = 300 * time.Millisecond
)

// startRetry is the time to come back to an entry that knows no route table so long after its start. A fixed 0.3 s had
// most callers come back, with the one retry that they make, before the entry knew its table. A start that has lasted
// longer than the shortest is taken for a slow one. RetryAfter adds up to as much again: callers come back from the
// usual end of the start on, or in the second half of what is left of the longest.
func startRetry(lasted time.Duration) time.Duration {
	rest := usualStart - lasted
	if lasted >= shortestStart {
		rest = (longestStart - lasted) / 2
	}
	return max(rest, leastStartRetry)
}
