package soaker

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oriolecroft/oriolecroft/platform/standin"
)

// faultKind is a kind of fault.
type faultKind string

// The kinds of faults.
const (
	entryPause          faultKind = "entry paused"
	entryKill           faultKind = "entry killed"
	entryStop           faultKind = "entry stopped"
	reload              faultKind = "settings read again"
	agentPause          faultKind = "agent paused"
	agentKill           faultKind = "agent killed"
	agentStop           faultKind = "agent stopped"
	allProcessesKill    faultKind = "all processes killed"
	powerLoss           faultKind = "all machines lose power"
	storeBusy           faultKind = "store answers 503"
	storeOverrun        faultKind = "store answers 429"
	storeSilent         faultKind = "store silent"
	storeLossy          faultKind = "store loses answers"
	storeSlow           faultKind = "store slow"
	storeForgets        faultKind = "store forgets its history"
	storeExpiresRecords faultKind = "store down, records lapse"
	linkDelay           faultKind = "store link delayed"
	linkReset           faultKind = "store link reset"
	linkCut             faultKind = "store link cut one way"
	linkSilence         faultKind = "store connections silent"
	agentDelay          faultKind = "agent link delayed"
	agentReset          faultKind = "agent link reset"
	agentCut            faultKind = "agent link cut one way"
	agentSilent         faultKind = "agent connections silent"
	entryDelay          faultKind = "entry link delayed"
	entryReset          faultKind = "entry link reset"
	entryCut            faultKind = "entry link cut one way"
	entrySilent         faultKind = "entry connections silent"
	linkNarrow          faultKind = "store link narrow"
	agentNarrow         faultKind = "agent link narrow"
	entryNarrow         faultKind = "entry link narrow"
	upstreamNarrow      faultKind = "upstream link narrow"
	upstreamDelay       faultKind = "upstream link delayed"
	upstreamReset       faultKind = "upstream link reset"
	upstreamCut         faultKind = "upstream link cut one way"
	upstreamSilent      faultKind = "upstream connections silent"
	upstreamLeaves      faultKind = "upstream leaves"
	serviceLeaves       faultKind = "plain upstream leaves"
	upstreamGone        faultKind = "upstream leaves unannounced"
	upstreamCrash       faultKind = "upstream crashes"
	upstreamBacksOff    faultKind = "upstream asks for rest"
	upstreamBreaks      faultKind = "upstreams break replies off"
	stagedCorrupted     faultKind = "staged weights turn bad"
	originCorrupts      faultKind = "origin sends wrong bytes"
	tableChange         faultKind = "route table changes"
	keyRemoval          faultKind = "key removed"
	weightsAnnounced    faultKind = "weights named"
	domainDrained       faultKind = "failure domain drained"
	callersBurst        faultKind = "burst of callers"
	promptCrashes       faultKind = "a part of prompts crashes engines"
	upstreamPauses      faultKind = "upstreams pause in replies"
	upstreamsFail       faultKind = "two upstreams fail at one request"
	storeLate           faultKind = "store's watches answer late"
	upstreamsFlood      faultKind = "upstreams send bytes without end"
	callersSlow         faultKind = "callers read slowly"
	storeFloods         faultKind = "store sends bytes without end"
	weightsLate         faultKind = "weights named, announced late and staged slowly"
)

