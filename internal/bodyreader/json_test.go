package bodyreader_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
)

// Guards against decoding a JSON text of so many elements that they take many times the text's size.
func TestTextOfManyElementsIsRefused(t *testing.T) {
	for name, text := range map[string]string{
		"objects": `[{}` + strings.Repeat(`,{}`, bodyreader.MaxElements/2) + `]`,
		"strings": `[""` + strings.Repeat(`,""`, bodyreader.MaxElements) + `]`,
		"lists":   `[[]` + strings.Repeat(`,[]`, bodyreader.MaxElements/2) + `]`,
		"members": `{"a":1` + strings.Repeat(`,"a":1`, bodyreader.MaxElements) + `}`,
		"escapes": `["\\"` + strings.Repeat(`,"\""`, bodyreader.MaxElements) + `]`,
		"no end":  strings.Repeat(`{`, bodyreader.MaxElements+1),
	} {
		t.Run(name, func(t *testing.T) {
			var v any
			var many *bodyreader.ElementsError
			must.True(t, errors.As(bodyreader.DecodeJSON([]byte(text), &v), &many))
			must.Nil(t, v)
		})
	}
}

// Guards against a limit that counts what is within strings, and so refuses the bytes of a record.
func TestTextOfFewElementsIsDecoded(t *testing.T) {
	long := strings.Repeat(`{[,\"`, bodyreader.MaxElements)
	var v []string
	must.NoError(t, bodyreader.DecodeJSON([]byte(`["`+long+`","\\",""`+strings.Repeat(`,""`, bodyreader.MaxElements-3)+`]`), &v))
	must.Len(t, bodyreader.MaxElements, v)
	must.Eq(t, len(long)-bodyreader.MaxElements, len(v[0]))
	must.Eq(t, `\`, v[1])
}
