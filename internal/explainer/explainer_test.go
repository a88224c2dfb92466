package explainer_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/explainer"
)

const logs = `
  3.100 front-1 {"time":"2026-01-01T00:00:03.1Z","level":"INFO","msg":"Attempt failed","request":"r1","upstream":"u1","outcome":"unknown"}
  2.900 front-2 {"time":"2026-01-01T00:00:02.9Z","level":"INFO","msg":"Upstream gone","upstream":"u1"}
  2.900 front-1 {"time":"2026-01-01T00:00:02.9Z","level":"INFO","msg":"Upstream gone","upstream":"u1"}
not a line
  3.000 side-1 {"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"Place asked","request":"r1","granted":true}
  3.000 front-1 {"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"Served","request":"r2","upstream":"u1"}
  9.000 front-1 {"time":"2026-01-01T00:00:09Z","level":"INFO","msg":"Upstream updated","upstream":"u1"}
{"time":"2026-01-01T00:00:03.2Z","level":"INFO","msg":"Failed","request":"r1","outcome":"unknown"}
`

// Guards against missing, unordered or unrelated lines, given the lines of all processes in
// any order and mixed with those of other requests.
func TestLinesOfOneRequest(t *testing.T) {
	lines, skipped, err := explainer.Read(strings.NewReader(logs))
	must.NoError(t, err)
	must.Eq(t, 2, skipped)
	var out strings.Builder
	must.NoError(t, explainer.Explain(&out, lines, "r1"))
	got := strings.Split(strings.TrimSpace(out.String()), "\n")
	must.Len(t, 5, got)
	for i, word := range []string{"Upstream gone", "Place asked", "Attempt failed", "Failed", "outcome: Failed"} {
		must.StrContains(t, got[i], word)
	}
	must.StrNotContains(t, out.String(), "Served")
	must.StrNotContains(t, out.String(), "Upstream updated", must.Sprint("too long after"))
}

func TestUnknownRequest(t *testing.T) {
	err := explainer.Explain(&strings.Builder{}, nil, "r9")
	var unknown *explainer.UnknownRequestError
	must.True(t, errors.As(err, &unknown))
}

// Guards against a refusal without the time at which the agent closed its engine, here a
// minute before; earlier gate changes are left out.
func TestLastGateChangeIsShown(t *testing.T) {
	lines, _, err := explainer.Read(strings.NewReader(`
side-1 {"time":"2026-01-01T00:00:01Z","msg":"Engine opened","agent":"side-1","version":1}
side-1 {"time":"2026-01-01T00:00:02Z","msg":"Engine closed","agent":"side-1","why":"switching weights"}
side-2 {"time":"2026-01-01T00:00:02Z","msg":"Engine closed","agent":"side-2","why":"no weights"}
side-1 {"time":"2026-01-01T00:01:00Z","msg":"Place asked","request":"r1","granted":false,"closed":"switching weights"}
side-1 {"time":"2026-01-01T00:01:01Z","msg":"Engine opened","agent":"side-1","version":2}
front-1 {"time":"2026-01-01T00:01:02Z","msg":"Refused","request":"r1","reason":"all engines full"}
`))
	must.NoError(t, err)
	var out strings.Builder
	must.NoError(t, explainer.Explain(&out, lines, "r1"))
	got := strings.Split(strings.TrimSpace(out.String()), "\n")
	must.Len(t, 4, got)
	must.StrContains(t, got[0], "side-1 Engine closed")
	must.StrContains(t, got[1], "Place asked")
	must.StrContains(t, got[2], "Refused")
}
