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
	entryPause     faultKind = "entry paused"
	entryKill      faultKind = "entry killed"
	entryStop      faultKind = "entry stopped"
	reload         faultKind = "settings read again"
	agentPause     faultKind = "agent paused"
	agentKill      faultKind = "agent killed"
	agentStop      faultKind = "agent stopped"
	herdKill       faultKind = "all processes killed"
	powerLoss      faultKind = "all machines lose power"
	storeBusy      faultKind = "store answers 503"
	storeOverrun   faultKind = "store answers 429"
	storeSilent    faultKind = "store silent"
	storeLossy     faultKind = "store loses answers"
	storeSlow      faultKind = "store slow"
	storeForgets   faultKind = "store forgets its history"
	storeLapse     faultKind = "store down, records lapse"
	linkDelay      faultKind = "store link delayed"
	linkReset      faultKind = "store link reset"
	linkCut        faultKind = "store link cut one way"
	linkSilence    faultKind = "store connections silent"
	agentDelay     faultKind = "agent link delayed"
	agentReset     faultKind = "agent link reset"
	agentCut       faultKind = "agent link cut one way"
	agentSilent    faultKind = "agent connections silent"
	entryDelay     faultKind = "entry link delayed"
	entryReset     faultKind = "entry link reset"
	entryCut       faultKind = "entry link cut one way"
	entrySilent    faultKind = "entry connections silent"
	linkNarrow     faultKind = "store link narrow"
	agentNarrow    faultKind = "agent link narrow"
	entryNarrow    faultKind = "entry link narrow"
	upstreamNarrow faultKind = "upstream link narrow"
	upstreamDelay  faultKind = "upstream link delayed"
	upstreamReset  faultKind = "upstream link reset"
	upstreamCut    faultKind = "upstream link cut one way"
	upstreamSilent faultKind = "upstream connections silent"
	upstreamLeaves faultKind = "upstream leaves"
	serviceLeaves  faultKind = "plain upstream leaves"
	upstreamGone   faultKind = "upstream leaves unannounced"
	upstreamCrash  faultKind = "upstream crashes"
	upstreamRests  faultKind = "upstream asks for rest"
	upstreamBreaks faultKind = "upstreams break replies off"
	stagedSpoils   faultKind = "staged weights turn bad"
	originSpoils   faultKind = "origin sends wrong bytes"
	tableChange    faultKind = "route table changes"
	keyRemoval     faultKind = "key removed"
	weightsNamed   faultKind = "weights named"
	domainDrained  faultKind = "failure domain drained"
	callersBurst   faultKind = "burst of callers"
	promptCrashes  faultKind = "a part of prompts crashes engines"
	upstreamPauses faultKind = "upstreams pause in replies"
	upstreamsFail  faultKind = "two upstreams fail at one request"
	storeLate      faultKind = "store's watches answer late"
	upstreamsFlood faultKind = "upstreams send bytes without end"
	callersSlow    faultKind = "callers read slowly"
	storeFloods    faultKind = "store sends bytes without end"
	weightsLate    faultKind = "weights named, announced late and staged slowly"
)

// weighted lists the kinds with their odds. A change here changes what every seed draws, so lines of
// seeds.txt state the commit for which they hold.
var weighted = []struct {
	kind faultKind
	odds int
}{
	{entryPause, 4}, {entryKill, 3}, {entryStop, 3}, {reload, 4}, {agentPause, 3}, {agentKill, 3}, {agentStop, 2}, {herdKill, 1},
	{storeBusy, 2}, {storeOverrun, 1}, {storeSilent, 2}, {storeLossy, 2}, {storeSlow, 2}, {storeForgets, 2}, {storeLapse, 1},
	{linkDelay, 2}, {linkReset, 2}, {linkCut, 2}, {linkSilence, 2},
	{agentDelay, 2}, {agentReset, 1}, {agentCut, 2}, {agentSilent, 2},
	{entryDelay, 2}, {entryReset, 2}, {entryCut, 3}, {entrySilent, 2},
	{linkNarrow, 2}, {agentNarrow, 2}, {entryNarrow, 2}, {upstreamNarrow, 2},
	{upstreamDelay, 2}, {upstreamReset, 2}, {upstreamCut, 2}, {upstreamSilent, 2},
	{upstreamLeaves, 4}, {upstreamGone, 2}, {upstreamCrash, 4}, {upstreamBreaks, 2}, {stagedSpoils, 1}, {originSpoils, 2},
	{tableChange, 6}, {keyRemoval, 2}, {weightsNamed, 4}, {domainDrained, 3}, {callersBurst, 1},
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
	// settle is how long a run lasts before the first fault, while processes and engines start.
	settle = 3 * time.Second
	// recovery is the part of a run without faults at its end: 12 s within which service must recover
	// by the users' bounds. shown is the time in which that is checked.
	recovery = 12 * time.Second
	shown    = 4 * time.Second
	// leastFault and mostFault limit how long a fault lasts.
	leastFault = 300 * time.Millisecond
	mostFault  = 4 * time.Second
	// longFault is the limit for kinds that must exceed every bound, the longest of which are 8 s.
	longFault = 10 * time.Second
	// mostDrained is the longest draining of a failure domain.
	mostDrained = 9 * time.Second
	// calmDrain is how much longer than the bound a failure domain is drained at the end.
	calmDrain = 3 * time.Second
	// calmRest is when an engine asks for the longest backoff after all other faults.
	calmRest   = 4 * time.Second
	mostAmount = 99
	// surelyBroken is how long upstreams break off most replies in each run: retries without a budget
	// then exceed its bound.
	surelyBroken = 4 * time.Second
	// darkFor is how long machines have no power, namedBefore how much earlier weights are announced.
	darkFor     = 1500 * time.Millisecond
	namedBefore = 200 * time.Millisecond
	// mostPause limits the pause between two faults; half of all faults come in close series.
	mostPause = 2 * time.Second
	inSeries  = 150 * time.Millisecond
)

