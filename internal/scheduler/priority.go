package scheduler

import (
	"time"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
)

// Reasons why a job gets none of the free slots.
const (
	// KeptForUrgent slots are those that more urgent jobs are expected to need.
	KeptForUrgent = "kept for more urgent requests"
	// KeptForWorkspaces slots are kept for workspaces that have less than their share.
	KeptForWorkspaces = "kept for other workspaces"
)

const (
	// demandWindow is the period over which demand is measured, and for which a shortage counts after a job
	// found no slot. Kept slots have to be released within half a second.
	demandWindow = 400 * time.Millisecond
	// demandBuckets divide the window: counts older than it are dropped one bucket at a time.
	demandBuckets = 8
	// shortageRefusals is how many engines without a slot a job encounters in a shortage of the pool. After one
	// refusal only, the entry may have relied on outdated state.
	shortageRefusals = 2
	// mixedPriorityWindow is how long an engine counts as shared by priorities after jobs of two of them.
	mixedPriorityWindow = 10 * time.Second
	// maxQueuedUrgent is how many jobs beyond the batch may be granted a slot to wait for at the engine.
	maxQueuedUrgent = 1
	// priorityCount is the number of priorities.
	priorityCount = matcher.LeastUrgent + 1
)

// priorityLevel is the job's priority, with the default if none is stated.
func (j *Job) priorityLevel() int {
	if j.Priority == nil {
		return matcher.UnstatedPriority
	}
	return min(max(*j.Priority, matcher.MostUrgent), matcher.LeastUrgent)
}

// trunkReservation keeps slots for more urgent jobs, as trunk reservation does in telephone networks. It
// measures the demand of each priority and detects shortages from the reservations of one engine. It is
// inactive until the first job with a priority.
type trunkReservation struct {
	active bool
	levels [priorityCount]levelDemand
}

// levelDemand is the demand of one priority at an engine.
type levelDemand struct {
	arrivals slidingCount
	// askedAt is when a job last arrived, and shortAt when one last found no slot.
	askedAt, shortAt time.Time
	// budgets are the smallest queueing budgets stated in the current and in the previous half of the window,
	// of which the current one started at budgetsSince; 0 for none.
	budgets      [2]time.Duration
	budgetsSince time.Time
	workspaces   map[string]*workspaceDemand
}

// workspaceDemand is when a workspace's jobs last arrived, and last found no slot.
type workspaceDemand struct{ askedAt, missedAt time.Time }

// recordArrival counts a job. Late jobs are no demand: they get only spare slots.
func (t *trunkReservation) recordArrival(j *Job, now time.Time) {
	t.active = t.active || j.Priority != nil
	if !t.active || j.Spare {
		return
	}
	d := &t.levels[j.priorityLevel()]
	d.askedAt = now
	if j.Asked == 0 {
		// A request is counted only at the first engine it asks, so that it counts once among all engines.
		d.arrivals.increment(now)
	}
	if j.Refusals >= shortageRefusals {
		d.shortAt = now
	}
	d.recordBudget(j.queueBudget(), now)
	d.workspaceDemand(j.Workspace, now).askedAt = now
}

// recordRefusal records that a job found no slot.
func (t *trunkReservation) recordRefusal(j *Job, now time.Time) {
	if !t.active || j.Spare {
		return
	}
	d := &t.levels[j.priorityLevel()]
	d.shortAt = now
	d.workspaceDemand(j.Workspace, now).missedAt = now
}

// queueBudget is how long the job may wait at any engine.
func (j *Job) queueBudget() time.Duration { return max(j.Budget, j.Patience) }

func (d *levelDemand) recordBudget(budget time.Duration, now time.Time) {
	switch age := now.Sub(d.budgetsSince); {
	case age >= demandWindow:
		d.budgets, d.budgetsSince = [2]time.Duration{}, now
	case age >= demandWindow/2:
		d.budgets, d.budgetsSince = [2]time.Duration{0, d.budgets[0]}, now
	}
	if d.budgets[0] == 0 || budget < d.budgets[0] {
		d.budgets[0] = budget
	}
}

// leastBudget is the smallest budget stated recently; 0 for none.
func (d *levelDemand) leastBudget(now time.Time) time.Duration {
	if now.Sub(d.budgetsSince) >= demandWindow {
		return 0
	}
	if d.budgets[0] == 0 || d.budgets[1] > 0 && d.budgets[1] < d.budgets[0] {
		return d.budgets[1]
	}
	return d.budgets[0]
}

// workspaceDemand returns the demand of one workspace, and drops those of workspaces without recent jobs.
func (d *levelDemand) workspaceDemand(name string, now time.Time) *workspaceDemand {
	if w := d.workspaces[name]; w != nil {
		return w
	}
	for other, w := range d.workspaces {
		if now.Sub(w.askedAt) >= demandWindow {
			delete(d.workspaces, other)
		}
	}
	if d.workspaces == nil {
		d.workspaces = map[string]*workspaceDemand{}
	}
	w := &workspaceDemand{}
	d.workspaces[name] = w
	return w
}

func (d *levelDemand) inShortage(now time.Time) bool { return inDemandWindow(d.shortAt, now) }

