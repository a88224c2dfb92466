package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// startMargin is how long before the bound on its weights an engine closes, so that the last granted request
// starts within it.
const startMargin = 700 * time.Millisecond

// Guards against replies from replaced weights: a request that is granted last has other prompts before it and
// a long one itself, so its first token may follow after the weights have expired.
func TestGrantedRequestStartsBeforeExpiry(t *testing.T) {
	for _, c := range []struct {
		pace   float64
		before int
		prompt int
	}{
		{pace: 1, before: 4, prompt: 7000},
		{pace: 3, before: 1, prompt: 3000},
	} {
		l, clock := openLedger()
		l.Observe(0, c.pace)
		for i := range c.before {
			must.True(t, l.Reserve(job(i, 300*time.Millisecond), 0).Granted)
		}
		expiry := clock.Now().Add(time.Millisecond)
		l.Expiry = func() time.Time { return expiry }
		long := job(50, 300*time.Millisecond)
		long.Prompt = c.prompt
		granted := l.Reserve(long, 0).Granted
		read := l.Reserve(job(99, 0), 0).Wait
		must.False(t, granted && read > startMargin, must.Sprintf("pace %v: granted, and read after %v", c.pace, read))
	}
}
