package syncer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against announcements that count from the end of an outage that was none: the connections of all processes to
// the store fall silent at once, their calls in flight time out, and a version is announced meanwhile.
func TestSilentConnectionsDateNoAnnouncementLate(t *testing.T) {
	for _, after := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond} {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			withShapedFleet(t, shape{entries: 24, regions: 3, agents: 12}, func(t *testing.T, f *fleet) {
				f.store.put("weights/m", 1)
				for version := uint64(2); version < 7; version++ {
					time.Sleep(6*time.Second + time.Duration(version)*274*time.Millisecond)
					silence := func() {
						for _, n := range f.members {
							n.silences.Add(1)
						}
					}
					silence()
					time.AfterFunc(1200*time.Millisecond, silence)
					time.AfterFunc(2400*time.Millisecond, silence)
					time.Sleep(after)
					f.store.put("weights/m", version)
					announced := time.Now()
					time.Sleep(6 * time.Second)
					late, most := 0, -time.Hour
					for _, n := range f.members {
						w, _ := n.View().Weights("m")
						must.Eq(t, version, w.Version, must.Sprint(n.ID))
						at, _ := w.SupersededAt(version - 1)
						if at.After(announced) {
							late++
						}
						most = max(most, at.Sub(announced))
					}
					must.Zero(t, late, must.Sprintf("of %d processes count version %d from after its announcement, by up to %v", len(f.members), version, most))
				}
			})
		})
	}
}
