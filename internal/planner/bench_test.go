package planner_test

import (
	"fmt"
	"testing"
	"time"
)

// bursts are the cases of BenchmarkTimeToReplicas.
func bursts() []burst {
	var bs []burst
	for _, n := range []int{10, 30, 100, 300, 730, 12000} {
		b := burst{machines: n, chunks: 256, size: 256e6, window: 2 * time.Minute, seed: 1}
		bs = append(bs, b)
		b.faults = true
		bs = append(bs, b)
	}
	for _, n := range []int{30, 300} {
		b := burst{machines: n, chunks: 256, size: 256e6, window: 2 * time.Minute, seed: 1, regions: 3, regionRate: 20e6 / 8}
		bs = append(bs, b)
		b.faults = true
		bs = append(bs, b)
	}
	return bs
}

func (b burst) name() string {
	return fmt.Sprintf("machines=%d/regions=%d/faults=%t", b.machines, max(1, b.regions), b.faults)
}

// BenchmarkTimeToReplicas runs bursts in virtual time through the real planner
// and tracker, and compares them with the naive version and the fluid bound.
func BenchmarkTimeToReplicas(b *testing.B) {
	for _, row := range bursts() {
		b.Run(row.name(), func(b *testing.B) {
			for b.Loop() {
				m := newModel(row)
				started := time.Now()
				took, stuck := m.run()
				spent := time.Since(started)
				if stuck {
					b.Errorf("%d machines still without the weights after %v", m.waiting, took)
				}
				b.ReportMetric(took.Seconds()/row.bound().Seconds(), "boundRatio")
				b.ReportMetric(m.originBytes/m.size, "originCopies")
				b.ReportMetric(m.crossRegionBytes/m.size/float64(max(1, row.regions-1)), "regionCopies")
				b.ReportMetric(newModel(row).naiveTime().Seconds()/took.Seconds(), "naiveRatio")
				b.ReportMetric(float64(spent.Microseconds())/float64(row.machines), "cpu-µs/machine")
			}
		})
	}
}
