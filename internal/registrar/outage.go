package registrar

import "time"

// maxCallGap is the longest gap between calls to the store, and between their ends, over which this
// process counts as running, and the longest delay of the first call after the last update: a call
// without an answer takes up to 1.9 s, the pause after it up to 1.5 s, and a process that follows
// peers calls the store 1.5 to 2 s after their last update. It must be shorter than the three
// seconds after which the platform considers a store steady again.
const maxCallGap = 2500 * time.Millisecond

const (
	// minInferredOutage is the shortest outage that is inferred: calls behind saturated links and of busy processes fail
	// in all regions at once for a shorter time.
	minInferredOutage = 3 * time.Second
	// minDatingOutage is how far an inferred outage must extend the store's last confirmation to date an announcement. It
	// is longer, as what confirms weights ends soon while an announcement keeps its date, and as the calls that show a loss
	// begin before it and end after it.
	minDatingOutage = 4 * time.Second
	// maxInferredOutage is the longest time by which an inferred outage extends the store's last confirmation.
	maxInferredOutage = 10 * time.Second
)

// minPause is the shortest gap between two ticks that counts as a suspension of the process: five
// ticks, as a busy VM delays one or two.
const minPause = time.Second

// StoreCallStarted records that a call to the store starts.
func (r *Registrar) StoreCallStarted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordStoreCall()
	r.confirm()
}

// recordStoreCall records that this process is running and calls the store.
func (r *Registrar) recordStoreCall() {
	now := r.recordActivity()
	if now.Sub(r.lastStoreCall) > maxCallGap {
		r.observedBeforeGap = outageSpan{since: r.lastAnswer(), until: r.locallyConfirmedUntil()}
		r.callingSince = now
	}
	r.lastStoreCall = now
}

// recordActivity records that this process is running, calling the store or not, and returns the time.
func (r *Registrar) recordActivity() time.Time {
	now := r.Clock.Now()
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	if !r.lastActive.IsZero() && now.Sub(r.lastActive) > maxCallGap {
		r.confirmedBeforePause = r.locallyConfirmedUntil()
		r.resumedAt = now
	}
	r.lastActive = now
	if !r.lastTick.IsZero() && now.Sub(r.lastTick) > minPause {
		r.pauseStart, r.pauseEnd = r.lastTick, now
		r.lastTick = now
	}
	return now
}

// confirmedUntil returns the time until which this process takes it that nothing was announced: the store's last
// confirmation, or the end of an outage that others and all regions observed as well, up to maxInferredOutage later.
// Calls that fail only here, or only in some regions, may be due to a partition or saturated links, while the store
// accepts announcements. Those that fail everywhere may do so while it serves the operators alone, so it ends.
func (r *Registrar) confirmedUntil() time.Time {
	until := r.extendedConfirmation()
	if r.outageRefuted || r.partialAnswerAt.After(until) {
		return until
	}
	return later(until, r.inferredOutageEnd())
}

// inferredOutageEnd returns the end of the outage that others and all regions observed as well as this process, up to
// maxInferredOutage after the store's last confirmation; zero if there is none.
func (r *Registrar) inferredOutageEnd() time.Time {
	end := r.allRegionsOutageEnd()
	if !r.peerOutageUntil.After(r.lastAnswer()) || end.Sub(r.lastAnswer()) < minInferredOutage {
		return time.Time{}
	}
	return r.extend(end)
}

// datesSince returns the earliest time from which an announcement that is received now may count: the store's last
// confirmation, or the end of an inferred outage that is long enough.
func (r *Registrar) datesSince() time.Time {
	confirmed, until := r.weightsConfirmation(), r.confirmedUntil()
	if until.Sub(confirmed) < minDatingOutage {
		return confirmed
	}
	return until
}

// extendedConfirmation returns the store's last confirmation, or the end of an inferred outage that an answer has ended
// since then.
func (r *Registrar) extendedConfirmation() time.Time {
	confirmed := r.weightsConfirmation()
	if r.inferredUntil.Sub(confirmed) < minInferredOutage {
		// An answer to a call made in the outage may have been given before its inferred end.
		return confirmed
	}
	return r.extend(r.inferredUntil)
}

