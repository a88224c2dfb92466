package syncer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against processes that count an announcement in an outage of the store from long before
// the outage's end: engines would stop all at once, before they have the new weights.
func TestFleetCountsAnAnnouncementInAnOutageFromItsEnd(t *testing.T) {
	const (
		model = "weights/m"
		// maxPause is the longest pause between two calls of a process to an unreachable store.
		maxPause = 1500 * time.Millisecond
	)
	withShapedFleet(t, shape{entries: 24, regions: 3, agents: 12}, func(t *testing.T, f *fleet) {
		f.store.put(model, 1)
		time.Sleep(5 * time.Second)
		for version := uint64(2); version < 7; version++ {
			time.Sleep(7*time.Second + time.Duration(version)*274*time.Millisecond)
			for _, n := range f.members {
				n.partitioned.Store(true)
			}
			time.Sleep(2 * time.Second)
			f.store.put(model, version)
			time.Sleep(time.Duration(version) * 1244 * time.Millisecond)
			for _, n := range f.members {
				n.partitioned.Store(false)
			}
			back := time.Now()
			time.Sleep(6 * time.Second)
			var early []time.Duration
			for _, n := range f.members {
				w, ok := n.View().Weights("m")
				must.True(t, ok)
				must.Eq(t, version, w.Version, must.Sprint(n.ID))
				at, _ := w.SupersededAt(version - 1)
				must.False(t, at.After(back), must.Sprint(n.ID))
				must.Less(t, maxPause, back.Sub(at), must.Sprint(n.ID))
				early = append(early, back.Sub(at))
			}
			t.Logf("at most %v before the end", slices.Max(early))
		}
	})
}

// Guards against processes that don't recognize an outage because the store recovered briefly
// before it and answered some of them: engines would stop early by the length of the outage.
func TestFleetDetectsOutageAfterBriefRecoveries(t *testing.T) {
	const (
		model = "weights/m"
		// unansweredCall is the duration of a call to an unresponsive store, as all calls are that
		// start before the outage's end.
		unansweredCall = 2 * time.Second
		recovery       = 700 * time.Millisecond
		outage         = 4 * time.Second
	)
	for phase := range 3 {
		withShapedFleet(t, shape{entries: 12, regions: 3, agents: 12}, func(t *testing.T, f *fleet) {
			setUnresponsive := func(unresponsive bool) {
				for _, n := range f.members {
					n.storeUnresponsive.Store(unresponsive)
				}
			}
			f.store.put(model, 1)
			time.Sleep(8*time.Second + time.Duration(phase)*310*time.Millisecond)
			for range 3 {
				setUnresponsive(true)
				time.Sleep(outage)
				setUnresponsive(false)
				time.Sleep(recovery)
			}
			setUnresponsive(true)
			time.Sleep(outage + 3*time.Second)
			f.store.put(model, 2)
			setUnresponsive(false)
			back := time.Now()
			time.Sleep(8 * time.Second)
			for _, n := range f.members {
				w, ok := n.View().Weights("m")
				must.True(t, ok)
				at, _ := w.SupersededAt(1)
				must.False(t, at.After(back), must.Sprint(n.ID))
				must.Less(t, unansweredCall, back.Sub(at), must.Sprint(n.ID))
			}
		})
	}
}
