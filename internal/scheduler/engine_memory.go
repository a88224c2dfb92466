package scheduler

// SetMemory sets how many tokens the engine holds for all its requests together; 0 when it isn't known, for no limit.
// An engine crashes when its requests exceed that, and all of them with it.
func (l *Ledger) SetMemory(tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.memory = tokens
}

// tokens is how many a job may come to hold. Without a stated bound its answer is taken as it is expected.
func (j Job) tokens() int { return j.Prompt + max(j.Answer, j.MaxAnswer) }

// fits tells whether the engine's memory holds a job besides those that hold slots. Of requests without a
// reservation the size isn't known; they count as usual ones.
func (l *Ledger) fits(j Job) bool {
	if l.memory <= 0 {
		return true
	}
	held := j.tokens() + l.foreign*(l.engine.UsualPrompt+l.engine.UsualAnswer)
	for _, p := range l.held {
		held += p.tokens()
	}
	return held <= l.memory
}
