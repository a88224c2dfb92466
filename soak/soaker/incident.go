package soaker

import (
	"math/rand/v2"
	"time"

	"github.com/oriolecroft/oriolecroft/platform/standin"
)

const (
	// lateWeightsDuration is how long engines stage weights slowly: past the bound on old ones.
	lateWeightsDuration = 11 * time.Second
	// slowChunk is the time to stage a chunk then; all chunks together take longer than the bound.
	slowChunk = lateWeightsDuration / chunks
	// watchDelay is the delay of the store's answers, and watchDelayDuration how long they are delayed.
	watchDelay         = 1100 * time.Millisecond
	watchDelayDuration = 2 * time.Second
	// announceAfterTable is how soon weights are announced after a large table.
	announceAfterTable = 50 * time.Millisecond
	// pausesDuration is how long some replies pause in each run, within pausesWithin of the first faults,
	// and pausesAmount the share of them.
	pausesDuration = 5 * time.Second
	pausesWithin   = 7 * time.Second
	pausesAmount   = 55
	// tableChanges is how many route tables change meanwhile, and tableChangeInterval the time between them.
	tableChanges        = 6
	tableChangeInterval = pausesDuration / tableChanges
	// burstsAtEnd is how many bursts of callers coincide with the end of the bound on old weights.
	burstsAtEnd = 2
)

// incidentFaults announces weights late and pauses sound upstreams during changes of the route table, a
// restart and replies that break off. It is drawn independently of all other faults.
func incidentFaults(seed uint64, last time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, seed+3))
	at := startupTime
	if spare := min(pausesWithin, last-startupTime) - pausesDuration; spare > 0 {
		at += time.Duration(r.Int64N(int64(spare)))
	}
	within := func() time.Duration { return at + time.Duration(r.Int64N(int64(pausesDuration))) }
	faults := []fault{
		{At: startupTime, For: min(lateWeightsDuration, last-startupTime), Kind: weightsLate},
		{At: at, For: pausesDuration, Kind: upstreamPauses, Amount: pausesAmount},
		// Few requests reach a leaving upstream after a power loss, so one also leaves earlier.
		{At: startupTime, For: minFault, Kind: serviceLeaves, Target: r.IntN(1 << 16)},
		{At: within(), For: minFault, Kind: reload, Target: r.IntN(1 << 16), Amount: r.IntN(100)},
		{At: within(), For: minFault, Kind: entryStop, Target: r.IntN(1 << 16)},
	}
	if lateWeightsUntil(last) > startupTime {
		end := startupTime + standin.UsersBounds.Weights
		for range burstsAtEnd {
			faults = append(faults, fault{At: end - time.Second, For: 2 * time.Second, Kind: callersBurst})
		}
	}
	for i := range tableChanges {
		faults = append(faults, fault{At: at + time.Duration(i)*tableChangeInterval, For: minFault, Kind: tableChange, Amount: r.IntN(100)})
	}
	return faults
}

// delayWatches delays the store's watch events. No process is excused: the changes they report were
// acknowledged earlier.
func (w *deployment) delayWatches(f fault) {
	w.watchDelayed.Lock()
	defer w.watchDelayed.Unlock()
	w.store.DelayWatches(watchDelay)
	w.wait(f.For)
	w.store.DelayWatches(0)
}

// announceDuringWatchDelay announces weights while the store's answers are late, and slows staging at all
// engines but one, so that they still hold old weights when the bound ends.
func (w *deployment) announceDuringWatchDelay(f fault) {
	for i, p := range w.upstreamVMs {
		if p.vm.Service == engineService && i > 0 {
			p.staged.SetDelay(slowChunk)
			defer p.staged.SetDelay(0)
		}
	}
	w.operators.enlargeTable()
	w.wait(announceAfterTable)
	w.watchDelayed.Lock()
	w.store.DelayWatches(watchDelay)
	w.operators.announceWeights()
	w.wait(watchDelayDuration)
	w.store.DelayWatches(0)
	w.watchDelayed.Unlock()
	w.wait(f.For - announceAfterTable - watchDelayDuration)
}