// long are the kinds that may outlast the bounds: a process may then miss everything that happens
// meanwhile, and retries fill a whole window of their budget.
var long = []faultKind{entryPause, agentPause, storeBusy, storeSilent, storeLapse, linkCut, entryCut, upstreamBreaks}

// enabledShare is the percentage of kinds that one seed uses. With all of them, hardly any process
// would run undisturbed for long enough for a bound to apply.
const enabledShare = 45

// always are kinds that every seed uses: without changes most promises would not be checked.
var always = []faultKind{tableChange, weightsNamed, upstreamLeaves}

// plan draws the faults of a run. All but the last draining of a failure domain have ended when the
// recovery starts.
func plan(seed uint64, length time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, seed))
	last := length - recovery - shown
	kinds := enabled(r)
	var faults []fault
	for at := settle; ; {
		if r.IntN(2) == 0 {
			at += time.Duration(r.Int64N(int64(inSeries)))
		} else {
			at += time.Duration(r.Int64N(int64(mostPause)))
		}
		if at+leastFault >= last {
			break
		}
		kind := kinds[r.IntN(len(kinds))]
		if kind == domainDrained && at+mostDrained > last {
			continue
		}
		most := min(mostFault, last-at)
		if slices.Contains(long, kind) {
			most = min(longFault, last-at)
		}
		faults = append(faults, fault{
			At: at, For: leastFault + time.Duration(r.Int64N(int64(most-leastFault)+1)), Kind: kind,
			Target: r.IntN(1 << 16), Amount: r.IntN(100),
		})
	}
	faults = append(faults, sure(r, last)...)
	faults = append(faults, rests(seed, last)...)
	faults = append(faults, powerLosses(seed, last)...)
	faults = append(faults, fatals(seed, last)...)
	faults = append(faults, incident(seed, last)...)
	faults = append(faults, doubleFailures(seed, last)...)
	faults = append(faults, floods(seed, last)...)
	faults = append(faults, slowness(seed, last)...)
	slices.SortStableFunc(faults, func(a, b fault) int { return cmp.Compare(a.At, b.At) })
	return inTurn(besideIncident(faults, last))
}

// besideIncident removes, during weightsLate, the faults of the whole store, which would excuse
// requests on old weights, and replies that break off, which would leave no retry for those that
// pause. A run that is too short keeps them.
func besideIncident(faults []fault, last time.Duration) []fault {
	until := lateWeightsUntil(last)
	return slices.DeleteFunc(faults, func(f fault) bool {
		_, ofStore := storeFaults[f.Kind]
		return (ofStore || f.Kind == upstreamBreaks) && f.At < until
	})
}

// lateWeightsUntil returns the end of weightsLate in a run that is long enough to keep other faults
// out of it; settle in any other.
func lateWeightsUntil(last time.Duration) time.Duration {
	if until := settle + lateWeightsFor; last > until+surelyBroken {
		return until
	}
	return settle
}

