package receiver_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/oriolecroft/oriolecroft/internal/receiver"
)

// checkRefusal checks a response sent while there are no replicas: it is a refusal in
// JSON with an outcome, and never an internal error of the entry.
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

// Guards against a malformed body that makes the entry panic, which would cut all
// other replies on the same connection.
func FuzzGenerate(f *testing.F) {
	w := newTestReceiver(f)
	f.Fuzz(func(t *testing.T, body, resume, last string) {
		r := httptest.NewRequest(http.MethodPost, generatePath, strings.NewReader(body))
		r.Header.Set(receiver.HeaderResume, resume)
		r.Header.Set("Last-Event-ID", last)
		rec := httptest.NewRecorder()
		w.handler.ServeHTTP(rec, r)
		checkRefusal(t, rec)
	})
}

// Guards against malformed headers of a service call that make the entry panic.
func FuzzCall(f *testing.F) {
	w := newTestReceiver(f)
	f.Fuzz(func(t *testing.T, workspace, key, attempt, deadline, priority, body string) {
		r := httptest.NewRequest(http.MethodPost, callPath, strings.NewReader(body))
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
