package syncer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against new weights that are learned of too late to be loaded in time, as all processes of a region wait for large tables from the store.
func TestAnnouncementPassesLargeTables(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkAnnouncementBesideTables(t, seed) })
	}
}

// checkAnnouncementBesideTables announces weights among large tables, just before the readers and other entries are killed,
// and fails when a process that keeps running learns of them too late.
func checkAnnouncementBesideTables(t *testing.T, seed uint64) {
	const (
		model = "weights/m"
		// largeTableSize is the size of a table with 6,000 routes, over a link with a quarter of the rate.
		largeTableSize = 6000 * tableSize / 1400
		gap            = 1310 * time.Millisecond
		// settleTime is how long the first large table has to arrive everywhere.
		settleTime = 7400 * time.Millisecond
		// downtime is how long a killed entry takes to start again.
		downtime = 500 * time.Millisecond
		// staleBound is how long old weights may serve, loadTime how long new ones take to load.
		staleBound, loadTime = 10 * time.Second, 6 * time.Second
	)
	sh := grownShape(4 * time.Millisecond)
	sh.seeds, sh.patient = 6, true
	withShapedFleet(t, sh, func(t *testing.T, f *fleet) {
		f.store.put(model, 1)
		f.store.put(tableKey, paddedTable(1, largeTableSize))
		time.Sleep(settleTime)
		f.store.put(tableKey, paddedTable(2, largeTableSize))
		time.Sleep(400 * time.Millisecond)
		f.store.put(model, 2)
		announced := time.Now()
		time.Sleep(50 * time.Millisecond)
		killed := f.killEntries(rand.New(rand.NewPCG(seed, 1)))
		time.Sleep(downtime)
		for n := range killed {
			f.restart(t, n)
		}
		for version := uint64(3); time.Since(announced) < staleBound-loadTime; version++ {
			f.store.put(tableKey, paddedTable(version, largeTableSize))
			time.Sleep(min(gap, time.Until(announced.Add(staleBound-loadTime))))
		}
		for _, n := range f.members {
			w, ok := n.weights("m")
			must.True(t, killed[n] || ok && w == 2, must.Sprint(n.ID, n.Member.Region))
		}
	})
}

// killEntries kills the two readers and six in ten of all entries.
func (f *fleet) killEntries(r *rand.Rand) map[*node]bool {
	victims := f.rankedEntries(f.shape.entries)[:2]
	for _, i := range r.Perm(f.shape.entries)[:f.shape.entries*6/10] {
		victims = append(victims, f.members[i])
	}
	killed := map[*node]bool{}
	for _, n := range victims {
		if !killed[n] {
			killed[n] = true
			n.stop()
		}
	}
	return killed
}

// weights returns the version of a model's weights that a process knows.
func (n *node) weights(model string) (uint64, bool) {
	v := n.View()
	if v == nil {
		return 0, false
	}
	w, ok := v.Weights(model)
	return w.Version, ok
}
