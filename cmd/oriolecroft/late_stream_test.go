package main_test

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/platform/standin"
)

const (
	// lateStreamsFor is how long streams are sent to the stopping entry, one each lateStreamInterval.
	lateStreamsFor     = 250 * time.Millisecond
	lateStreamInterval = 10 * time.Millisecond
	// lateStreamWarmUp is the number of streams that show the entries the engines' usual pace.
	lateStreamWarmUp = 40
	// lateStreamLimit is how long callers wait. An entry gives a request up shortly before that, by less than limitMargin.
	lateStreamLimit = 6 * time.Second
	limitMargin     = 20 * time.Millisecond
	// firstLateNetwork is the number of the first deployment's loopback hosts.
	firstLateNetwork = 3
)

// Guards against streams that an entry accepts more than 3 s after SIGTERM and cuts at the end of its grace, as their
// engines fall silent or the streams are long.
func TestLateStreamsOfStoppingEntryAreWholeOrRefused(t *testing.T) {
	for i, e := range []struct {
		name string
		// pauses is the share of replies with a silence, in percent.
		pauses int32
		events int
		// from is when the first stream is sent, after SIGTERM.
		from time.Duration
	}{
		{"silent engines, sent after 3 s", 100, 300, 3020 * time.Millisecond},
		{"long streams, sent after 3 s", 0, 440, 3020 * time.Millisecond},
		{"silent engines, sent after 1 s", 100, 300, 1020 * time.Millisecond},
	} {
		t.Run(e.name, func(t *testing.T) {
			w := newBlameDeployment(t, firstLateNetwork+i, false)
			for n := range lateStreamWarmUp {
				w.send(t.Context(), n%len(w.entries), []string{"first"})
			}
			w.pauses.Share.Store(e.pauses)
			termAt := time.Now()
			must.NoError(t, w.daemons[0].Process.Signal(syscall.SIGTERM))
			var mu sync.Mutex
			var all sync.WaitGroup
			ends, lost := map[string]int{}, 0
			time.Sleep(e.from - time.Since(termAt))
			for n := 0; time.Since(termAt) < e.from+lateStreamsFor; n++ {
				all.Go(func() {
					sentAt := time.Since(termAt)
					c, err := standin.Dial(context.Background(), w.entries[0])
					if err != nil {
						return
					}
					defer c.Close()
					reply := c.Send(&standin.Request{
						ID: fmt.Sprintf("late%d", n), Host: "h", Path: "/draft/", Model: "m", Prompt: 600, Events: e.events, Parts: []string{"first"}, Limit: lateStreamLimit,
					})
					mu.Lock()
					defer mu.Unlock()
					switch {
					case reply.Status != 0 && reply.Whole:
						ends[fmt.Sprint(reply.Status)]++
					case reply.Expired || time.Since(termAt)-sentAt >= lateStreamLimit-limitMargin:
						ends["expired"]++
					default:
						lost++
						t.Logf("sent %v after SIGTERM, lost %v after it: status %d, %v", sentAt, time.Since(termAt), reply.Status, reply.Err)
					}
				})
				time.Sleep(lateStreamInterval)
			}
			all.Wait()
			t.Logf("ended: %v, lost: %d", ends, lost)
			must.Zero(t, lost)
		})
	}
}
