package agent_test

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktesting "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/driver"
	"github.com/oriolecroft/oriolecroft/internal/forwarder"
	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

// Guards against a truncated reply without a length that is kept and returned as whole although the
// service died while sending it.
func TestUnframedReplyOfADeadServiceIsNotWhole(t *testing.T) {
	for name, tt := range map[string]struct {
		framed bool
		// after answers other requests once the reply was sent; nil keeps the service's own answers.
		after http.HandlerFunc
		whole bool
	}{
		"alive":      {whole: true},
		"gone":       {after: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		"next start": {after: (&imitator.Service{Clock: clocktesting.NewFakeClock(time.Now())}).Handler().ServeHTTP},
		"framed":     {framed: true, after: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := clocktesting.NewFakeClock(time.Now())
			s := (&imitator.Service{Clock: c}).Handler()
			var replied atomic.Bool
			env := newTestEnv(t, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				switch {
				case r.URL.Path == "/book":
					// Closing a connection with unread data resets it.
					_, _ = io.Copy(io.Discard, r.Body)
					replied.Store(true)
					text := "HTTP/1.1 200 OK\r\n"
					if tt.framed {
						text += "Content-Length: 6\r\n"
					}
					sendRaw(rw, text+"\r\na part")
				case replied.Load() && tt.after != nil:
					tt.after(rw, r)
				default:
					s.ServeHTTP(rw, r)
				}
			}), c)
			env.Upstream = &driver.Service{Address: env.address()}
			env.rollOut("v1")
			env.start()
			env.waitUntil(func() bool { return len(env.Gate.Holds()) == 0 })
			k := newKey("dead")
			reply, err := env.book(k)
			if tt.whole {
				must.NoError(t, err)
				must.Eq(t, "a part", string(reply.Body))
				must.Eq(t, forwarder.KeyRan, env.lookup(k))
				return
			}
			var u *forwarder.UnknownError
			must.True(t, errors.As(err, &u), must.Sprint(err))
			must.Eq(t, forwarder.KeyUnknown, env.lookup(k))
		})
	}
}

// sendRaw writes a reply byte for byte and closes the connection.
func sendRaw(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, text)
}
