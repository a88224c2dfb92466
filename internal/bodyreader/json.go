package bodyreader

import (
	"encoding/json"
	"fmt"
)

// MaxElements limits the elements of a JSON text: its objects and lists, and the members of these. A decoded empty object
// takes some hundred bytes, of three in the text.
const MaxElements = 1 << 17

// ElementsError reports a JSON text of more elements than its reader allows.
type ElementsError struct {
	Limit int
}

func (e *ElementsError) Error() string { return fmt.Sprintf("more than %d JSON elements", e.Limit) }

// DecodeJSON decodes a text that is one JSON value of at most MaxElements elements. Errors are *ElementsError and those of
// package json.
func DecodeJSON(text []byte, v any) error {
	if exceedsElements(text) {
		return &ElementsError{Limit: MaxElements}
	}
	return json.Unmarshal(text, v)
}

// exceedsElements reports whether a text has more than MaxElements elements.
func exceedsElements(text []byte) bool {
	elements, inString := 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case c == '"':
			inString = !inString
		case inString && c == '\\':
			i++
		case !inString && (c == '{' || c == '[' || c == ','):
			elements++
		}
		if elements > MaxElements {
			return true
		}
	}
	return false
}
