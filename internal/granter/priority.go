package granter

import (
	"fmt"
	"sync"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/scheduler"
)

// count counts the answer to a reservation with a priority.
func (g *Granter) count(q messenger.Reservation, v scheduler.Verdict) {
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

// tables finds entries that take priorities from an older route table than others. Each reservation counts as
// sent.
type tables struct {
	mu sync.Mutex
	// newest is the newest version seen, and logged the one for which a line was written.
	newest, logged uint64
}

// note writes a line on the first reservation by an older table than the newest known one.
func (t *tables) note(q messenger.Reservation) {
	if q.Priority == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.newest = max(t.newest, q.Table)
	if q.Table < t.newest && t.logged != t.newest {
		t.logged = t.newest
		klog.InfoS("Priorities from different route tables", "request", q.RequestID(), "table", q.Table, "newest", t.newest)
	}
}

// priorityFields are those of a line on a reservation with a priority.
func priorityFields(q messenger.Reservation, v scheduler.Verdict) []any {
	if q.Priority == nil {
		return nil
	}
	return []any{"priority", *q.Priority, "workspace", q.Workspace, "asked", q.Asked, "refusals", q.Refusals, "budget", q.Budget(), "kept", v.Kept}
}
