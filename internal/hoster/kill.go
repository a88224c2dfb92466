package hoster

import (
	"time"

	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/detector"
)

const (
	// killMargin is how long before the kill a process without stalls cuts its requests.
	killMargin = 150 * time.Millisecond
	// maxLateAnswer is how much longer cut requests may take at most if the time of the kill is uncertain.
	maxLateAnswer = 200 * time.Millisecond
	// marginStalls is how many stalls have to fit before the kill of a process that stalls repeatedly: one until it cuts
	// its requests, one while it answers them, and one while it exits.
	marginStalls = 3
	// maxMarginShare is the part of the grace that stalls may take: before its last sixth a cut reply counts as lost.
	maxMarginShare = 6
	// maxUnnoticedStall is how much older the signal may be than its earliest time, as a shorter stall isn't noticed.
	maxUnnoticedStall = 100 * time.Millisecond
	// cuttablePeriod is how long after the signal requests may arrive that are cut in the last sixth of the grace without
	// counting as lost: callers' directory answers expire by its end.
	cuttablePeriod = 3*AnswerTTL - maxUnnoticedStall
)

// Kill is the end of the grace of a process that received the signal to stop. Set the exported fields before use.
type Kill struct {
	Signal detector.Event
	// Grace is the time between the signal and the kill.
	Grace time.Duration
	// Clock is that of Signal and Stalls.
	Clock  clock.PassiveClock
	Stalls *detector.Detector
}

// CutAt is when the process should cut its requests. It changes as the process stalls.
func (k *Kill) CutAt() time.Time { return k.cutAt(k.margin()) }

// EarliestCut is the earliest time at which the process may cut its requests, however it stalls from now on.
func (k *Kill) EarliestCut() time.Time { return k.cutAt(k.maxMargin()) }

// cutAt is when to cut requests if a process that stalls leaves a margin before the kill.
func (k *Kill) cutAt(margin time.Duration) time.Time {
	cutAt, starvedAt := k.Signal.Earliest.Add(k.Grace-killMargin), k.Signal.Probable.Add(k.Grace-margin)
	if starvedAt.Before(cutAt) {
		return starvedAt
	}
	return cutAt
}

// MayCut reports whether a request that arrived at a time may be cut. Others would be lost, and have to end by their own
// time limit before EarliestCut.
func (k *Kill) MayCut(arrived time.Time) bool {
	lastSixth := k.Signal.Latest.Add(k.Grace - k.maxMargin())
	return !arrived.After(k.Signal.Earliest.Add(cuttablePeriod)) && !k.EarliestCut().Before(lastSixth)
}

// LateTime is how much longer than usual requests that are cut now may take, as the process stalls or was stalled. One that
// stalls repeatedly may need several runs for them.
func (k *Kill) LateTime() time.Duration {
	late := min(k.Signal.Uncertainty(), maxLateAnswer)
	if k.Stalls.Recurring() == 0 {
		return late
	}
	return max(late, k.Signal.Probable.Add(k.Grace-killMargin).Sub(k.Clock.Now()))
}

// margin is the time to leave before the kill.
func (k *Kill) margin() time.Duration {
	return min(killMargin+marginStalls*k.Stalls.Recurring(), k.maxMargin())
}

// maxMargin is the time to leave at most, however long the process stalls.
func (k *Kill) maxMargin() time.Duration { return max(killMargin, k.Grace/maxMarginShare) }
