package limiter

import (
	"fmt"
	"time"
)

// LimitedError reports a request beyond its workspace's limit.
type LimitedError struct {
	Workspace string
	// Limit is the field of the bundle that was exceeded, such as "concurrent".
	Limit string
	// RetryAfter is when the limit is likely to admit a request again.
	RetryAfter time.Duration
}

func (e *LimitedError) Error() string {
	return fmt.Sprintf("workspace %s is at its limit of %s; retry after %s", e.Workspace, e.Limit, e.RetryAfter)
}

// UnknownWorkspaceError reports a workspace that is missing in the bundle.
type UnknownWorkspaceError struct {
	Workspace string
}

func (e *UnknownWorkspaceError) Error() string {
	return fmt.Sprintf("no workspace %q in the bundle", e.Workspace)
}

// ShedError reports a request that could not be served in time, or that was
// displaced by one of a higher priority. It never ran.
type ShedError struct {
	// Reason is for the log line.
	Reason string
	// Wait is how long the request would have waited.
	Wait time.Duration
	// RetryAfter is when the backlog will have been processed.
	RetryAfter time.Duration
}

func (e *ShedError) Error() string {
	return fmt.Sprintf("shed (%s, wait of %s); retry after %s", e.Reason, e.Wait, e.RetryAfter)
}
