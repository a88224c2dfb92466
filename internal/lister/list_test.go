package lister_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader/bodyreadertest"
	"github.com/oriolecroft/oriolecroft/internal/lister"
)

func TestListIsDecoded(t *testing.T) {
	status := http.StatusOK
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(`{"vms":[{"id":"vm1","role":"entry","address":"127.0.0.1:7000",
			"failureDomain":"huon-a","region":"huon","state":"leaving"}]}`))
	}))
	defer s.Close()
	l := &lister.HTTP{Address: netip.MustParseAddrPort(s.Listener.Addr().String())}
	vms, err := l.VMs(t.Context())
	must.NoError(t, err)
	must.Eq(t, []lister.VM{{
		ID:            "vm1",
		Role:          lister.RoleEntry,
		Address:       netip.MustParseAddrPort("127.0.0.1:7000"),
		FailureDomain: "huon-a",
		Region:        "huon",
		Leaving:       true,
	}}, vms)
	status = http.StatusServiceUnavailable
	_, err = l.VMs(t.Context())
	must.Error(t, err)
}

// Guards against VMs that count as removed because the list was truncated.
func TestTruncatedListIsAnError(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"vms\":[]}"
	l := &lister.HTTP{Address: bodyreadertest.Serve(t, text, bodyreadertest.Close)}
	_, err := l.VMs(t.Context())
	must.Error(t, err)
}

// Guards against a list that sends endless response headers.
func TestEndlessHeadIsAnError(t *testing.T) {
	bodyreadertest.EndlessHeads(t, func(a netip.AddrPort) error {
		_, err := (&lister.HTTP{Address: a}).VMs(t.Context())
		return err
	})
}

// Guards against a list that is taken from the address in a redirect.
func TestRedirectIsNoList(t *testing.T) {
	bodyreadertest.Redirects(t, `{"vms":[]}`, map[string]func(netip.AddrPort) error{
		"list": func(a netip.AddrPort) error { _, err := (&lister.HTTP{Address: a}).VMs(t.Context()); return err },
	})
}
