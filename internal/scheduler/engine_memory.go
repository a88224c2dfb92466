package scheduler

// SetMemory sets how many tokens the engine can hold for all its requests together; 0 means unknown and no
// limit. An engine that exceeds it crashes and loses all its requests.
func (l *Ledger) SetMemory(tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.memoryTokens = tokens
}

// memoryTokens is how many tokens a job may come to hold. Without a stated bound the expected answer counts.
func (j Job) memoryTokens() int { return j.Prompt + max(j.Answer, j.MaxAnswer) }

// fitsMemory reports whether a job fits the engine's memory beside those that hold slots. Requests without a
// reservation are of unknown size and count as usual ones.
func (l *Ledger) fitsMemory(j Job) bool {
	if l.memoryTokens <= 0 {
		return true
	}
	held := j.memoryTokens() + l.unreserved*(l.engine.UsualPrompt+l.engine.UsualAnswer)
	for _, r := range l.reservations {
		held += r.memoryTokens()
	}
	return held <= l.memoryTokens
}
