package relayer

import "time"

// Times from the start of a process until it has the route table, as seen in restarts of all
// processes.
const (
	minStartup   = 700 * time.Millisecond
	usualStartup = time.Second
	maxStartup   = 2400 * time.Millisecond
	// minStartupRetry is the least time to come back to an entry without a route table.
	minStartupRetry = 300 * time.Millisecond
)

// startupRetryAfter is the time to come back to an entry that has no route table yet at this time
// after its start. With a fixed 0.3 s, most callers spent the only retry they make before the entry
// had its table. A start longer than the shortest is taken for a slow one. RetryAfter adds up to as
// much again: callers come back after the usual end of the start, or in the second half of what is
// left of the longest.
func startupRetryAfter(sinceStart time.Duration) time.Duration {
	remaining := usualStartup - sinceStart
	if sinceStart >= minStartup {
		remaining = (maxStartup - sinceStart) / 2
	}
	return max(remaining, minStartupRetry)
}