func inDemandWindow(t, now time.Time) bool { return !t.IsZero() && now.Sub(t) < demandWindow }

// urgentDemand is the recent demand of jobs more urgent than a level: their rate per second, the smallest
// budget that they stated, 0 for none, and whether one of them found no slot.
func (t *trunkReservation) urgentDemand(level int, now time.Time) (perSecond float64, budget time.Duration, short bool) {
	for i := range t.levels[:level] {
		d := &t.levels[i]
		perSecond += d.arrivals.rate(now)
		if b := d.leastBudget(now); b > 0 && (budget == 0 || b < budget) {
			budget = b
		}
		short = short || d.inShortage(now)
	}
	return perSecond, budget, short
}

// mixed reports whether jobs of more than one priority arrived recently.
func (t *trunkReservation) mixed(now time.Time) bool {
	n := 0
	for i := range t.levels {
		if d := &t.levels[i]; !d.askedAt.IsZero() && now.Sub(d.askedAt) < mixedPriorityWindow {
			n++
		}
	}
	return n > 1
}

// keptReason is why a job that could be granted gets none of the free slots; empty if it does.
func (l *Ledger) keptReason(j *Job, v *Decision, now time.Time) string {
	if !l.trunk.active {
		return ""
	}
	if !l.Without.Has(ablator.PriorityReservation) && l.keptForUrgent(j, v, now) {
		return KeptForUrgent
	}
	if !l.Without.Has(ablator.WorkspaceShare) && l.keptForWorkspaces(j, v, now) {
		return KeptForWorkspaces
	}
	return ""
}

// keptForUrgent reports whether more urgent jobs are expected to need the slot, or the reading time that the
// job takes, before the next slot comes free.
func (l *Ledger) keptForUrgent(j *Job, v *Decision, now time.Time) bool {
	perSecond, budget, short := l.trunk.urgentDemand(j.priorityLevel(), now)
	if !short {
		return false
	}
	expected := perSecond * l.atCurrentPace(SlotTurnaround(l.engine)).Seconds()
	// A position in the engine's queue counts as a free slot, for jobs that may wait there.
	if free := max(maxQueuedUrgent, l.engine.Slots-v.Active); float64(free) <= expected {
		return true
	}
	return budget > 0 && v.Wait+l.readDelay(*j) > budget
}

// keptForWorkspaces reports whether a job of a workspace beyond its share would take the last free slot from
// another workspace of the same priority that recently found none.
func (l *Ledger) keptForWorkspaces(j *Job, v *Decision, now time.Time) bool {
	d := &l.trunk.levels[j.priorityLevel()]
	if j.Spare || v.Active != l.engine.Slots-1 || !d.inShortage(now) || !l.trunk.mixed(now) {
		return false
	}
	held, all := map[string]int{}, 0
	for _, r := range l.reservations {
		if r.priorityLevel() == j.priorityLevel() {
			held[r.Workspace]++
			all++
		}
	}
	asking := 0
	for _, w := range d.workspaces {
		if inDemandWindow(w.askedAt, now) {
			asking++
		}
	}
	if asking < 2 || held[j.Workspace]*asking <= all {
		return false
	}
	for name, w := range d.workspaces {
		if name != j.Workspace && inDemandWindow(w.missedAt, now) && held[name]*asking < all {
			return true
		}
	}
	return false
}

// queueWait is how long a job that finds all slots taken would wait for one at the engine, which admits more
// urgent requests first; false if it may not wait.
func (l *Ledger) queueWait(j *Job, v *Decision) (time.Duration, bool) {
	if !l.trunk.active || j.Spare || l.Without.Has(ablator.UrgentQueue) || v.Active < l.engine.Slots || v.Active >= l.engine.Slots+maxQueuedUrgent {
		return 0, false
	}
	wait := max(v.Wait, l.atCurrentPace(SlotTurnaround(l.engine)))
	if wait > j.Patience {
		return 0, false
	}
	for _, r := range l.reservations {
		if r.priorityLevel() > j.priorityLevel() {
			return wait, true
		}
	}
	return 0, false
}

// slidingCount counts events of the last demandWindow.
type slidingCount struct {
	counts [demandBuckets]int
	// newest is the bucket number of the newest count.
	newest int64
}

const demandBucket = demandWindow / demandBuckets

// advance drops the counts that are older than the window.
func (w *slidingCount) advance(now time.Time) {
	bucket := now.UnixNano() / int64(demandBucket)
	if bucket-w.newest >= demandBuckets {
		w.counts = [demandBuckets]int{}
	} else {
		for b := w.newest + 1; b <= bucket; b++ {
			w.counts[b%demandBuckets] = 0
		}
	}
	w.newest = max(w.newest, bucket)
}

func (w *slidingCount) increment(now time.Time) {
	w.advance(now)
	w.counts[w.newest%demandBuckets]++
}

// rate is in events per second.
func (w *slidingCount) rate(now time.Time) float64 {
	w.advance(now)
	n := 0
	for _, c := range w.counts {
		n += c
	}
	return float64(n) / demandWindow.Seconds()
}
