package bundler_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// Whoever can write to the store can put any bytes there, and every entry and
// agent parses them. One that crashed would take the whole deployment down; one
// that read back something else than was checked would serve by it.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"revision":1,"changeId":"c","failureDomains":[{"name":"huon-a","region":"huon"}],` +
		`"services":[{"name":"bookings"}],"workspaces":[{"name":"growers","services":["bookings"]}]}`))
	f.Add([]byte(`{"revision":1,"changeId":"c","failureDomains":[{"name":"a","region":"r","drained":true}],` +
		`"models":[{"name":"m","version":"v","manifest":"sha256:","share":-1}],"workspaces":[]}`))
	f.Add([]byte(`{"revision":18446744073709551616}`))
	f.Add([]byte(`{"revision":1,"Revision":2}`))
	f.Add([]byte(`{} {}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := bundler.Parse(data)
		if err != nil {
			must.Nil(t, b)
			return
		}
		again, err := b.Encode()
		must.NoError(t, err)
		c, err := bundler.Parse(again)
		must.NoError(t, err)
		must.SliceEmpty(t, bundler.Diff(b, c))
		must.Eq(t, b.Revision, c.Revision)
		must.Eq(t, b.ChangeID, c.ChangeID)
	})
}

// As FuzzParse, for the record around the bundle.
func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"payload":"e30=","signatures":[{"key":"AA==","value":"AA=="}]}`))
	f.Add([]byte(`{"payload":null,"signatures":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := bundler.DecodeRecord(data)
		if err != nil {
			return
		}
		key := ""
		if len(r.Signatures) > 0 {
			key = r.Signatures[0].Key
		}
		_, err = r.Open(bundler.Keyring{Keys: []string{key}, Threshold: 1})
		must.Error(t, err)
	})
}
