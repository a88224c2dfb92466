package soaker

import (
	"math/rand/v2"
	"time"

	"github.com/oriolecroft/oriolecroft/platform/standin"
)

const (
	// lateWeightsFor is how long engines stage weights slowly: past the bound on old ones.
	lateWeightsFor = 11 * time.Second
	// slowChunk is the time to stage a chunk then; all chunks together take longer than the bound.
	slowChunk = lateWeightsFor / chunks
	// lateBy is the delay of the store's answers, and lateFor how long they are delayed.
	lateBy  = 1100 * time.Millisecond
	lateFor = 2 * time.Second
	// afterTable is how soon weights are announced after a large table.
	afterTable = 50 * time.Millisecond
	// pausesFor is how long some replies pause in each run, within pausesWithin of the first faults,
	// and pausesAmount the share of them.
	pausesFor    = 5 * time.Second
	pausesWithin = 7 * time.Second
	pausesAmount = 55
	// changesBeside is how many route tables change meanwhile, and changesApart the time between them.
	changesBeside = 6
	changesApart  = pausesFor / changesBeside
	// burstsAtEnd is how many bursts of callers coincide with the end of the bound on old weights.
	burstsAtEnd = 2
)

// incident announces weights late and pauses sound upstreams during changes of the route table, a
// restart and replies that break off. It is drawn independently of all other faults.
func incident(seed uint64, last time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, seed+3))
	at := settle
	if spare := min(pausesWithin, last-settle) - pausesFor; spare > 0 {
		at += time.Duration(r.Int64N(int64(spare)))
	}
	within := func() time.Duration { return at + time.Duration(r.Int64N(int64(pausesFor))) }
	faults := []fault{
		{At: settle, For: min(lateWeightsFor, last-settle), Kind: weightsLate},
		{At: at, For: pausesFor, Kind: upstreamPauses, Amount: pausesAmount},
		// Few requests reach a leaving upstream after a power loss, so one also leaves earlier.
		{At: settle, For: leastFault, Kind: serviceLeaves, Target: r.IntN(1 << 16)},
		{At: within(), For: leastFault, Kind: reload, Target: r.IntN(1 << 16), Amount: r.IntN(100)},
		{At: within(), For: leastFault, Kind: entryStop, Target: r.IntN(1 << 16)},
	}
	if lateWeightsUntil(last) > settle {
		end := settle + standin.UsersBounds.Weights
		for range burstsAtEnd {
			faults = append(faults, fault{At: end - time.Second, For: 2 * time.Second, Kind: callersBurst})
		}
	}
	for i := range changesBeside {
		faults = append(faults, fault{At: at + time.Duration(i)*changesApart, For: leastFault, Kind: tableChange, Amount: r.IntN(100)})
	}
	return faults
}

// delayWatches delays the store's watch events. No process is excused: the changes they report were
// acknowledged earlier.
func (w *world) delayWatches(f fault) {
	w.lateStore.Lock()
	defer w.lateStore.Unlock()
	w.store.DelayWatches(lateBy)
	w.wait(f.For)
	w.store.DelayWatches(0)
}

// nameBesideLateAnswers announces weights while the store's answers are late, and slows staging at all
// engines but one, so that they still hold old weights when the bound ends.
func (w *world) nameBesideLateAnswers(f fault) {
	for i, p := range w.places {
		if p.vm.Service == engineService && i > 0 {
			p.staged.SetDelay(slowChunk)
			defer p.staged.SetDelay(0)
		}
	}
	w.operators.grow()
	w.wait(afterTable)
	w.lateStore.Lock()
	w.store.DelayWatches(lateBy)
	w.operators.name()
	w.wait(lateFor)
	w.store.DelayWatches(0)
	w.lateStore.Unlock()
	w.wait(f.For - afterTable - lateFor)
}
