package bundler

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Change is one difference between two bundles.
type Change struct {
	// Field is the path of the difference, such as "models[rota].version".
	Field string `json:"field"`
	// Old and New are JSON values; empty if the field is absent.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// Diff returns the differences between two bundles, sorted by field. Elements of a
// list are matched by name, so that their order does not matter. The revision and
// the change ID always differ and are left out. Either bundle may be nil.
func Diff(old, new *Bundle) []Change { //nolint:revive // the pair reads best by these names
	before, after := leafValues(old), leafValues(new)
	paths := maps.Clone(before)
	maps.Copy(paths, after)
	var cs []Change
	for _, p := range slices.Sorted(maps.Keys(paths)) {
		if before[p] != after[p] {
			cs = append(cs, Change{Field: p, Old: before[p], New: after[p]})
		}
	}
	return cs
}

// leafValues maps the path of each leaf to its JSON value.
func leafValues(b *Bundle) map[string]string {
	leaves := map[string]string{}
	if b == nil {
		return leaves
	}
	data, err := json.Marshal(b)
	if err != nil {
		return leaves
	}
	var tree map[string]any
	if err := json.Unmarshal(data, &tree); err != nil {
		return leaves
	}
	delete(tree, "revision")
	delete(tree, "changeId")
	flatten(leaves, "", tree)
	return leaves
}

func flatten(leaves map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, e := range v {
			flatten(leaves, join(path, k), e)
		}
	case []any:
		for i, e := range v {
			flatten(leaves, element(path, i, e), e)
		}
	default:
		data, _ := json.Marshal(v)
		leaves[path] = string(data)
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// element returns the path of a list element, by its name or its string value if it
// has one, otherwise by its index.
func element(path string, i int, v any) string {
	switch v := v.(type) {
	case map[string]any:
		if name, ok := v["name"].(string); ok {
			return fmt.Sprintf("%s[%s]", path, name)
		}
	case string:
		return fmt.Sprintf("%s[%s]", path, v)
	}
	return fmt.Sprintf("%s[%d]", path, i)
}
