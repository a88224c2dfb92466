package registrar

import (
	"time"

	"k8s.io/klog/v2"
)

const (
	// maxLateFailure is how long after the end of an outage a call that started in it may fail.
	maxLateFailure = time.Second
	// outageCheckTime is how long after an announcement that relies on an outage other processes are asked when they
	// received it. The weights before it have expired by then.
	outageCheckTime = 10 * time.Second
)

// refuteOutages dates announcements that rely on an outage by when another process received them: an announcement that
// another received before the outage's end was made by then. Where that is long before it, the store answered others all
// the while, and the announcement counts from the store's last confirmation.
func (r *Registrar) refuteOutages(rec Record, received time.Time) bool {
	known := r.announcements[rec.Key]
	changed := false
	for _, p := range rec.Announcements {
		knownAt := timeAtPositiveAge(received, p.KnownAge)
		for i := range known {
			n := &known[i]
			if n.Version != p.Version || knownAt.IsZero() {
				continue
			}
			if n.Known.IsZero() || knownAt.Before(n.Known) {
				n.Known = knownAt
			}
			if n.Confirmed.IsZero() || !n.Known.Before(n.Learned) {
				continue
			}
			limit := n.Known
			if n.Learned.Sub(n.Known) > maxLateFailure {
				limit = n.Confirmed
				n.Confirmed = time.Time{}
			}
			klog.InfoS("Announcement dated earlier", "version", n.Version, "earlier", n.Learned.Sub(limit))
			n.Learned, n.Since = earlier(n.Learned, limit), earlier(n.Since, limit)
			changed = true
		}
	}
	if changed {
		r.writtenAt[rec.Key] = known[len(known)-1].Learned
	}
	return changed
}

// reliesOnOutage reports whether the newest of the announcements was received a short time ago and is dated by an outage
// that may prove wrong.
func (r *Registrar) reliesOnOutage(ns []Announcement) bool {
	n := ns[len(ns)-1]
	return !n.Confirmed.IsZero() && r.Clock.Since(n.Known) < outageCheckTime
}
