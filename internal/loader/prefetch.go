package loader

import (
	"slices"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/planner"
)

// Prefetch replaces the list of manifests that will be wanted next. Until then an agent only
// fetches its own share of their chunks from Sources, and only once the wanted manifests need
// nothing more from there. They never displace other weights from memory.
func (l *Loader) Prefetch(manifests []string) {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replace(&l.prefetch, manifests)
}

// prefetched lists the sets to prefetch.
func (l *Loader) prefetched() []*set {
	var ss []*set
	for _, m := range l.prefetch {
		if s := l.sets[m]; s != nil && !slices.Contains(l.want, m) {
			ss = append(ss, s)
		}
	}
	return ss
}

// stepPrefetch starts fetches of prefetched sets.
func (l *Loader) stepPrefetch(now time.Time) {
	ss := l.prefetched()
	if len(ss) == 0 || !l.sourcesIdle() {
		return
	}
	for _, s := range ss {
		if s.transfer == nil && l.used+l.lacking(s) > l.Memory || !l.ready(s, now) {
			return
		}
		if s.transfer.FetchedFromOrigin() {
			continue
		}
		l.cancelOverdue(s, now)
		if s.transfer.IsOriginFetcher() {
			l.poll(s, now)
		}
		l.order(s, now, (*planner.Transfer).NextOriginFetch)
		return
	}
}

// sourcesIdle tells whether the wanted sets need nothing more from Sources.
func (l *Loader) sourcesIdle() bool {
	for _, s := range l.active() {
		if s.transfer == nil || !s.transfer.FetchedFromOrigin() {
			return false
		}
	}
	return true
}