// inTurn removes faults of the whole store and drainings that would start during an earlier one. If
// that were decided during the run, a stall of the soak would change which faults of the seed occur.
func inTurn(faults []fault) []fault {
	var storeFree, domainsFree time.Duration
	return slices.DeleteFunc(beforeLoss(faults), func(f fault) bool {
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

// beforeLoss removes faults of the whole store that would last until all machines lose power.
func beforeLoss(faults []fault) []fault {
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

// sure returns faults that every plan has, as few seeds would check their promises: the budget of
// retries, the reloading of settings, what upstreams state, and the bounds on a drained failure domain
// and a cold upstream. The domain is drained, and an engine of another one replaced, when everything
// else has ended: before, hardly any process is undisturbed long enough for the bound to apply, and an
// upstream may be warm again when entries learn of its return.
func sure(r *rand.Rand, last time.Duration) []fault {
	within := func(lasts time.Duration) time.Duration {
		return settle + time.Duration(r.Int64N(int64(last-lasts-settle)))
	}
	first := lateWeightsUntil(last)
	breaks := fault{At: first + time.Duration(r.Int64N(int64(last-surelyBroken-first))), For: surelyBroken, Kind: upstreamBreaks, Amount: 100}
	reloads := fault{At: within(leastFault), For: leastFault, Kind: reload, Target: r.IntN(1 << 16), Amount: r.IntN(100)}
	drains := fault{At: last + leastFault, For: calmDrain, Kind: domainDrained, Target: r.IntN(1 << 16)}
	// Engine i is in failure domain i for the first of them.
	undrained := (drains.Target + 1) % len(domains)
	leaves := fault{At: last + leastFault, For: leastFault, Kind: upstreamLeaves, Target: undrained}
	// A plain upstream leaves and an engine asks for a backoff in domains that are not drained, the
	// latter once nothing has been disturbed for the stable window.
	service := fault{At: last + leastFault, For: leastFault, Kind: serviceLeaves, Target: drains.Target}
	rest := fault{At: last + calmRest, For: leastFault, Kind: upstreamRests, Target: (undrained + 1) % len(domains), Amount: mostAmount}
	return []fault{breaks, reloads, drains, leaves, service, rest}
}

// restsPerRun is how many upstreams ask for a backoff in each run, which few seeds do otherwise.
const restsPerRun = 4

// rests draws backoffs independently of all other faults, which stay the same for a seed.
func rests(seed uint64, last time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, seed+1))
	var faults []fault
	for range restsPerRun {
		lasts := leastFault + time.Duration(r.Int64N(int64(mostFault-leastFault)))
		at := settle + time.Duration(r.Int64N(int64(last-lasts-settle)))
		faults = append(faults, fault{At: at, For: lasts, Kind: upstreamRests, Target: r.IntN(1 << 16), Amount: r.IntN(100)})
	}
	return faults
}

const (
	// failuresPerRun is how often, among the other faults, two upstreams fail at one request for
	// failuresFor, and leastFailures and mostFailures limit the percentage of requests.
	failuresPerRun = 2
	failuresFor    = 4 * time.Second
	leastFailures  = 10
	mostFailures   = 30
	// calmFailures is when they do so after all other faults, at calmFailuresShare percent of the
	// requests, until the run ends. Earlier, few requests have a retry left.
	calmFailures      = 6500 * time.Millisecond
	calmFailuresFor   = recovery + shown - calmFailures - leastFault
	calmFailuresShare = 30
)

// doubleFailures makes two upstreams in turn fail at the same requests. They are drawn independently
// of all other faults.
func doubleFailures(seed uint64, last time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, seed+4))
	first := lateWeightsUntil(last)
	lasts := min(failuresFor, (last-first)/failuresPerRun)
	faults := []fault{{At: last + calmFailures, For: calmFailuresFor, Kind: upstreamsFail, Amount: calmFailuresShare}}
	for range failuresPerRun {
		at := first + time.Duration(r.Int64N(int64(last-first-lasts)))
		faults = append(faults, fault{At: at, For: lasts, Kind: upstreamsFail, Amount: leastFailures + r.IntN(mostFailures-leastFailures)})
	}
	return faults
}

// powerLosses makes everything lose power at the end of all other faults, right after weights were
// announced, with every second seed.
func powerLosses(seed uint64, last time.Duration) []fault {
	if seed%2 == 0 {
		return nil
	}
	at := last - darkFor
	return []fault{{At: at - namedBefore, For: leastFault, Kind: weightsNamed}, {At: at, For: darkFor, Kind: powerLoss}}
}

// enabled draws the kinds of one seed, each repeated by its odds.
func enabled(r *rand.Rand) []faultKind {
	var kinds []faultKind
	for _, w := range weighted {
		if r.IntN(100) < enabledShare || slices.Contains(always, w.kind) {
			kinds = append(kinds, slices.Repeat([]faultKind{w.kind}, w.odds)...)
		}
	}
	return kinds
}

// Describe writes the faults of a seed, one per line.
func Describe(w io.Writer, seed uint64, length time.Duration) {
	for _, f := range plan(seed, length) {
		fmt.Fprintln(w, f)
	}
}
