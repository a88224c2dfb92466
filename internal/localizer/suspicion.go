package localizer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxChance is the probability below which a run of crashes isn't taken for chance. It is far below
	// one in the number of parts that are looked at in a day of crashes.
	maxChance = 1e-5
	// leastCrashes is how many crashes a blame needs in any case.
	leastCrashes = 3
	// tiedCrashes is from how many crashes on parts are blamed that came together each time.
	tiedCrashes = 5
	// sameCause is within what time crashes count as one: a failure domain or a power supply takes many
	// upstreams at once, under whatever they run.
	sameCause = 200 * time.Millisecond
	// settleTime is how long after a crash the other entries' reports of it, and of replies, may take.
	settleTime = 150 * time.Millisecond
	// replyWindow is the time before a crash for which requests that were cut are compared with replies.
	replyWindow = 5 * time.Second
	// countedWithin is how soon after a crash another entry's count of replies is one of the time before it.
	countedWithin = time.Second
	// priorCrashes in priorRequests requests is the rate of cut requests assumed before any evidence.
	priorCrashes  = 0.5
	priorRequests = 10
)

// suspicion is the evidence against a part.
type suspicion struct {
	part string
	// crashes since the last reply to a prompt with the part, but for those that another part explains.
	crashes []*crash
	// chance is the probability of these for a part that has nothing to do with them.
	chance float64
}

// suspicion compares crashes of requests with a part against replies to others that have it. A part that
// has nothing to do with them is cut as often as all others at the time, so that each crash since its last
// reply is as likely as that.
func (l *Localizer) suspicion(part string, blamed []*blame) suspicion {
	s := suspicion{part: part, chance: 1}
	since := l.replies[part].at
	settled := l.Clock.Now().Add(-settleTime)
	for _, c := range l.crashes {
		if !c.at.After(since) || c.at.After(settled) || !c.parts[part] || c.explained(part, blamed) {
			continue
		}
		if n := len(s.crashes); n > 0 && c.at.Sub(s.crashes[n-1].at) < sameCause {
			continue
		}
		s.crashes = append(s.crashes, c)
	}
	if len(s.crashes) < leastCrashes {
		return s
	}
	for _, c := range s.crashes {
		s.chance *= l.cutRate(c, part, blamed)
	}
	return s
}

// explained tells whether a crash has a part other than this one that is blamed already.
func (c *crash) explained(part string, blamed []*blame) bool {
	return slices.ContainsFunc(blamed, func(b *blame) bool { return b.Part != part && c.parts[b.Part] })
}

// cutRate is the share of requests without a part that crashes cut in the time up to a crash.
func (l *Localizer) cutRate(last *crash, part string, blamed []*blame) float64 {
	cut, replies := 0, map[string]int{}
	for _, c := range l.crashes {
		if before := last.at.Sub(c.at); before > replyWindow || before < -sameCause {
			continue
		}
		for entry, r := range c.reports {
			replies[entry] = max(replies[entry], r.Replies)
		}
		for entry, n := range c.counted {
			replies[entry] = max(replies[entry], n)
		}
		if !c.explained(part, blamed) {
			cut += c.without(part)
		}
	}
	total := float64(cut)
	for _, n := range replies {
		total += float64(n)
	}
	return (float64(cut) + priorCrashes) / (total + priorRequests)
}

// convicts tells whether the evidence suffices.
func (s *suspicion) convicts() bool { return len(s.crashes) >= leastCrashes && s.chance < maxChance }

// explainedBy tells whether a part came with all crashes that count against this one.
func (s *suspicion) explainedBy(part string) bool {
	return !slices.ContainsFunc(s.crashes, func(c *crash) bool { return !c.parts[part] })
}

// worst gives the part with the strongest evidence, and those that the evidence doesn't distinguish from it; none if no
// evidence suffices. Waits is set while there are crashes of which reports may still be on their way.
func (l *Localizer) worst(now time.Time) (worst []suspicion, waits bool) {
	blamed := l.inForce()
	waits = len(l.crashes) > 0 && now.Sub(l.crashes[len(l.crashes)-1].at) <= settleTime
	var all []suspicion
	for _, part := range l.suspects() {
		if b := l.blames[part]; b != nil && !b.Lifted {
			continue
		}
		if s := l.suspicion(part, blamed); s.convicts() {
			all = append(all, s)
		}
	}
	slices.SortStableFunc(all, func(a, b suspicion) int { return cmp.Compare(a.chance, b.chance) })
	if len(all) == 0 {
		return nil, waits
	}
	worst = slices.Clip(all[:1])
	for _, s := range all[1:] {
		if all[0].explainedBy(s.part) {
			worst = append(worst, s)
		}
	}
	if len(worst) > 1 && len(worst[0].crashes) < tiedCrashes {
		// The next request may have but one of them.
		return nil, waits
	}
	return worst, waits
}