// weightedKinds lists the kinds with their odds. A change here changes what every seed draws, so lines of
// seeds.txt state the commit for which they hold.
var weightedKinds = []struct {
	kind faultKind
	odds int
}{
	{entryPause, 4}, {entryKill, 3}, {entryStop, 3}, {reload, 4}, {agentPause, 3}, {agentKill, 3}, {agentStop, 2}, {allProcessesKill, 1},
	{storeBusy, 2}, {storeOverrun, 1}, {storeSilent, 2}, {storeLossy, 2}, {storeSlow, 2}, {storeForgets, 2}, {storeExpiresRecords, 1},
	{linkDelay, 2}, {linkReset, 2}, {linkCut, 2}, {linkSilence, 2},
	{agentDelay, 2}, {agentReset, 1}, {agentCut, 2}, {agentSilent, 2},
	{entryDelay, 2}, {entryReset, 2}, {entryCut, 3}, {entrySilent, 2},
	{linkNarrow, 2}, {agentNarrow, 2}, {entryNarrow, 2}, {upstreamNarrow, 2},
	{upstreamDelay, 2}, {upstreamReset, 2}, {upstreamCut, 2}, {upstreamSilent, 2},
	{upstreamLeaves, 4}, {upstreamGone, 2}, {upstreamCrash, 4}, {upstreamBreaks, 2}, {stagedCorrupted, 1}, {originCorrupts, 2},
	{tableChange, 6}, {keyRemoval, 2}, {weightsAnnounced, 4}, {domainDrained, 3}, {callersBurst, 1},
	{upstreamPauses, 2}, {storeLate, 2},
}

// fault is one fault of a plan.
type fault struct {
	At, For time.Duration
	Kind    faultKind
	// Target selects the affected process or link, Amount the strength.
	Target, Amount int
}

func (f fault) String() string {
	return fmt.Sprintf("%6.2fs for %5.2fs  %s (%d, %d)", f.At.Seconds(), f.For.Seconds(), f.Kind, f.Target, f.Amount)
}

const (
	// startupTime is how long a run lasts before the first fault, while processes and engines start.
	startupTime = 3 * time.Second
	// recovery is the part of a run without faults at its end: 12 s within which service must recover
	// by the users' bounds. recoveryCheck is the time in which that
	// is checked.
	recovery      = 12 * time.Second
	recoveryCheck = 4 * time.Second
	// minFault and maxFault limit how long a fault lasts.
	minFault = 300 * time.Millisecond
	maxFault = 4 * time.Second
	// longFault is the limit for kinds that must exceed every bound, the longest of which are 8 s.
	longFault = 10 * time.Second
	// maxDrained is the longest draining of a failure domain.
	maxDrained = 9 * time.Second
	// quietDrain is how much longer than the bound a failure domain is drained at the end.
	quietDrain = 3 * time.Second
	// quietBackoffDelay is when an engine asks for the longest backoff after all other faults.
	quietBackoffDelay = 4 * time.Second
	maxAmount         = 99
	// breakOffDuration is how long upstreams break off most replies in each run: retries without a budget
	// then exceed its bound.
	breakOffDuration = 4 * time.Second
	// powerLossDuration is how long machines have no power, announceBeforeLoss how much earlier weights are announced.
	powerLossDuration  = 1500 * time.Millisecond
	announceBeforeLoss = 200 * time.Millisecond
	// maxPause limits the pause between two faults; half of all faults come in close series.
	maxPause       = 2 * time.Second
	maxSeriesPause = 150 * time.Millisecond
)

// longKinds are the kinds that may outlast the bounds: a process may then miss everything that happens
// meanwhile, and retries fill a whole window of their budget.
var longKinds = []faultKind{entryPause, agentPause, storeBusy, storeSilent, storeExpiresRecords, linkCut, entryCut, upstreamBreaks}

// enabledPercent is the percentage of kinds that one seed uses. With all of them, hardly any process
// would run undisturbed for long enough for a bound to apply.
const enabledPercent = 45

// alwaysEnabled are kinds that every seed uses: without changes most promises would not be checked.
var alwaysEnabled = []faultKind{tableChange, weightsAnnounced, upstreamLeaves}

