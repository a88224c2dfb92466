package syncer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/syncer"
	"github.com/oriolecroft/oriolecroft/platform"
	"github.com/oriolecroft/oriolecroft/platform/standin"
)

// announced returns the newest version of the model that a process has, and when it counts that
// from; zero if it has none.
func (p *process) announced() (uint64, time.Time) {
	v := p.registrar.View()
	if v == nil {
		return 0, time.Time{}
	}
	w, _ := v.Weights("m")
	return w.Version, w.Learned
}

// hasAnnouncementAge returns whether a process has determined since when version 2 holds.
func (p *process) hasAnnouncementAge() bool {
	version, learned := p.announced()
	return version == 2 && !learned.IsZero()
}

// Guards against an entry that finds an announcement in the store when it starts and never learns
// its age from others, whether it reads the store or relies on peers: it would not limit requests
// on older weights.
func TestStartedEntryLearnsTheAgeOfAnAnnouncement(t *testing.T) {
	for name, entries := range map[string][]string{"reader": {"e1"}, "asks others": {"e1", "e2", "e3", "e4"}} {
		t.Run(name, func(t *testing.T) {
			store := standin.NewStore()
			defer store.Close()
			store.AnnounceWeights("m", 1)
			var others []*process
			for _, id := range entries {
				p := start(t, id, true, store.Address())
				store.PutEntry(member(id, p))
				others = append(others, p)
			}
			for _, p := range others {
				eventually(t, func() bool { v := p.registrar.View(); return v != nil && len(v.Members) == len(entries) })
			}
			// A watch that answers at once gives no age.
			time.Sleep(500 * time.Millisecond)
			announced := time.Now()
			store.AnnounceWeights("m", 2)
			for _, p := range others {
				eventually(t, p.hasAnnouncementAge)
			}
			time.Sleep(500 * time.Millisecond)
			// Without seeds it reads the store when it starts.
			started := start(t, "started", true, store.Address())
			eventually(t, started.hasAnnouncementAge)
			_, learned := started.announced()
			must.Less(t, 200*time.Millisecond, learned.Sub(announced))
		})
	}
}

// Guards against reporting weights in each answer when no process has their age, as after a restart
// of all processes.
func TestUnknownAgesAreNotReported(t *testing.T) {
	c := clock.RealClock{}
	r := &registrar.Registrar{Clock: c, Decode: platform.Decode}
	found := registrar.Record{Key: "op/version/m", Value: []byte(`{"model": "m", "version": 2}`), Revision: 3, Age: registrar.UnknownAge}
	r.Apply(registrar.Batch{Whole: true, At: 3, Records: []registrar.Record{found}})
	must.True(t, r.NeedsAges())
	must.SliceEmpty(t, syncer.RecordsHandler(r, c)(t.Context(), messenger.RecordsQuery{After: 3, Ages: true}).Records)
}
