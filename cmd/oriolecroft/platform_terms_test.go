package main_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/surveyor"
	"github.com/oriolecroft/oriolecroft/platform/standin"
)

// Guards against a status that hides why upstreams get no requests: one is backing off, one is shutting
// down, one limits them, and one states an invalid term.
func TestStatusShowsUpstreamTerms(t *testing.T) {
	store := standin.NewStore()
	t.Cleanup(store.Close)
	var routes, services []string
	for service, header := range map[string][2]string{
		"rests": {"Retry-After", "30"}, "leaves": {"Server-Leaving", "1"}, "limits": {"Server-Limit", "2.5"}, "errs": {"Retry-After", "-1"},
	} {
		u := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Request-Attempt", r.Header.Get("X-Request-Attempt"))
			w.Header().Set(header[0], header[1])
			if header[0] == "Retry-After" {
				w.Header().Set("X-Not-Executed", "shed")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			w.Header().Set("X-Replica-Seal", "s")
		}))
		t.Cleanup(u.Close)
		store.PutBytes("servers/i-"+service, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"a","version":"v1","slots":16,"state":"ready","cold_remaining_ms":0,"sequence":1}`, service, u.Listener.Addr()))
		routes = append(routes, fmt.Sprintf(`{"name":%[1]q,"host":"h","path_prefix":"/%[1]s/","kind":"idempotent","public":true,"timeout_ms":2000,"max_attempts":2,"service":%[1]q}`, service))
		services = append(services, fmt.Sprintf(`{"name":%q}`, service))
	}
	store.PutBytes("op/config", fmt.Appendf(nil, `{"version":7,"routes":[%s],"services":[%s]}`, strings.Join(routes, ","), strings.Join(services, ",")))
	ip, dir := loopback(7), t.TempDir()
	settings := writeSettings(t, dir, "front.toml", fmt.Sprintf(settingsText("front-1", ip, store.Address()), fmt.Sprintf(entrySettings, ip)))
	startDaemon(t, "entry", settings)
	waitForListener(t, ip+":9464")
	t.Setenv("ORIOLECROFT_SETTINGS", settings)

	call := func(service string) int {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+ip+":8005/"+service+"/", nil)
		must.NoError(t, err)
		req.Host = "h"
		req.Header.Set("X-Request-Attempt", service)
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		resp.Body.Close()
		return resp.StatusCode
	}
	deadline := time.Now().Add(20 * time.Second)
	for call("leaves") != http.StatusOK {
		must.True(t, time.Now().Before(deadline))
		time.Sleep(20 * time.Millisecond)
	}
	must.Eq(t, http.StatusServiceUnavailable, call("rests"))
	must.Eq(t, http.StatusOK, call("limits"))
	must.Eq(t, http.StatusServiceUnavailable, call("errs"))

	out, _ := command(t, dir, "platform", "status", "--json", "--vms", ip)
	var ps []surveyor.Process
	must.NoError(t, json.NewDecoder(strings.NewReader(out)).Decode(&ps))
	must.Len(t, 3, ps[0].Status.Terms)
	must.Eq(t, surveyor.Terms{Upstream: "i-leaves", Leaving: true}, ps[0].Status.Terms[0])
	must.Eq(t, surveyor.Terms{Upstream: "i-limits", PerSecond: 2.5}, ps[0].Status.Terms[1])
	must.Eq(t, "i-rests", ps[0].Status.Terms[2].Upstream)
	must.Between(t, 1, ps[0].Status.Terms[2].RestSeconds, 30)
	out, _ = command(t, dir, "platform", "status", "--vms", ip)
	must.StrContains(t, out, "1 resting, 1 leaving, 1 limited")
}
