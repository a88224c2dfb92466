package stager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"k8s.io/utils/clock"
)

// Guards against an idle origin: the chunk list of a version is read as soon as the version is
// announced, also while the one before lacks a chunk.
func TestNextVersionIsListedBesideAnIncompleteOne(t *testing.T) {
	e := &engine{born: 1}
	w := newWorld(t, e, 10*time.Second)
	eventually(t, w.open)
	w.withhold(map[int]bool{2: true})
	w.name(2)
	eventually(t, func() bool { return w.drawnOf(2) == chunkCount-1 })
	w.wait(2300 * time.Millisecond)
	w.name(3)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return w.listed(3) }), wait.Timeout(2*time.Second), wait.Gap(10*time.Millisecond)))
	must.Eq(t, chunkCount-1, w.drawnOf(2))
	must.Eq(t, 0, w.drawnOf(3), must.Sprint("the origin still owes a chunk of version 2"))
}

// listed tells whether the origin has given the chunk list of a version.
func (w *world) listed(version uint64) bool {
	w.origin.mu.Lock()
	defer w.origin.mu.Unlock()
	return w.origin.listed[version]
}

// Guards against an empty engine that serves nothing for seconds: a version announced when the
// one before lacks a few chunks must not displace it.
func TestEmptyEngineGetsTheVersionThatIsNearlyComplete(t *testing.T) {
	e := &engine{born: 1}
	o := &origin{withheld: map[int]bool{2: true}, withheldVersion: 2}
	w := newWorldWith(t, clock.RealClock{}, e, o, 10*time.Second)
	eventually(t, func() bool { return e.lies(1, 0, 1, 3, 4, 5) })
	w.name(2)
	w.withhold(nil)
	eventually(t, w.open)
	e.mu.Lock()
	defer e.mu.Unlock()
	must.Eq(t, 1, e.versions[0])
}
