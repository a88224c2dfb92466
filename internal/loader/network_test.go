package loader_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oriolecroft/oriolecroft/internal/connector/connectortest"
)

// network connects the agents of one test in memory.
type network struct {
	connectortest.Network
	client *http.Client
}

// inBubble runs a test in virtual time with its own network.
func inBubble(t *testing.T, test func(t *testing.T, n *network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(connectortest.SettleTime) })
		n := &network{}
		transport := &http.Transport{DialContext: n.Dial}
		n.client = &http.Client{Transport: transport}
		t.Cleanup(transport.CloseIdleConnections)
		test(t, n)
	})
}

// serve gives a handler its own address.
func (n *network) serve(t *testing.T, handler http.Handler) *httptest.Server {
	s := httptest.NewUnstartedServer(handler)
	// httptest has bound a port of the machine that isn't used.
	_ = s.Listener.Close()
	s.Listener = n.Listen()
	s.Start()
	t.Cleanup(func() {
		n.client.CloseIdleConnections()
		s.Close()
	})
	return s
}
