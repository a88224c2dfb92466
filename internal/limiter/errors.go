package limiter

import (
	"fmt"
	"time"
)

// LimitedError refuses a request that is over its workspace's limit.
type LimitedError struct {
	Workspace string
	// Limit is the field of the bundle that was reached, such as "concurrent".
	Limit string
	// RetryAfter is when the limit is likely to have room again.
	RetryAfter time.Duration
}

func (e *LimitedError) Error() string {
	return fmt.Sprintf("workspace %s is at its limit of %s; retry after %s", e.Workspace, e.Limit, e.RetryAfter)
}

// UnknownWorkspaceError refuses a workspace that the bundle does not name.
type UnknownWorkspaceError struct {
	Workspace string
}

func (e *UnknownWorkspaceError) Error() string {
	return fmt.Sprintf("no workspace %q in the bundle", e.Workspace)
}

// ShedError refuses a request that could not be served in time, or whose place
// went to one of a higher priority. It never ran.
type ShedError struct {
	// Reason is for the log line.
	Reason string
	// Wait is how long the request would have waited.
	Wait time.Duration
	// RetryAfter is when the backlog will have been worked off.
	RetryAfter time.Duration
}

func (e *ShedError) Error() string {
	return fmt.Sprintf("shed (%s, wait of %s); retry after %s", e.Reason, e.Wait, e.RetryAfter)
}
