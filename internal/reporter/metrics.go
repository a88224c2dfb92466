package reporter

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// quantiles are reported for histograms and timers.
var quantiles = []float64{0.5, 0.95, 0.99}

// writeMetrics writes a registry in the Prometheus text format: a line for each value,
// "name value" or `name{quantile="0.5"} value`. Timers are in seconds.
func writeMetrics(w io.Writer, r metrics.Registry) {
	lines := map[string]any{}
	r.Each(func(name string, v any) { lines[name] = v })
	names := make([]string, 0, len(lines))
	for n := range lines {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		writeMetric(w, metricName(n), lines[n])
	}
}

// metricName converts a registry's name to the format's character set.
func metricName(name string) string {
	return "oriolecroft_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
}

func writeMetric(w io.Writer, name string, v any) {
	switch m := v.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case metrics.GaugeFloat64:
		fmt.Fprintf(w, "# TYPE %s gauge\n%s %g\n", name, name, m.Value())
	case metrics.Meter:
		fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case metrics.Histogram:
		writeSummary(w, name, m.Count(), float64(m.Sum()), m.Percentiles(quantiles))
	case metrics.Timer:
		ps := m.Percentiles(quantiles)
		for i := range ps {
			ps[i] /= float64(time.Second)
		}
		writeSummary(w, name+"_seconds", m.Count(), time.Duration(m.Sum()).Seconds(), ps)
	}
}

func writeSummary(w io.Writer, name string, count int64, sum float64, values []float64) {
	fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, values[i])
	}
	fmt.Fprintf(w, "%s_sum %g\n%s_count %d\n", name, sum, name, count)
}
