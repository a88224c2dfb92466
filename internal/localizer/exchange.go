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
		if r.Upstream == "" || r.Entry == l.Entry || now.Sub(at) > crashesKept {
			continue
		}
		if l.crashOf(r.Upstream, at).merge(r, 0) {
			l.reportReplies(r.Parts)
			l.undecided = true
		}
	}
	for _, r := range u.Replies {
		l.contradict(r.Part, now.Add(-milliseconds(r.AgeMS)), false)
	}
	for _, b := range u.Blames {
		l.merge(b)
	}
}

// Handle replies to a push or a pull of another entry.
func (l *Localizer) Handle(u Update) Update {
	l.Apply(u)
	answer := Update{}
	if u.All {
		answer = l.Snapshot()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	answer.Entry, answer.Begun = l.Entry, l.begun.since(l.Clock.Now(), replyWindow)
	return answer
}

// Acked takes in the reply of another entry to an update. Its count of replies is for the crashes in the
// update.
func (l *Localizer) Acked(u, answer Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range u.Reports {
		for _, c := range l.crashes {
			if c.upstream == r.Upstream && l.Clock.Since(c.at) <= countedWithin && answer.Entry != "" {
				c.counted[answer.Entry] = max(c.counted[answer.Entry], answer.Begun)
			}
		}
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(max(0, n)) * time.Millisecond }

// Idle tells whether there is nothing to weigh and no recent crash.
func (l *Localizer) Idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.crashes)
	return !l.undecided && (n == 0 || l.Clock.Since(l.crashes[n-1].at) > snapshotAge)
}

// Sequence is the number of the last change that this entry has found itself.
func (l *Localizer) Sequence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sequence
}

// Since gives what this entry itself has found since a sequence number, and the number to go on from.
func (l *Localizer) Since(after uint64) (Update, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sequence <= after {
		return Update{}, after
	}
	return l.update(func(sequence uint64) bool { return sequence > after }, crashesKept), l.sequence
}

// snapshotAge is up to which age crashes are in a snapshot.
const snapshotAge = 10 * time.Second

// Snapshot gives all that matters to an entry that may have missed some of it: of crashes, the parts that
// more than one of them cut.
func (l *Localizer) Snapshot() Update {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.update(func(uint64) bool { return true }, snapshotAge)
	counts := l.crashCounts()
	for i := range u.Reports {
		u.Reports[i].Parts = slices.DeleteFunc(u.Reports[i].Parts, func(part string) bool { return counts[part] < 2 })
	}
	u.Replies = slices.DeleteFunc(u.Replies, func(r Reply) bool { return counts[r.Part] < 2 })
	return u
}

func (l *Localizer) update(wanted func(sequence uint64) bool, kept time.Duration) Update {
	var u Update
	now := l.Clock.Now()
	for _, c := range l.crashes {
		if now.Sub(c.at) > kept {
			continue
		}
		for _, r := range c.reports {
			if wanted(r.sequence) {
				aged := r.Report
				aged.AgeMS, aged.Parts = now.Sub(c.at).Milliseconds(), slices.Clone(r.Parts)
				u.Reports = append(u.Reports, aged)
			}
		}
	}
	for part, r := range l.replies {
		if wanted(r.sequence) && now.Sub(r.at) <= kept {
			u.Replies = append(u.Replies, Reply{Part: part, AgeMS: now.Sub(r.at).Milliseconds()})
		}
	}
	for _, b := range l.blames {
		if wanted(b.sequence) {
			u.Blames = append(u.Blames, b.Blame)
		}
	}
	return u
}

// Empty tells whether an update says nothing.
func (u *Update) Empty() bool { return len(u.Reports)+len(u.Replies)+len(u.Blames) == 0 }
