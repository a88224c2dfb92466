package localizer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxChance is the probability below which a run of crashes isn't attributed to chance. It is far below
	// one in the number of parts that are evaluated in a day of crashes.
	maxChance = 1e-5
	// minCrashes is the minimum number of crashes for any blame.
	minCrashes = 3
	// minTiedCrashes is the minimum number of crashes for blaming several parts that always occurred together.
	minTiedCrashes = 5
	// sameCauseWindow is the time within which crashes count as one: losing a failure domain or a power
	// supply takes down many upstreams at once, whatever requests they run.
	sameCauseWindow = 200 * time.Millisecond
	// settleTime allows for the other entries' reports of a crash, and of replies, to arrive.
	settleTime = 150 * time.Millisecond
	// replyWindow is the time before a crash in which interrupted requests are compared with replies.
	replyWindow = 5 * time.Second
	// replyCountMaxDelay is how long after a crash another entry's count of replies still describes the
	// time before it.
	replyCountMaxDelay = time.Second
	// priorCrashes in priorRequests requests is the rate of interrupted requests assumed without evidence.
	priorCrashes  = 0.5
	priorRequests = 10
)

// suspicion is the evidence against a part.
type suspicion struct {
	part string
	// crashes lists those since the last reply to a prompt with the part that no other part explains.
	crashes []*crash
	// chance is the probability of these crashes for an unrelated part.
	chance float64
}

// assess weighs the crashes under requests with a part against the replies to others that contain it. An
// unrelated part is interrupted as often as all others at the time, which gives the probability of each
// crash since its last reply.
func (l *Localizer) assess(part string, blamed []*blame) suspicion {
	s := suspicion{part: part, chance: 1}
	since := l.replies[part].at
	settled := l.Clock.Now().Add(-settleTime)
	for _, c := range l.crashes {
		if !c.at.After(since) || c.at.After(settled) || !c.parts[part] || c.explainedByOther(part, blamed) {
			continue
		}
		if n := len(s.crashes); n > 0 && c.at.Sub(s.crashes[n-1].at) < sameCauseWindow {
			continue
		}
		s.crashes = append(s.crashes, c)
	}
	if len(s.crashes) < minCrashes {
		return s
	}
	for _, c := range s.crashes {
		s.chance *= l.interruptionRate(c, part, blamed)
	}
	return s
}

// explainedByOther reports whether the crash interrupted a request with another part that is already blamed.
func (c *crash) explainedByOther(part string, blamed []*blame) bool {
	return slices.ContainsFunc(blamed, func(b *blame) bool { return b.Part != part && c.parts[b.Part] })
}

// interruptionRate returns the share of requests without a part that crashes interrupted in the time before a crash.
func (l *Localizer) interruptionRate(last *crash, part string, blamed []*blame) float64 {
	interrupted, replies := 0, map[string]int{}
	for _, c := range l.crashes {
		if before := last.at.Sub(c.at); before > replyWindow || before < -sameCauseWindow {
			continue
		}
		for entry, r := range c.reports {
			replies[entry] = max(replies[entry], r.Replies)
		}
		for entry, n := range c.replyCounts {
			replies[entry] = max(replies[entry], n)
		}
		if !c.explainedByOther(part, blamed) {
			interrupted += c.requestsWithout(part)
		}
	}
	total := float64(interrupted)
	for _, n := range replies {
		total += float64(n)
	}
	return (float64(interrupted) + priorCrashes) / (total + priorRequests)
}

// sufficient reports whether the evidence suffices for a blame.
func (s *suspicion) sufficient() bool { return len(s.crashes) >= minCrashes && s.chance < maxChance }

// inAllCrashes reports whether a part occurred in all crashes that count against this one.
func (s *suspicion) inAllCrashes(part string) bool {
	return !slices.ContainsFunc(s.crashes, func(c *crash) bool { return !c.parts[part] })
}

// strongestSuspects returns the part with the strongest evidence and those that the evidence doesn't distinguish from it;
// none if no evidence suffices. pending is set while reports of known crashes may still arrive.
func (l *Localizer) strongestSuspects(now time.Time) (strongestSuspects []suspicion, pending bool) {
	blamed := l.activeBlames()
	pending = len(l.crashes) > 0 && now.Sub(l.crashes[len(l.crashes)-1].at) <= settleTime
	var all []suspicion
	for _, part := range l.suspectParts() {
		if b := l.blames[part]; b != nil && !b.Lifted {
			continue
		}
		if s := l.assess(part, blamed); s.sufficient() {
			all = append(all, s)
		}
	}
	slices.SortStableFunc(all, func(a, b suspicion) int { return cmp.Compare(a.chance, b.chance) })
	if len(all) == 0 {
		return nil, pending
	}
	strongestSuspects = slices.Clip(all[:1])
	for _, s := range all[1:] {
		if all[0].inAllCrashes(s.part) {
			strongestSuspects = append(strongestSuspects, s)
		}
	}
	if len(strongestSuspects) > 1 && len(strongestSuspects[0].crashes) < minTiedCrashes {
		// The next request may contain only one of them and so distinguish them.
		return nil, pending
	}
	return strongestSuspects, pending
}
