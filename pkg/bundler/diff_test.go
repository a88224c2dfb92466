package bundler_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

func TestDiff(t *testing.T) {
	old := &bundler.Bundle{
		Revision:       1,
		ChangeID:       "c1",
		FailureDomains: []bundler.FailureDomain{{Name: "huon-a", Region: "huon"}, {Name: "tamar-a", Region: "tamar"}},
		Models:         []bundler.Model{{Name: "rota", Version: "v1", FailureDomains: []string{"huon-a"}}},
	}
	changed := &bundler.Bundle{
		Revision:       2,
		ChangeID:       "c2",
		FailureDomains: []bundler.FailureDomain{{Name: "tamar-a", Region: "tamar"}, {Name: "huon-a", Region: "huon", Drained: true}},
		Models:         []bundler.Model{{Name: "rota", Version: "v2", FailureDomains: []string{"tamar-a"}}},
	}
	must.Eq(t, []bundler.Change{
		{Field: "failureDomains[huon-a].drained", New: "true"},
		{Field: "models[rota].failureDomains[huon-a]", Old: `"huon-a"`},
		{Field: "models[rota].failureDomains[tamar-a]", New: `"tamar-a"`},
		{Field: "models[rota].version", Old: `"v1"`, New: `"v2"`},
	}, bundler.Diff(old, changed))
	must.SliceEmpty(t, bundler.Diff(old, old))
	must.SliceNotEmpty(t, bundler.Diff(nil, old))
}
