package stager_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
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
