package relayer_test

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	clocktesting "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/relayer"
)

// Guards against callers that are refused during a restart of all processes and spend their only
// retry before the entry has its route table, or come back all at once.
func TestCallersRetryAfterStartup(t *testing.T) {
	for sinceStart, want := range map[time.Duration][2]time.Duration{
		0:                       {time.Second, 2 * time.Second},
		500 * time.Millisecond:  {time.Second, 1500 * time.Millisecond},
		900 * time.Millisecond:  {1600 * time.Millisecond, 2400 * time.Millisecond},
		2300 * time.Millisecond: {2600 * time.Millisecond, 2900 * time.Millisecond},
		time.Minute:             {time.Minute + 300*time.Millisecond, time.Minute + 600*time.Millisecond},
	} {
		c := clocktesting.NewFakeClock(time.Unix(1000, 0))
		l := &relayer.Relayer{Registrar: &registrar.Registrar{Clock: c}, Placer: &relayer.Placer{Clock: c}, Codec: testCodec{}, Clock: c,
			Started: c.Now(), Random: rand.New(rand.NewPCG(1, 2)), Metrics: metrics.NewRegistry()}
		c.Step(sinceStart)
		seen := map[string]bool{}
		for range 20 {
			w := httptest.NewRecorder()
			l.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", nil))
			must.Eq(t, http.StatusServiceUnavailable, w.Code)
			seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			must.NoError(t, err)
			back := sinceStart + time.Duration(seconds*float64(time.Second))
			must.Between(t, want[0]-time.Millisecond, back, want[1]+time.Millisecond)
			seen[w.Header().Get("Retry-After")] = true
		}
		must.Greater(t, 10, len(seen), must.Sprint("different times"))
	}
}