// extend returns the store's last confirmation, extended until a time, by maxInferredOutage at most.
func (r *Registrar) extend(until time.Time) time.Time {
	confirmed := r.weightsConfirmation()
	return later(confirmed, earlier(until, confirmed.Add(maxInferredOutage)))
}

// weightsConfirmation returns the time of the store's last confirmation that no newer weights were announced.
func (r *Registrar) weightsConfirmation() time.Time {
	return later(r.confirmedAt, r.weightsConfirmedAt)
}

// lastAnswer returns the latest possible time of the store's last answer on weights.
func (r *Registrar) lastAnswer() time.Time { return later(r.answeredAt, r.weightsAnsweredAt) }

// locallyConfirmedUntil returns the time until which this process can have missed no announcement
// by its own fault: the store's last confirmation, or the last failed call if all have failed
// since. No process can receive an announcement during an outage; if it counted from before it, the
// time limit of all stale versions would be over when the store recovers, and callers would be
// refused until new ones are loaded. A process that was suspended, or waited for unresponsive
// peers, may have missed one that others received. A gap between its calls, or a first one long
// after the last confirmation, shows that.
//
// Others' failed calls count as well. A process that starts in an outage has its last confirmation
// from others and no earlier calls of its own; if it counted as suspended, it would make all others
// count from before the outage. Its own last failed call may also be a second old when the store
// recovers, unlike others'. Others' calls prove nothing for a time in which this process may have
// been suspended, even if its first call after that fails, as an outstanding one does: the store
// may have answered all but the partitioned processes.
func (r *Registrar) locallyConfirmedUntil() time.Time {
	confirmed := r.extendedConfirmation()
	switch {
	case !r.unreachableAt.After(r.lastAnswer()):
		return confirmed
	case r.resumedAt.After(confirmed):
		return r.confirmedUntilBeforePause()
	}
	covered := confirmed
	if others := earlier(r.peerOutageUntil, r.lastStoreCall); others.After(covered) {
		covered = others
	}
	switch {
	case r.callingSince.Sub(later(r.lastAnswer(), r.startedAt)) > maxCallGap:
		// A process that reports failed calls may be partitioned, and this one didn't call the store in that time.
		return r.confirmedUntilBeforeGap()
	case r.callingSince.Sub(covered) > maxCallGap:
		return r.confirmedUntilBeforeGap()
	case covered.After(r.unreachableAt) && !r.callingSince.After(r.unreachableAt):
		return covered
	default:
		return r.unreachableAt
	}
}

// confirmedUntilBeforePause is locallyConfirmedUntil for a process suspended since the last confirmation.
func (r *Registrar) confirmedUntilBeforePause() time.Time {
	confirmed := r.extendedConfirmation()
	if r.unreachableAt.Before(r.resumedAt) && r.confirmedBeforePause.After(confirmed) {
		return r.confirmedBeforePause
	}
	return confirmed
}

// confirmedUntilBeforeGap is locallyConfirmedUntil for a process that didn't call the store for a while: the outage that it
// observed until then, unless the store has answered since that outage started.
func (r *Registrar) confirmedUntilBeforeGap() time.Time {
	confirmed := r.extendedConfirmation()
	if r.observedBeforeGap.since.Equal(r.lastAnswer()) {
		return later(confirmed, r.observedBeforeGap.until)
	}
	return confirmed
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

// StoreCallFailed records that a call to the store failed. A call during which this process was
// suspended fails as its deadline has passed, and shows nothing of the store since then.
func (r *Registrar) StoreCallFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	previousCall := r.lastStoreCall
	r.recordStoreCall()
	switch {
	case !r.pauseEnd.After(previousCall):
		r.unreachableAt = r.lastStoreCall
	case r.pauseStart.After(r.unreachableAt):
		r.unreachableAt = r.pauseStart
	}
	r.recordLongOutage(r.unreachableAt)
	r.unreachable = true
	r.confirm()
	r.change.NotifyAll()
}

// StoreCallSucceeded records that the store answered.
func (r *Registrar) StoreCallSucceeded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachable = false
	r.confirm()
}

// StoreUnreachable reports whether the last call to the store failed, and no answer of the store arrived since, from
// other processes either.
func (r *Registrar) StoreUnreachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lostStore()
}

// lostStore is StoreUnreachable with the mutex locked.
func (r *Registrar) lostStore() bool { return r.unreachable && !r.answeredAt.After(r.unreachableAt) }
