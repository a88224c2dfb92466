package dispatcher

import (
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/oriolecroft/oriolecroft/internal/retrier"
)

// Names of the dispatcher's figures.
const (
	figureServed     = "requests.served"
	figureRefused    = "requests.refused"
	figureUnknown    = "requests.unknown"
	figureCut        = "requests.cut"
	figureAttempts   = "requests.attempts"
	figureFirstToken = "requests.firstToken"
	figureWhole      = "requests.whole"
)

func (d *Dispatcher) count(name string) {
	metrics.GetOrRegisterCounter(name, d.Metrics).Inc(1)
}

func (d *Dispatcher) time(name string, since time.Time) {
	metrics.GetOrRegisterTimer(name, d.Metrics).Update(d.Clock.Since(since))
}

// countEnd counts a request by how it ended.
func (d *Dispatcher) countEnd(began time.Time, err error) {
	if err == nil {
		d.count(figureServed)
		d.time(figureWhole, began)
		return
	}
	var f *FailureError
	if !errors.As(err, &f) {
		d.count(figureUnknown)
		return
	}
	switch f.Outcome {
	case retrier.NotRun:
		d.count(figureRefused)
	case retrier.Ran:
		d.count(figureCut)
	default:
		d.count(figureUnknown)
	}
}
