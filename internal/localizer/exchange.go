package localizer

import (
	"slices"
	"time"
)

// Apply merges the evidence of another entry.
func (l *Localizer) Apply(u Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	now := l.Clock.Now()
	for _, r := range u.Reports {
		at := now.Add(-milliseconds(r.AgeMS))
		if r.Upstream == "" || r.Entry == l.Entry || now.Sub(at) > crashRetention {
			continue
		}
		if l.findOrAddCrash(r.Upstream, at).merge(r, 0) {
			l.publishReplies(r.Parts)
			l.undecided = true
		}
	}
	for _, r := range u.Replies {
		l.recordReply(r.Part, now.Add(-milliseconds(r.AgeMS)), false)
	}
	for _, b := range u.Blames {
		l.merge(b)
	}
}

// Handle merges a push or a pull of another entry and returns the reply.
func (l *Localizer) Handle(u Update) Update {
	l.Apply(u)
	answer := Update{}
	if u.All {
		answer = l.Snapshot()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	answer.Entry, answer.Begun = l.Entry, l.startedReplies.countSince(l.Clock.Now(), replyWindow)
	return answer
}

// HandleAck processes another entry's reply to an update. Its count of replies applies to the crashes in the
// update.
func (l *Localizer) HandleAck(u, answer Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range u.Reports {
		for _, c := range l.crashes {
			if c.upstream == r.Upstream && l.Clock.Since(c.at) <= replyCountMaxDelay && answer.Entry != "" {
				c.replyCounts[answer.Entry] = max(c.replyCounts[answer.Entry], answer.Begun)
			}
		}
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(max(0, n)) * time.Millisecond }

// Idle reports whether there is no undecided evidence and no recent crash.
func (l *Localizer) Idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.crashes)
	return !l.undecided && (n == 0 || l.Clock.Since(l.crashes[n-1].at) > maxSnapshotAge)
}

// Sequence returns the number of the last change that originated at this entry.
func (l *Localizer) Sequence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sequence
}

// ChangesSince returns the changes that originated at this entry after a sequence number, and the number to
// continue from.
func (l *Localizer) ChangesSince(after uint64) (Update, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sequence <= after {
		return Update{}, after
	}
	return l.update(func(sequence uint64) bool { return sequence > after }, crashRetention), l.sequence
}

// maxSnapshotAge is the maximum age of crashes in a snapshot.
const maxSnapshotAge = 10 * time.Second

// Snapshot returns the state for an entry that may have missed updates. Crashes include only the parts that
// more than one of them interrupted.
func (l *Localizer) Snapshot() Update {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.update(func(uint64) bool { return true }, maxSnapshotAge)
	counts := l.crashesPerPart()
	for i := range u.Reports {
		u.Reports[i].Parts = slices.DeleteFunc(u.Reports[i].Parts, func(part string) bool { return counts[part] < 2 })
	}
	u.Replies = slices.DeleteFunc(u.Replies, func(r Reply) bool { return counts[r.Part] < 2 })
	return u
}

func (l *Localizer) update(include func(sequence uint64) bool, maxAge time.Duration) Update {
	var u Update
	now := l.Clock.Now()
	for _, c := range l.crashes {
		if now.Sub(c.at) > maxAge {
			continue
		}
		for _, r := range c.reports {
			if include(r.sequence) {
				aged := r.Report
				aged.AgeMS, aged.Parts = now.Sub(c.at).Milliseconds(), slices.Clone(r.Parts)
				u.Reports = append(u.Reports, aged)
			}
		}
	}
	for part, r := range l.replies {
		if include(r.sequence) && now.Sub(r.at) <= maxAge {
			u.Replies = append(u.Replies, Reply{Part: part, AgeMS: now.Sub(r.at).Milliseconds()})
		}
	}
	for _, b := range l.blames {
		if include(b.sequence) {
			u.Blames = append(u.Blames, b.Blame)
		}
	}
	return u
}

// Empty reports whether an update carries no evidence.
func (u *Update) Empty() bool { return len(u.Reports)+len(u.Replies)+len(u.Blames) == 0 }
