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
		if knownAt.IsZero() {
			continue
		}
		for i := range known {
			changed = known[i].refute(p.Version, knownAt) || changed
		}
	}
	if changed {
		r.writtenAt[rec.Key] = known[len(known)-1].Learned
	}
	return changed
}

// refute dates an announcement earlier if another process received it, or one that this process missed before it, before
// the end of the outage that dates it. It reports whether the announcement changed.
func (n *Announcement) refute(version uint64, knownAt time.Time) bool {
	if version <= n.Replaced || version > n.Version {
		return false
	}
	end := n.Since
	if version == n.Version {
		end = n.Learned
		if n.Known.IsZero() || knownAt.Before(n.Known) {
			n.Known = knownAt
		}
		knownAt = n.Known
	}
	if n.Confirmed.IsZero() || !knownAt.Before(end) {
		return false
	}
	limit, wrong := knownAt, end.Sub(knownAt) > maxLateFailure
	if wrong {
		limit, n.Confirmed = n.Confirmed, time.Time{}
	}
	klog.InfoS("Announcement dated earlier", "version", n.Version, "received", version, "earlier", end.Sub(limit))
	n.Since = earlier(n.Since, limit)
	if wrong || version == n.Version {
		n.Learned = earlier(n.Learned, limit)
	}
	return true
}

// reliesOnOutage reports whether the newest of the announcements was received a short time ago and is dated by an outage
// that may prove wrong.
func (r *Registrar) reliesOnOutage(ns []Announcement) bool {
	n := ns[len(ns)-1]
	return !n.Confirmed.IsZero() && r.Clock.Since(n.Known) < outageCheckTime
}
