package loader

import (
	"slices"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/planner"
)

// Prefetch replaces the list of manifests that will be wanted next. Until they are wanted, an agent
// only fetches its own share of their chunks from Sources, and only once the wanted manifests need
// nothing more from there. Prefetched manifests never evict other weights from memory.
func (l *Loader) Prefetch(manifests []string) {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replaceList(&l.prefetch, manifests)
}

// prefetchSets lists the sets to prefetch.
func (l *Loader) prefetchSets() []*weightSet {
	var ss []*weightSet
	for _, m := range l.prefetch {
		if s := l.sets[m]; s != nil && !slices.Contains(l.wanted, m) {
			ss = append(ss, s)
		}
	}
	return ss
}

// stepPrefetch starts the fetches of prefetched sets.
func (l *Loader) stepPrefetch(now time.Time) {
	ss := l.prefetchSets()
	if len(ss) == 0 || !l.sourcesIdle() {
		return
	}
	for _, s := range ss {
		if s.transfer == nil && l.used+l.missingBytes(s) > l.Memory || !l.prepare(s, now) {
			return
		}
		if s.transfer.FetchedFromOrigin() {
			continue
		}
		l.cancelOverdue(s, now)
		if s.transfer.IsOriginFetcher() {
			l.pollPeers(s, now)
		}
		l.startFetches(s, now, (*planner.Transfer).NextOriginFetch)
		return
	}
}

// sourcesIdle reports whether the wanted sets need nothing more from Sources.
func (l *Loader) sourcesIdle() bool {
	for _, s := range l.activeSets() {
		if s.transfer == nil || !s.transfer.FetchedFromOrigin() {
			return false
		}
	}
	return true
}
