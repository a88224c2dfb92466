package bundler_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// Every entry and agent parses whatever bytes are written to the store. Guards
// against input that crashes the parser, and so the whole deployment, or that is
// encoded to a bundle other than the validated one.
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
		encoded, err := b.Encode()
		must.NoError(t, err)
		reparsed, err := bundler.Parse(encoded)
		must.NoError(t, err)
		must.SliceEmpty(t, bundler.Diff(b, reparsed))
		must.Eq(t, b.Revision, reparsed.Revision)
		must.Eq(t, b.ChangeID, reparsed.ChangeID)
	})
}

// Guards against the same faults in the record around the bundle.
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
