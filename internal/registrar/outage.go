package registrar

import "time"

// triesApart is how far apart calls to the store, and their ends, may be for this process to
// count as awake all the while, and how long after the last word the first may come: a call
// that is not answered takes up to 1.9 s, the pause after it up to 1.5 s, and who goes by
// others turns to the store 1.5 to 2 s after their last word. It must be shorter than the
// three seconds after which the platform takes a store for steady again.
const triesApart = 2500 * time.Millisecond

// standstill is from how long a gap between two ticks on a process counts as one that stood
// still: five ticks, as a busy VM delays one or two.
const standstill = time.Second

// StoreAsked notes that a call to the store begins.
func (r *Registrar) StoreAsked() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wake()
}

// wake notes that this process runs and is busy with the store.
func (r *Registrar) wake() {
	now := r.ran()
	if now.Sub(r.lastAwake) > triesApart {
		r.awakeSince = now
		r.failedFrom, r.refutedFailures = time.Time{}, 0
	}
	r.lastAwake = now
}

// ran notes that this process runs, busy with the store or not, and gives the time.
func (r *Registrar) ran() time.Time {
	now := r.Clock.Now()
	if r.started.IsZero() {
		r.started = now
	}
	if !r.lastRan.IsZero() && now.Sub(r.lastRan) > triesApart {
		r.beforeStill = r.outageSeen()
		r.stoodStill = now
	}
	r.lastRan = now
	if !r.lastTick.IsZero() && now.Sub(r.lastTick) > standstill {
		r.pausedFrom, r.pausedTo = r.lastTick, now
		r.lastTick = now
	}
	return now
}

// lastConfirmed is until when this process can have missed no announcement: the store's last
// confirmation, or the end of an outage that others and all regions saw as well. Calls that fail
// here alone, or in some regions, show only that these are cut off, or that links are saturated,
// while the store takes announcements.
func (r *Registrar) lastConfirmed() time.Time {
	if r.refuted || r.cutAnswer.After(r.confirmed) || !r.othersOutage.After(r.answered) {
		return r.confirmed
	}
	if until := r.outageOfAllRegions(); until.After(r.confirmed) {
		return until
	}
	return r.confirmed
}

// outageSeen is until when this process can have missed no announcement by its own fault: the
// store's last confirmation, or the last failed call if all have failed since. Nobody could learn
// of an announcement during an outage; counted from before it, the time of all stale versions
// would be over when the store returns, and callers would be refused until new ones are loaded. A
// process that was suspended, or waited for unresponsive peers, may only have missed the
// announcement. It shows by a gap between its calls, or by a first one long after the last
// confirmation.
//
// Others' failed calls count as well. A process that starts in an outage has its last confirmation
// from others and no calls of its own before; taken for a suspended one, it would have all others
// count from before the outage. And its own last failed call may be a second old when the store
// returns, others' are not. They prove nothing for a time in which this process may have been
// suspended, even if its first call after that fails, as an outstanding one does: the store may
// have answered all but those who are cut off themselves.
func (r *Registrar) outageSeen() time.Time {
	switch {
	case !r.outage.After(r.answered):
		return r.confirmed
	case r.stoodStill.After(r.confirmed):
		return r.wordBeforeStill()
	}
	covered := r.confirmed
	if others := earlier(r.othersOutage, r.lastAwake); others.After(covered) {
		covered = others
	}
	switch {
	case r.awakeSince.Sub(later(r.answered, r.started)) > triesApart:
		// A process that reports failed calls may be cut off alone, and this one didn't call the store in that time.
		return r.confirmed
	case r.awakeSince.Sub(covered) > triesApart:
		return r.confirmed
	case covered.After(r.outage) && !r.awakeSince.After(r.outage):
		return covered
	default:
		return r.outage
	}
}

// wordBeforeStill is the last word of a process that has stood still since the store's.
func (r *Registrar) wordBeforeStill() time.Time {
	if r.outage.Before(r.stoodStill) && r.beforeStill.After(r.confirmed) {
		return r.beforeStill
	}
	return r.confirmed
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// StoreLost notes that the store could not be reached just now. A call during which this
// process stood still fails as its time is over, and shows nothing of the store since then.
func (r *Registrar) StoreLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	asked := r.lastAwake
	r.wake()
	if r.failedFrom.IsZero() {
		r.failedFrom = r.lastAwake
	}
	switch {
	case !r.pausedTo.After(asked):
		r.outage = r.lastAwake
	case r.pausedFrom.After(r.outage):
		r.outage = r.pausedFrom
	}
	r.noteLongOutage(r.outage)
	r.lost = true
	r.change.NotifyAll()
}

// StoreFound notes that the store answered.
func (r *Registrar) StoreFound() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = false
	r.failedFrom, r.refutedFailures = time.Time{}, 0
}

// noteAnswerToOthers notes that the store answered another process, at the earliest at the given time.
func (r *Registrar) noteAnswerToOthers(at time.Time) {
	if r.failedFrom.IsZero() || !at.After(r.failedFrom) {
		return
	}
	r.failedFrom = time.Time{}
	r.refutedFailures++
}

// isCutOffAlone tells whether the store answers others while it doesn't answer this process. Its failed calls show no
// outage then, of which one that hears of them might be convinced by a single failed call of its own. A store that
// returns briefly may do the same once, and one that returns repeatedly more often; nobody has an answer after that.
func (r *Registrar) isCutOffAlone() bool {
	return r.refutedFailures > 1 && r.outage.Sub(r.answered) <= triesApart
}

// Lost tells whether the store could not be reached when it was last asked.
func (r *Registrar) Lost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost
}
