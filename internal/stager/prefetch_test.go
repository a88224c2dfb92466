package stager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"k8s.io/utils/clock"
)

// Guards against an idle origin: the chunk list of a version is read as soon as the version is
// announced, even while the one before lacks a chunk.
func TestNextVersionIsListedBesideAnIncompleteOne(t *testing.T) {
	e := &engine{startedAt: 1}
	f := newFixture(t, e, 10*time.Second)
	eventually(t, f.isOpen)
	f.withhold(map[int]bool{2: true})
	f.announce(2)
	eventually(t, func() bool { return f.servedChunks(2) == chunkCount-1 })
	f.advance(2300 * time.Millisecond)
	f.announce(3)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return f.listed(3) }), wait.Timeout(2*time.Second), wait.Gap(10*time.Millisecond)))
	must.Eq(t, chunkCount-1, f.servedChunks(2))
	must.Eq(t, 0, f.servedChunks(3), must.Sprint("a chunk of version 2 is still missing"))
}

// listed reports whether the origin has served the chunk list of a version.
func (f *fixture) listed(version uint64) bool {
	f.origin.mu.Lock()
	defer f.origin.mu.Unlock()
	return f.origin.listed[version]
}

// Guards against an empty engine that serves nothing for seconds: a version announced when the one
// before lacks a few chunks must not displace it.
func TestEmptyEngineGetsTheVersionThatIsNearlyComplete(t *testing.T) {
	e := &engine{startedAt: 1}
	o := &origin{withheld: map[int]bool{2: true}, withheldVersion: 2}
	f := newFixtureWithOrigin(t, clock.RealClock{}, e, o, 10*time.Second)
	eventually(t, func() bool { return e.hasStaged(1, 0, 1, 3, 4, 5) })
	f.announce(2)
	f.withhold(nil)
	eventually(t, f.isOpen)
	e.mu.Lock()
	defer e.mu.Unlock()
	must.Eq(t, 1, e.versions[0])
}
