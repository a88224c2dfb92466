package main_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/platform/standin"
)

const (
	// weightsBound is how long after an announcement replies may start on older weights, in the settings of these tests.
	weightsBound = 8 * time.Second
	// longestInference is for how long processes may take failed calls for an outage of the store.
	longestInference = 10 * time.Second
)

// Guards against replies on old weights without end, where the store turns all processes away but accepts an announcement.
func TestStoreThatRefusesAllEndsOldWeights(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]standin.Fault{"busy": standin.Busy, "unresponsive": standin.Unresponsive} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startOddRecordsDeployment(t)
			d.startEngine(t, "i-engine", d.startEntries(t))
			deadline := time.Now().Add(20 * time.Second)
			for _, entry := range d.entries {
				for d.call(t.Context(), entry, draftPath).Status != 200 {
					must.True(t, time.Now().Before(deadline))
					time.Sleep(20 * time.Millisecond)
				}
			}
			d.store.SetFault(fault)
			time.Sleep(time.Second)
			d.store.AnnounceWeights("m", 2)
			announced := time.Now()
			last, served := announced, 0
			for time.Since(announced) < weightsBound+longestInference+4*time.Second {
				for _, entry := range d.entries {
					if sent := time.Now(); d.call(t.Context(), entry, draftPath).Status == 200 {
						last, served = sent, served+1
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
			t.Logf("%d served, the last one sent %v after the announcement", served, last.Sub(announced))
			must.Positive(t, served)
			must.LessEq(t, weightsBound+longestInference, last.Sub(announced))
		})
	}
}
