package dispatcher

import (
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// Names of the dispatcher's metrics.
const (
	metricServed     = "requests.served"
	metricRefused    = "requests.refused"
	metricUnknown    = "requests.unknown"
	metricCut        = "requests.cut"
	metricAttempts   = "requests.attempts"
	metricFirstToken = "requests.firstToken"
	metricWhole      = "requests.whole"
)

func (d *Dispatcher) incCounter(name string) {
	metrics.GetOrRegisterCounter(name, d.Metrics).Inc(1)
}

func (d *Dispatcher) recordDuration(name string, since time.Time) {
	metrics.GetOrRegisterTimer(name, d.Metrics).Update(d.Clock.Since(since))
}

// recordResult counts a request by its result.
func (d *Dispatcher) recordResult(startedAt time.Time, err error) {
	if err == nil {
		d.incCounter(metricServed)
		d.recordDuration(metricWhole, startedAt)
		return
	}
	var f *FailureError
	if !errors.As(err, &f) {
		d.incCounter(metricUnknown)
		return
	}
	switch f.Outcome {
	case retrier.NotRun:
		d.incCounter(metricRefused)
	case retrier.Ran:
		d.incCounter(metricCut)
	default:
		d.incCounter(metricUnknown)
	}
}
