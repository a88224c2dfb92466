package granter

import (
	"fmt"
	"sync"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// countOutcome counts the answer to a reservation with a priority.
func (g *Granter) countOutcome(q messenger.Reservation, v scheduler.Decision) {
	if q.Priority == nil || g.Metrics == nil {
		return
	}
	outcome := "full"
	switch {
	case v.Granted && v.Active > v.Slots:
		outcome = "queued"
	case v.Granted:
		outcome = "granted"
	case v.Kept != "":
		outcome = "kept"
	case v.Closed != "":
		outcome = "closed"
	}
	metrics.GetOrRegisterCounter(fmt.Sprintf("priority.%d.%s", *q.Priority, outcome), g.Metrics).Inc(1)
}

// tableVersions detects entries that take priorities from an older route table than others. Each reservation
// counts as sent.
type tableVersions struct {
	mu sync.Mutex
	// newest is the newest version seen, and loggedFor the one for which a line was logged.
	newest, loggedFor uint64
}

// record logs the first reservation by an older table than the newest known one.
func (t *tableVersions) record(q messenger.Reservation) {
	if q.Priority == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.newest = max(t.newest, q.Table)
	if q.Table < t.newest && t.loggedFor != t.newest {
		t.loggedFor = t.newest
		klog.InfoS("Priorities from different route tables", "request", q.RequestID(), "table", q.Table, "newest", t.newest)
	}
}

// priorityFields returns the log fields of a reservation with a priority.
func priorityFields(q messenger.Reservation, v scheduler.Decision) []any {
	if q.Priority == nil {
		return nil
	}
	return []any{"priority", *q.Priority, "workspace", q.Workspace, "asked", q.Asked, "refusals", q.Refusals, "budget", q.Budget(), "kept", v.Kept}
}
