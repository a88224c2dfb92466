// Package logger writes structured logs as JSON lines without ever blocking the code
// that logs.
package logger

import (
	"context"
	"io"
	"log/slog"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"k8s.io/klog/v2"
)

const (
	// maxQueuedLines is the size of the queue. A burst of refusals writes some hundred
	// lines a second; ten seconds of that fit.
	maxQueuedLines = 4096
	// dropReportInterval is how often the number of dropped lines is logged.
	dropReportInterval = 5 * time.Second
)

// Writer passes lines to another goroutine and drops them while its queue is full: a
// log reader that has stopped reading would otherwise block every request.
type Writer struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// New returns a writer; Run does the writing.
func New(to io.Writer) *Writer {
	return &Writer{to: to, lines: make(chan []byte, maxQueuedLines)}
}

// Write implements io.Writer. It never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until the context ends, and then those still queued.
func (w *Writer) Run(ctx context.Context) {
	tick := time.NewTicker(dropReportInterval)
	defer tick.Stop()
	reported := int64(0)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-tick.C:
			if n := w.Dropped(); n != reported {
				klog.InfoS("Log lines dropped", "total", n)
				reported = n
			}
		case <-ctx.Done():
			w.writeQueued()
			return
		}
	}
}

func (w *Writer) writeQueued() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

// Flush writes the queued lines, for a process that is about to exit. It gives up after a time, as the log's reader may
// have stopped reading.
func (w *Writer) Flush(limit time.Duration) {
	written := make(chan struct{})
	go func() {
		defer close(written)
		w.writeQueued()
	}()
	select {
	case <-written:
	case <-time.After(limit):
	}
}

// writeLine writes a line. Errors are ignored, as they cannot be logged.
func (w *Writer) writeLine(line []byte) { _, _ = w.to.Write(line) }

// KeepRunningWithoutReader keeps the process running once the reader of its output has ended. A write to standard output
// or standard error would then end a Go program by SIGPIPE, and cut all its requests.
func KeepRunningWithoutReader() { signal.Ignore(syscall.SIGPIPE) }

// Install makes klog write JSON lines to the writer, with durations in milliseconds.
func Install(w io.Writer) {
	h := slog.NewJSONHandler(w, &slog.HandlerOptions{ReplaceAttr: replaceAttr})
	klog.SetSlogLogger(slog.New(h))
}

func replaceAttr(_ []string, a slog.Attr) slog.Attr {
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
