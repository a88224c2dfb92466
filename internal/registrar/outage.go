package registrar

import "time"

// triesApart is how far apart calls to the store, and their ends, may be for this process to
// count as awake all the while, and how long after the last word the first may come: a call
// that is not answered takes up to 1.9 s, the pause after it up to 1.5 s, and who goes by
// others turns to the store 1.5 to 2 s after their last word. It must be shorter than the
// three seconds after which the platform takes a store for steady again.
const triesApart = 2500 * time.Millisecond

// StoreAsked notes that a call to the store begins.
func (r *Registrar) StoreAsked() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wake()
}

// wake notes that this process runs and is busy with the store.
func (r *Registrar) wake() {
	now := r.Clock.Now()
	if now.Sub(r.lastAwake) > triesApart {
		r.awakeSince = now
	}
	r.lastAwake = now
}

// lastWord is until when this process can have missed no naming of its own fault: the last
// word of the store, or the last vain call if it has called in vain ever since. What was named
// in an outage could be heard by nobody; counted from before it, the time of all old weights
// would be over when the store is back, and callers would get nothing until new ones are
// loaded. A process that stood still, or waited for silent peers, may only have missed the
// naming. It shows by a gap between its calls, or by a first one long after the last word.
//
// A process that starts in an outage has its last word from others, and no calls from before
// its start. Taken for one that stood still, it would count what is named from before the
// outage, tell all others so, and the engines would close all the same. So others' vain calls
// cover the time before its own.
func (r *Registrar) lastWord() time.Time {
	covered := r.confirmed
	if r.othersOutage.After(covered) {
		covered = r.othersOutage
	}
	if r.outage.After(r.confirmed) && r.awakeSince.Sub(covered) <= triesApart {
		return r.outage
	}
	return r.confirmed
}

// StoreLost notes that the store could not be reached just now.
func (r *Registrar) StoreLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wake()
	r.outage = r.lastAwake
	r.lost = true
	r.change.Wake()
}

// StoreFound notes that the store answered.
func (r *Registrar) StoreFound() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = false
}

// Lost tells whether the store could not be reached when it was last asked.
func (r *Registrar) Lost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost
}
