package imitator_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	clocktesting "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

func TestKVCompareAndSwap(t *testing.T) {
	p := startServer(t, (&imitator.KV{}).Handler())
	p.expect(404, "GET", "/kv/bundle/current", "")
	must.StrContains(t, p.expect(200, "PUT", "/kv/bundle/current?version=0", "a"), `"version":1`)
	must.StrContains(t, p.expect(409, "PUT", "/kv/bundle/current?version=0", "b"), `"version":1`)
	p.expect(200, "PUT", "/kv/bundle/current?version=1", "c")
	must.StrContains(t, p.expect(200, "GET", "/kv?prefix=bundle/", ""), `"value":"Yw==","version":2`)
	p.expect(409, "DELETE", "/kv/bundle/current?version=1", "")
	p.expect(200, "DELETE", "/kv/bundle/current?version=2", "")
	must.StrContains(t, p.expect(404, "GET", "/kv/bundle/current", ""), `"version":0`)
}

func TestKVWatchReturnsOnChange(t *testing.T) {
	c := clocktesting.NewFakeClock(epoch)
	p := startServer(t, (&imitator.KV{Clock: c}).Handler())
	p.expect(200, "PUT", "/kv/k?version=0", "a")
	answers := make(chan string)
	go func() {
		_, body := p.call("GET", "/watch/k?after=1&wait=20s", "")
		answers <- body
	}()
	awaitTimers(c, 1)
	p.expect(200, "PUT", "/kv/k?version=1", "b")
	must.StrContains(t, <-answers, `"version":2`)
}

func TestKVWatchTimesOut(t *testing.T) {
	c := clocktesting.NewFakeClock(epoch)
	p := startServer(t, (&imitator.KV{Clock: c}).Handler())
	statuses := make(chan int)
	go func() {
		status, _ := p.call("GET", "/watch/k?wait=20s", "")
		statuses <- status
	}()
	awaitTimers(c, 1)
	c.Step(20 * time.Second)
	must.Eq(t, 204, <-statuses)
}

// A writer's connection is closed after its write took effect. The network error
// does not show whether it did; reading the key again does.
func TestKVLosesAnswerAfterWrite(t *testing.T) {
	p := startServer(t, (&imitator.KV{}).Handler())
	p.expect(200, "POST", "/admin/faults", `{"loseAnswers":1}`)
	status, _ := p.call("PUT", "/kv/k?version=0", "a")
	must.Eq(t, 0, status)
	must.StrContains(t, p.expect(200, "GET", "/kv/k", ""), `"version":1`)
}

// The holder of a lease does not renew it in time. Its key is deleted, watches of the
// key are notified and the renewal is refused.
func TestKVLeaseExpires(t *testing.T) {
	c := clocktesting.NewFakeClock(epoch)
	p := startServer(t, (&imitator.KV{Clock: c}).Handler())
	var lease struct {
		ID string `json:"id"`
	}
	must.NoError(t, json.Unmarshal([]byte(p.expect(200, "POST", "/leases?ttl=5s", "")), &lease))
	p.expect(200, "PUT", "/kv/k?version=0&lease="+lease.ID, "a")
	c.Step(4 * time.Second)
	p.expect(200, "POST", "/leases/"+lease.ID+"/renew", "")
	c.Step(4 * time.Second)
	p.expect(200, "GET", "/kv/k", "")
	statuses := make(chan int)
	go func() {
		status, _ := p.call("GET", "/watch/k?after=1&wait=20s", "")
		statuses <- status
	}()
	awaitTimers(c, 1)
	c.Step(time.Second)
	must.Eq(t, 404, <-statuses)
	p.expect(404, "GET", "/kv/k", "")
	p.expect(404, "POST", "/leases/"+lease.ID+"/renew", "")
	p.expect(404, "PUT", "/kv/k?version=0&lease="+lease.ID, "b")
}

// Restoring an old snapshot also resets the version counter, so readers that have
// seen a later version receive an older one.
func TestKVRestoresOldVersions(t *testing.T) {
	p := startServer(t, (&imitator.KV{}).Handler())
	p.expect(200, "PUT", "/kv/k?version=0", "a")
	p.expect(200, "POST", "/admin/snapshot", "")
	p.expect(200, "PUT", "/kv/k?version=1", "b")
	p.expect(200, "POST", "/admin/restore", "")
	must.StrContains(t, p.expect(200, "GET", "/kv/k", ""), `"value":"YQ==","version":1`)
	p.expect(200, "POST", "/admin/faults", `{"down":true}`)
	p.expect(503, "GET", "/kv/k", "")
	must.Eq(t, `{"reads":1,"writes":2,"watches":0}`+"\n", p.expect(200, "GET", "/admin/counts", ""))
}

func TestListLags(t *testing.T) {
	c := clocktesting.NewFakeClock(epoch)
	p := startServer(t, (&imitator.List{Clock: c, Lag: 2 * time.Second}).Handler())
	p.expect(200, "PUT", "/admin/vms/u1", `{"role":"upstream"}`)
	must.Eq(t, `{"vms":[]}`+"\n", p.expect(200, "GET", "/vms", ""))
	c.Step(2 * time.Second)
	p.expect(200, "DELETE", "/admin/vms/u1", "")
	must.StrContains(t, p.expect(200, "GET", "/vms", ""), `"id":"u1"`)
	c.Step(2 * time.Second)
	must.Eq(t, `{"vms":[]}`+"\n", p.expect(200, "GET", "/vms", ""))
}
