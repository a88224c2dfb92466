package logger_test

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/logger"
)

// blockedWriter blocks like a log reader that has stopped reading, until released.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against requests that hang because the log reader has stopped reading.
func TestBlockedWriterDelaysNoRequest(t *testing.T) {
	s := blockedWriter{make(chan struct{})}
	w := logger.New(s)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { w.Run(ctx); close(ended) }()
	written := make(chan struct{})
	go func() {
		for range 10_000 {
			_, _ = w.Write([]byte("line\n"))
		}
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("writing waits for the reader")
	}
	must.Positive(t, w.Dropped())
	close(s.release)
	stop()
	<-ended
}

func TestLinesAreJSON(t *testing.T) {
	var out bytes.Buffer
	logger.Install(&out)
	defer klog.ClearLogger()
	klog.InfoS("Refused", "request", "r1", "retryAfter", 1500*time.Microsecond)
	var line struct {
		Msg, Request string
		RetryAfterMs float64
	}
	must.NoError(t, json.Unmarshal(out.Bytes(), &line))
	must.Eq(t, "Refused", line.Msg)
	must.Eq(t, "r1", line.Request)
	must.Eq(t, 1.5, line.RetryAfterMs)
}

// BenchmarkRequest measures the two lines of a served stream: that of the agent which
// granted the slot, and the entry's.
func BenchmarkRequest(b *testing.B) {
	var written countingWriter
	w := logger.New(&written)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { w.Run(ctx); close(ended) }()
	logger.Install(w)
	defer klog.ClearLogger()
	b.ReportAllocs()
	for b.Loop() {
		klog.InfoS("Place asked", "request", "9c41d07be2a35f68", "granted", true, "closed", "", "wait", 35*time.Millisecond,
			"patience", 300*time.Millisecond, "active", 9, "slots", 16, "prompt", 1290, "spare", false, "unlogged", 0)
		klog.InfoS("Served", "request", "9c41d07be2a35f68", "route", "r-2xp4zhp", "workspace", "farm-12",
			"after", 1834*time.Millisecond, "sends", 1, "upstream", "i-573704f852", "status", 200, "upstreamRevision", 1210,
			"events", 20, "firstEvent", 212*time.Millisecond, "longestPause", 61*time.Millisecond,
			"waitPredicted", 35*time.Millisecond, "active", 9, "prompt", 1290, "revision", 1318)
	}
	b.StopTimer()
	stop()
	<-ended
	if lines := 2*b.N - int(w.Dropped()); lines > 0 {
		b.ReportMetric(2*float64(written)/float64(lines), "logged-B/op")
	}
}

// countingWriter counts bytes.
type countingWriter int

func (c *countingWriter) Write(p []byte) (int, error) {
	*c += countingWriter(len(p))
	return len(p), nil
}
