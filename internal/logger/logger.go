// Package logger writes structured logs as JSON lines without ever holding up the
// work that they tell of.
package logger

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// queueLines is how many lines wait at most. A burst of refusals writes some
	// hundred lines a second; ten seconds of that fit.
	queueLines = 4096
	// droppedEvery is how often the number of dropped lines is told.
	droppedEvery = 5 * time.Second
)

// Writer hands lines to another goroutine and drops them while too many wait: a
// reader of the log that has stopped reading would otherwise stop every request.
type Writer struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// New makes a writer; Run does the writing.
func New(to io.Writer) *Writer {
	return &Writer{to: to, lines: make(chan []byte, queueLines)}
}

// Write implements io.Writer. It never fails and never waits.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines were dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes until the context ends, and then what still waits.
func (w *Writer) Run(ctx context.Context) {
	tick := time.NewTicker(droppedEvery)
	defer tick.Stop()
	told := int64(0)
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		case <-tick.C:
			if n := w.Dropped(); n != told {
				klog.InfoS("Log lines dropped", "total", n)
				told = n
			}
		case <-ctx.Done():
			w.drain()
			return
		}
	}
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		default:
			return
		}
	}
}

// Flush writes what waits now, for a process that is about to exit.
func (w *Writer) Flush() { w.drain() }

// put writes a line. There is nowhere to report a failure to.
func (w *Writer) put(line []byte) { _, _ = w.to.Write(line) }

// Install makes klog write JSON lines to the writer, durations in milliseconds.
func Install(w io.Writer) {
	h := slog.NewJSONHandler(w, &slog.HandlerOptions{ReplaceAttr: shorten})
	klog.SetSlogLogger(slog.New(h))
}

func shorten(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindDuration {
		return slog.Float64(a.Key+"Ms", float64(a.Value.Duration().Microseconds())/1000)
	}
	if a.Value.Kind() == slog.KindAny {
		if s, ok := a.Value.Any().(interface{ String() string }); ok {
			return slog.String(a.Key, s.String())
		}
	}
	return a
}
