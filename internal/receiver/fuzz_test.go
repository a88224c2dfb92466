package receiver_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/oriolecroft/oriolecroft/internal/receiver"
)

// checkRefusal checks what holds of every answer when no replica is there: it is
// a refusal in JSON with an outcome, and never a fault of the entry itself.
func checkRefusal(t *testing.T, rec *httptest.ResponseRecorder) {
	var p problem
	if err := json.Unmarshal(rec.Body.Bytes(), &p); err != nil || p.Error == "" {
		t.Fatalf("answer %q: %v", rec.Body, err)
	}
	if rec.Code < 400 || rec.Code == http.StatusInternalServerError {
		t.Fatalf("status %d: %s", rec.Code, p.Error)
	}
	if o := rec.Header().Get(receiver.HeaderOutcome); o != p.Outcome || (o != "notRun" && o != "unknown") {
		t.Fatalf("outcome %q, body %q", o, p.Outcome)
	}
}

// Callers send bodies of any shape. One that made the entry panic would cut the
// replies of all others on the same connection.
func FuzzGenerate(f *testing.F) {
	w := newWorld(f)
	f.Fuzz(func(t *testing.T, body, resume, last string) {
		r := httptest.NewRequest(http.MethodPost, models, strings.NewReader(body))
		r.Header.Set(receiver.HeaderResume, resume)
		r.Header.Set("Last-Event-ID", last)
		rec := httptest.NewRecorder()
		w.handler.ServeHTTP(rec, r)
		checkRefusal(t, rec)
	})
}

// The same for the headers of a booking.
func FuzzCall(f *testing.F) {
	w := newWorld(f)
	f.Fuzz(func(t *testing.T, workspace, key, attempt, deadline, priority, body string) {
		r := httptest.NewRequest(http.MethodPost, book, strings.NewReader(body))
		r.Header.Set(receiver.HeaderWorkspace, workspace)
		r.Header.Set(receiver.HeaderKey, key)
		r.Header.Set(receiver.HeaderAttempt, attempt)
		r.Header.Set(receiver.HeaderDeadline, deadline)
		r.Header.Set(receiver.HeaderPriority, priority)
		rec := httptest.NewRecorder()
		w.handler.ServeHTTP(rec, r)
		checkRefusal(t, rec)
	})
}