// drawPlan draws the faults of a run. All but the last draining of a failure domain have ended when the
// recovery starts.
func drawPlan(seed uint64, length time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, seed))
	last := length - recovery - recoveryCheck
	kinds := enabledKinds(r)
	var faults []fault
	for at := startupTime; ; {
		if r.IntN(2) == 0 {
			at += time.Duration(r.Int64N(int64(maxSeriesPause)))
		} else {
			at += time.Duration(r.Int64N(int64(maxPause)))
		}
		if at+minFault >= last {
			break
		}
		kind := kinds[r.IntN(len(kinds))]
		if kind == domainDrained && at+maxDrained > last {
			continue
		}
		maxDuration := min(maxFault, last-at)
		if slices.Contains(longKinds, kind) {
			maxDuration = min(longFault, last-at)
		}
		faults = append(faults, fault{
			At: at, For: minFault + time.Duration(r.Int64N(int64(maxDuration-minFault)+1)), Kind: kind,
			Target: r.IntN(1 << 16), Amount: r.IntN(100),
		})
	}
	faults = append(faults, requiredFaults(r, last)...)
	faults = append(faults, backoffFaults(seed, last)...)
	faults = append(faults, powerLossFaults(seed, last)...)
	faults = append(faults, promptCrashFaults(seed, last)...)
	faults = append(faults, incidentFaults(seed, last)...)
	faults = append(faults, doubleFailureFaults(seed, last)...)
	faults = append(faults, floodFaults(seed, last)...)
	faults = append(faults, slowReaderFaults(seed, last)...)
	slices.SortStableFunc(faults, func(a, b fault) int { return cmp.Compare(a.At, b.At) })
	return removeOverlaps(excludeDuringIncident(faults, last))
}

// excludeDuringIncident removes, during weightsLate, the faults of the whole store, which would excuse
// requests on old weights, and replies that break off, which would leave no retry for those that
// pause. A run that is too short keeps them.
func excludeDuringIncident(faults []fault, last time.Duration) []fault {
	until := lateWeightsUntil(last)
	return slices.DeleteFunc(faults, func(f fault) bool {
		_, ofStore := storeFaults[f.Kind]
		return (ofStore || f.Kind == upstreamBreaks) && f.At < until
	})
}

// lateWeightsUntil returns the end of weightsLate in a run that is long enough to keep other faults
// out of it; startupTime in any other.
func lateWeightsUntil(last time.Duration) time.Duration {
	if until := startupTime + lateWeightsDuration; last > until+breakOffDuration {
		return until
	}
	return startupTime
}

// removeOverlaps removes faults of the whole store and drainings that would start during an earlier one. If
// that were decided during the run, a stall of the soak would change which faults of the seed occur.
func removeOverlaps(faults []fault) []fault {
	var storeFree, domainsFree time.Duration
	return slices.DeleteFunc(endBeforePowerLoss(faults), func(f fault) bool {
		free, lasts := &storeFree, f.For
		if _, ok := storeFaults[f.Kind]; !ok {
			if f.Kind != domainDrained {
				return false
			}
			free, lasts = &domainsFree, standin.UsersBounds.Evacuate+f.For
		}
		if f.At < *free {
			return true
		}
		*free = f.At + lasts
		return false
	})
}

// endBeforePowerLoss removes faults of the whole store that would last until all machines lose power.
func endBeforePowerLoss(faults []fault) []fault {
	i := slices.IndexFunc(faults, func(f fault) bool { return f.Kind == powerLoss })
	if i < 0 {
		return faults
	}
	lossAt := faults[i].At
	return slices.DeleteFunc(faults, func(f fault) bool {
		_, ofStore := storeFaults[f.Kind]
		return ofStore && f.Kind != powerLoss && f.At+f.For > lossAt
	})
}

// requiredFaults returns faults that every plan has, as few seeds would check their promises: the budget of
// retries, the reloading of settings, what upstreams state, and the bounds on a drained failure domain
// and a cold upstream. The domain is drained, and an engine of another one replaced, when everything
// else has ended: before, hardly any process is undisturbed long enough for the bound to apply, and an
// upstream may be warm again when entries learn of its return.
func requiredFaults(r *rand.Rand, last time.Duration) []fault {
	within := func(lasts time.Duration) time.Duration {
		return startupTime + time.Duration(r.Int64N(int64(last-lasts-startupTime)))
	}
	first := lateWeightsUntil(last)
	breaks := fault{At: first + time.Duration(r.Int64N(int64(last-breakOffDuration-first))), For: breakOffDuration, Kind: upstreamBreaks, Amount: 100}
	reloads := fault{At: within(minFault), For: minFault, Kind: reload, Target: r.IntN(1 << 16), Amount: r.IntN(100)}
	drains := fault{At: last + minFault, For: quietDrain, Kind: domainDrained, Target: r.IntN(1 << 16)}
	// Engine i is in failure domain i for the first of them.
	undrained := (drains.Target + 1) % len(domains)
	leaves := fault{At: last + minFault, For: minFault, Kind: upstreamLeaves, Target: undrained}
	// A plain upstream leaves and an engine asks for a backoff in domains that are not drained, the
	// latter once nothing has been disturbed for the stable window.
	service := fault{At: last + minFault, For: minFault, Kind: serviceLeaves, Target: drains.Target}
	rest := fault{At: last + quietBackoffDelay, For: minFault, Kind: upstreamBacksOff, Target: (undrained + 1) % len(domains), Amount: maxAmount}
	return []fault{breaks, reloads, drains, leaves, service, rest}
}

