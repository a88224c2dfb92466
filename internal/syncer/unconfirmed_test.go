package syncer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// weightsBound is how long after an announcement replies may start on older weights.
const weightsBound = 8 * time.Second

// Guards against a process that reaches nobody and takes a superseded version for the newest without limit.
func TestIsolatedProcessTrustsNoOldWeights(t *testing.T) {
	withShapedFleet(t, shape{entries: 12, regions: 3, agents: 6}, func(t *testing.T, f *fleet) {
		f.store.put("weights/m", 1)
		time.Sleep(5 * time.Second)
		isolated := []*node{f.members[0], f.members[len(f.members)-1]}
		for _, n := range isolated {
			n.storeUnresponsive.Store(true)
			for _, peer := range f.members {
				n.dropWritesTo(peer)
			}
		}
		time.Sleep(3 * time.Second)
		f.store.put("weights/m", 2)
		time.Sleep(weightsBound)
		for _, n := range f.members {
			at, known := n.SupersededSince("m", 1)
			must.Eq(t, !slices.Contains(isolated, n), known, must.Sprint(n.ID))
			must.GreaterEq(t, weightsBound, time.Since(at), must.Sprint(n.ID))
		}
	})
}

// longestInference is for how long an outage of the store that processes infer confirms weights.
const longestInference = 10 * time.Second

// Guards against engines that stop in an outage of the store, in which nothing can be announced, against an inferred
// outage that confirms weights without limit, and against engines that stay closed after it.
func TestWeightsStayConfirmedInALongOutage(t *testing.T) {
	const (
		// loadTime is what remains for a version that is announced as the outage ends.
		loadTime = 3 * time.Second
		outage   = 30 * time.Second
		// recovery is how long processes may take to reach the store again.
		recovery = 3 * time.Second
	)
	for name, setOutage := range map[string]func(*node, bool){
		"refusing":     func(n *node, lost bool) { n.partitioned.Store(lost) },
		"unresponsive": func(n *node, lost bool) { n.storeUnresponsive.Store(lost) },
	} {
		t.Run(name, func(t *testing.T) {
			withShapedFleet(t, shape{entries: 24, regions: 3, agents: 12}, func(t *testing.T, f *fleet) {
				f.store.put("weights/m", 1)
				time.Sleep(8 * time.Second)
				for _, n := range f.members {
					setOutage(n, true)
				}
				lost := time.Now()
				for time.Since(lost) < outage {
					time.Sleep(100 * time.Millisecond)
					for _, n := range f.members {
						at, _ := n.SupersededSince("m", 1)
						if time.Since(lost) <= longestInference {
							must.Less(t, weightsBound-loadTime, time.Since(at), must.Sprint(n.ID, time.Since(lost)))
						}
						must.LessEq(t, longestInference, at.Sub(lost), must.Sprint(n.ID, time.Since(lost)))
					}
				}
				for _, n := range f.members {
					setOutage(n, false)
				}
				time.Sleep(recovery)
				for _, n := range f.members {
					at, _ := n.SupersededSince("m", 1)
					must.Less(t, weightsBound-loadTime, time.Since(at), must.Sprint(n.ID))
				}
			})
		})
	}
}

// tick calls Tick on all processes as often as a daemon does, until the test ends.
func (f *fleet) tick(t *testing.T) {
	go func() {
		for t.Context().Err() == nil {
			for _, n := range f.members {
				n.Tick()
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

// Guards against engines that stop in an outage of the store because a few entries end or fall silent as it begins: the
// processes that wait for them call the store late.
func TestWeightsStayConfirmedInAnOutageWithSilentEntries(t *testing.T) {
	const (
		entries  = 24
		loadTime = 3 * time.Second
	)
	for name, silence := range map[string]func(*node){
		"killed": func(n *node) { n.stop() },
		"silent for a moment": func(n *node) {
			n.unresponsive.Store(true)
			time.AfterFunc(1500*time.Millisecond, func() { n.unresponsive.Store(false) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			withShapedFleet(t, shape{entries: entries, regions: 3, agents: 12}, func(t *testing.T, f *fleet) {
				f.tick(t)
				f.store.put("weights/m", 1)
				time.Sleep(8 * time.Second)
				silent := f.rankedEntries(entries)[:2]
				for _, n := range f.members {
					n.partitioned.Store(true)
				}
				for _, n := range silent {
					silence(n)
				}
				oldest := time.Duration(0)
				for lost := time.Now(); time.Since(lost) < longestInference+weightsBound/2; {
					time.Sleep(100 * time.Millisecond)
					for _, n := range f.members {
						if !slices.Contains(silent, n) {
							at, _ := n.SupersededSince("m", 1)
							oldest = max(oldest, time.Since(at))
							if time.Since(lost) <= longestInference {
								must.Less(t, weightsBound-loadTime, time.Since(at), must.Sprint(n.ID, time.Since(lost)))
							}
						}
					}
				}
				t.Log("oldest confirmation", oldest)
				must.Less(t, weightsBound-time.Second, oldest)
			})
		})
	}
}
