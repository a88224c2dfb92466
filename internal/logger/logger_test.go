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

// stuck is a reader of the log that has stopped reading.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Whoever reads the log stops. Every request writes a line, and all of them would hang.
func TestStuckReaderHoldsUpNobody(t *testing.T) {
	s := stuck{make(chan struct{})}
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
