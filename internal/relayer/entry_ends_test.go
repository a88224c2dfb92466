package relayer_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against requests that are cut as their entry ends and get no status, or not the one that means they did
// not run.
func TestRequestCutAsTheEntryEndsIsAnswered(t *testing.T) {
	for name, tt := range map[string]struct {
		after  time.Duration
		status int
	}{
		"at an upstream": {100 * time.Millisecond, http.StatusBadGateway},
		"not sent yet":   {0, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEntry(t, newUpstream(t, "u", staysSilent))
			ctx, cut := context.WithCancelCause(t.Context())
			r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/draft/1", nil)
			r.Host, r.Header = "127.0.0.1", http.Header{"Id": {"r1"}, "Key": {"k"}}
			if tt.after == 0 {
				cut(errors.New("grace period over"))
			} else {
				time.AfterFunc(tt.after, func() { cut(errors.New("grace period over")) })
			}
			a := httptest.NewRecorder()
			w.relayer.ServeHTTP(a, r)
			must.Eq(t, tt.status, a.Code)
		})
	}
}
