package dispatcher_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader/bodyreadertest"
	"github.com/oriolecroft/oriolecroft/internal/dispatcher"
	"github.com/oriolecroft/oriolecroft/internal/forwarder"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/retrier"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// maxAnswerTime is below the deadline of the requests.
const maxAnswerTime = 5 * time.Second

// replyNames returns the names of the replies of bodyreadertest.
func replyNames() []string {
	var names []string
	for name := range bodyreadertest.InvalidReplies("", "") {
		names = append(names, name)
	}
	return names
}

// invalidAgent answers orders with the headers of a call that ran and an invalid status, and leaves the connection open. It
// calls onOrder with each order.
func invalidAgent(t *testing.T, name string, onOrder func()) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		onOrder()
		order, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if header := r.Header.Get("Oriolecroft-Order"); header != "" {
			order = []byte(header)
		}
		var o struct {
			Attempt forwarder.Attempt `json:"attempt"`
		}
		if err := json.Unmarshal(order, &o); err != nil {
			panic(err)
		}
		fields := fmt.Sprintf("Oriolecroft-Request: %s\r\nOriolecroft-Attempt: %d\r\nOriolecroft-Outcome: ran\r\n",
			o.Attempt.RequestID, o.Attempt.Number)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, bodyreadertest.InvalidReplies(fields, `{"index":0,"token":"wrong"}`)[name])
		if strings.HasSuffix(name, "closed") {
			conn.Close()
			return
		}
		t.Cleanup(func() { conn.Close() })
	}
}

// Guards against an agent's reply with a status that HTTP doesn't define reaching the caller of a booking, or moving it to
// another agent.
func TestInvalidStatusOfAnAgentLeavesBookingUnknown(t *testing.T) {
	for _, name := range replyNames() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.serveAgent(t, "vm-1", messenger.KindService, invalidAgent(t, name, func() {}), "", 4)
			k, err := env.MintKey("farm", "bookings")
			must.NoError(t, err)
			other := &fakeAgent{}
			env.addAgent(t, "vm-2", messenger.KindService, other, 4)
			startTime := time.Now()
			_, err = env.Call(t.Context(), newBooking(k.String(), true))
			must.Less(t, maxAnswerTime, time.Since(startTime))
			must.Eq(t, retrier.Unknown, finalFailure(t, err).Outcome)
			must.Len(t, 0, other.calls)
		})
	}
}

// Guards against an agent's reply with a status that HTTP doesn't define reaching a caller whose request another agent could
// serve.
func TestInvalidStatusOfAnAgentIsTriedElsewhere(t *testing.T) {
	for _, name := range replyNames() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for kind, send := range map[messenger.Kind]func(*dispatcher.Dispatcher) error{
				messenger.KindService: func(d *dispatcher.Dispatcher) error {
					reply, err := d.Call(t.Context(), newBooking("", true))
					if err == nil {
						must.Eq(t, http.StatusOK, reply.Status)
					}
					return err
				},
				messenger.KindEngine: func(d *dispatcher.Dispatcher) error { return d.Generate(t.Context(), newRequest(), &fakeSink{}) },
			} {
				env := newTestEnv(t, func(b *bundler.Bundle) { b.Services[0].Idempotent = true })
				var orders atomic.Int64
				env.serveAgent(t, "vm-1", kind, invalidAgent(t, name, func() {
					if orders.Add(1) == 1 {
						env.addAgent(t, "vm-2", kind, &fakeAgent{}, 4)
					}
				}), "engine-1", 4)
				startTime := time.Now()
				must.NoError(t, send(env.Dispatcher))
				must.Less(t, maxAnswerTime, time.Since(startTime))
				must.Eq(t, 1, orders.Load())
			}
		})
	}
}