// backoffsPerRun is how many upstreams ask for a backoff in each run, which few seeds do otherwise.
const backoffsPerRun = 4

// backoffFaults draws backoffs independently of all other faults, which stay the same for a seed.
func backoffFaults(seed uint64, last time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, seed+1))
	var faults []fault
	for range backoffsPerRun {
		lasts := minFault + time.Duration(r.Int64N(int64(maxFault-minFault)))
		at := startupTime + time.Duration(r.Int64N(int64(last-lasts-startupTime)))
		faults = append(faults, fault{At: at, For: lasts, Kind: upstreamBacksOff, Target: r.IntN(1 << 16), Amount: r.IntN(100)})
	}
	return faults
}

const (
	// failuresPerRun is how often, among the other faults, two upstreams fail at one request for
	// failuresDuration, and minFailedPercent and maxFailedPercent limit the percentage of requests.
	failuresPerRun   = 2
	failuresDuration = 4 * time.Second
	minFailedPercent = 10
	maxFailedPercent = 30
	// quietFailuresDelay is when they do so after all other faults, at quietFailuresPercent percent of the
	// requests, until the run ends. Earlier, few requests have a retry left.
	quietFailuresDelay    = 6500 * time.Millisecond
	quietFailuresDuration = recovery + recoveryCheck - quietFailuresDelay - minFault
	quietFailuresPercent  = 30
)

// doubleFailureFaults makes two upstreams in turn fail at the same requests. They are drawn independently
// of all other faults.
func doubleFailureFaults(seed uint64, last time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, seed+4))
	first := lateWeightsUntil(last)
	lasts := min(failuresDuration, (last-first)/failuresPerRun)
	faults := []fault{{At: last + quietFailuresDelay, For: quietFailuresDuration, Kind: upstreamsFail, Amount: quietFailuresPercent}}
	for range failuresPerRun {
		at := first + time.Duration(r.Int64N(int64(last-first-lasts)))
		faults = append(faults, fault{At: at, For: lasts, Kind: upstreamsFail, Amount: minFailedPercent + r.IntN(maxFailedPercent-minFailedPercent)})
	}
	return faults
}

// powerLossFaults makes everything lose power at the end of all other faults, right after weights were
// announced, with every second seed.
func powerLossFaults(seed uint64, last time.Duration) []fault {
	if seed%2 == 0 {
		return nil
	}
	at := last - powerLossDuration
	return []fault{{At: at - announceBeforeLoss, For: minFault, Kind: weightsAnnounced}, {At: at, For: powerLossDuration, Kind: powerLoss}}
}

// enabledKinds draws the kinds of one seed, each repeated by its odds.
func enabledKinds(r *rand.Rand) []faultKind {
	var kinds []faultKind
	for _, w := range weightedKinds {
		if r.IntN(100) < enabledPercent || slices.Contains(alwaysEnabled, w.kind) {
			kinds = append(kinds, slices.Repeat([]faultKind{w.kind}, w.odds)...)
		}
	}
	return kinds
}

// Describe writes the faults of a seed, one per line.
func Describe(w io.Writer, seed uint64, length time.Duration) {
	for _, f := range drawPlan(seed, length) {
		fmt.Fprintln(w, f)
	}
}
