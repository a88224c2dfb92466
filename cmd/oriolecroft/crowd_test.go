package main_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/pkg/bundler"
	"github.com/oriolecroft/oriolecroft/platform/standin"
)

const (
	// crowdMemory is the memory of the process's VM, in MB.
	crowdMemory = 96
	// crowdClients is the number of connections of a crowd.
	crowdClients = 200
	// crowdDescriptors is the limit of a process's open descriptors, and idleClients a number of connections beyond it.
	crowdDescriptors = 250
	idleClients      = 400
	// crowdNetwork is the number of the deployment's loopback hosts.
	crowdNetwork = 3
)

// crowd is what each of many clients sends.
type crowd struct {
	name, first string
	// repeated is sent after first until the connection is closed, or this many bytes were sent.
	repeated string
	bytes    int
}

// shortFields returns n fields of a head with different names.
func shortFields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", 0x10000+i)
	}
	return b.String()
}

const (
	callerStart = "POST /draft/ HTTP/1.1\r\nHost: h\r\n"
	callerIDs   = "X-Request-Id: %016x\r\nX-Request-Attempt: 1\r\n"
	// endlessBytes is what a client sends of something without end.
	endlessBytes = 4 << 20
)

// callerCrowds are the crowds at a listener for callers on the platform.
func callerCrowds() []crowd {
	return []crowd{
		{name: "short fields, held open", first: callerStart + shortFields(8000)},
		{name: "short fields, body held back", first: callerStart + callerIDs + shortFields(7900) + "Content-Length: 100\r\n\r\nabc"},
		{name: "one field without end", first: callerStart + "X: ", repeated: "a", bytes: endlessBytes},
		{name: "line ends without end", repeated: "\r\n", bytes: endlessBytes},
		{name: "replies not read", repeated: callerStart + shortFields(3900) + "Content-Length: 0\r\n\r\n", bytes: endlessBytes},
		{name: "half of a long body", first: callerStart + callerIDs + "Content-Length: 2000000\r\n\r\n", repeated: "a", bytes: 1 << 20},
		{name: "chunks without end", first: callerStart + callerIDs + "Transfer-Encoding: chunked\r\n\r\n", repeated: "8\r\naaaaaaaa\r\n", bytes: endlessBytes},
	}
}

// webCrowds are the crowds at an HTTP listener with a path that answers GET.
func webCrowds(path string) []crowd {
	start := "GET " + path + " HTTP/1.1\r\nHost: h\r\n"
	return []crowd{
		{name: "short fields, held open", first: start + shortFields(30000)},
		{name: "one field, held open", first: start + "X: " + strings.Repeat("a", 250<<10)},
		{name: "replies not read", repeated: start + shortFields(15000) + "\r\n", bytes: endlessBytes},
		{name: "body held back", first: start + "Content-Length: 1000000\r\n" + shortFields(30000) + "\r\nabc"},
	}
}

// messageCrowds are the crowds at a listener for messages; the method has a list of objects under a key.
func messageCrowds(method, key string) []crowd {
	start := fmt.Sprintf(`{"jsonrpc":"2.0","id":1,"method":%q,"params":{`, method)
	return []crowd{
		{name: "line ends without end", repeated: "\r\n", bytes: endlessBytes},
		{name: "a text without end", first: start + `"x":"`, repeated: "a", bytes: endlessBytes},
		{name: "objects without end", first: start + fmt.Sprintf(`%q:[{}`, key), repeated: ",{}", bytes: endlessBytes},
		{name: "whole messages of small objects", repeated: start + fmt.Sprintf(`%q:[{}%s]}}`, key, strings.Repeat(",{}", 100<<10)), bytes: endlessBytes},
		{name: "calls whose replies are not read", repeated: start + "}}\n", bytes: endlessBytes},
	}
}

// start opens a crowd's connections and sends its bytes, until all are sent or refused.
func (c crowd) start(t *testing.T, address string) (sending *sync.WaitGroup) {
	t.Helper()
	sending = &sync.WaitGroup{}
	for i := range crowdClients {
		conn, err := net.Dial("tcp", address)
		must.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		first := c.first
		if strings.Contains(first, "%016x") {
			first = fmt.Sprintf(first, 1<<30+i)
		}
		sending.Go(func() {
			// A client that stops being read must not hold up the test.
			_ = conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
			_, err := conn.Write([]byte(first))
			part := []byte(strings.Repeat(c.repeated, max(1, (32<<10)/max(1, len(c.repeated)))))
			for sent := 0; err == nil && sent < c.bytes; sent += len(part) {
				_, err = conn.Write(part)
			}
		})
	}
	return sending
}

// send sends a crowd's bytes over connections that stay open until the test ends.
func (c crowd) send(t *testing.T, address string) {
	t.Helper()
	c.start(t, address).Wait()
	// The last bytes may still be in the kernel's buffers.
	time.Sleep(time.Second)
}

// mustStayWithinMemory sends a crowd to a process and checks that the process stays within its memory.
func (c crowd) mustStayWithinMemory(t *testing.T, process *exec.Cmd, address string) {
	t.Helper()
	pid := process.Process.Pid
	before := peakMemory(t, pid)
	c.send(t, address)
	peak := peakMemory(t, pid)
	t.Logf("%q: at most %d MB of %d, %d before the crowd", c.name, peak, crowdMemory, before)
	must.Less(t, crowdMemory, peak)
}

// Guards against an entry that exceeds the memory of its VM as clients send long heads, or line ends without end.
func TestEntryStaysWithinItsMemory(t *testing.T) {
	web, peers := webCrowds("/v1/ready"), messageCrowds("evidence", "reports")
	peers = append(peers,
		crowd{name: "queries of all records whose replies are not read", repeated: `{"jsonrpc":"2.0","id":1,"method":"records","params":{"after":0}}`, bytes: endlessBytes},
		crowd{name: "queries that wait", repeated: `{"jsonrpc":"2.0","id":1,"method":"records","params":{"after":9999999,"waitMs":5000}}`, bytes: endlessBytes})
	for _, l := range []struct {
		name, port string
		crowds     []crowd
	}{
		{"callers", "8005", callerCrowds()},
		{"peers", "8000", peers},
		{"ready", "8002", web},
		{"directory", "8009", web},
		{"metrics", "9464", webCrowds("/status")},
	} {
		t.Run(l.name, func(t *testing.T) {
			w := newBlameDeployment(t, crowdNetwork, false)
			limitMemory(t, w.settings[0])
			w.kill(t, 0)
			for _, c := range l.crowds {
				t.Run(c.name, func(t *testing.T) {
					w.daemons[0] = w.startEntry(t, 0)
					w.awaitOrdinaryAnswer(t)
					c.mustStayWithinMemory(t, w.daemons[0], net.JoinHostPort(w.entries[0].Addr().String(), l.port))
					w.awaitOrdinaryAnswer(t)
				})
			}
		})
	}
}

// Guards against an agent that exceeds the memory of its VM as clients send long heads or messages.
func TestAgentStaysWithinItsMemory(t *testing.T) {
	for _, l := range []struct {
		name, port string
		crowds     []crowd
	}{
		{"entries", "7700", messageCrowds("reserve", "parts")},
		{"chunks", "7701", webCrowds("/chunks")},
		{"metrics", "9464", webCrowds("/status")},
	} {
		for _, c := range l.crowds {
			t.Run(l.name+"/"+c.name, func(t *testing.T) {
				store := standin.NewStore()
				t.Cleanup(store.Close)
				store.PutBytes("op/config", []byte(`{"version":7,"routes":[],"services":[{"name":"llm","engine":{"slots":16,"models":[{"name":"m"}]}}]}`))
				ip := loopback(2)
				path := writeSettings(t, t.TempDir(), "side.toml", fmt.Sprintf(settingsText("side-1", ip, store.Address()), "app = \""+ip+":8080\"\nservice = \"llm\""))
				limitMemory(t, path)
				process := startProcess(t, []string{"ORIOLECROFT_SETTINGS=" + path}, binary, "platform", "agent")
				awaitAnswer(t, "http://"+ip+":9464/healthz")
				c.mustStayWithinMemory(t, process, net.JoinHostPort(ip, l.port))
				awaitAnswer(t, "http://"+ip+":9464/healthz")
			})
		}
	}
}

// Guards against processes of the product's own deployment that exceed their memory as clients send long heads or messages.
func TestOwnProcessesStayWithinTheirMemory(t *testing.T) {
	key, _, err := bundler.GenerateKey()
	must.NoError(t, err)
	ip := loopback(3)
	common := []string{"--failureDomain", "a", "--region", "r", "--keys", key}
	entry := append([]string{"entry", "--id", "e", "--callers", ip + ":7001", "--peers", ip + ":7101", "--operators", ip + ":7201",
		"--store", ip + ":7000", "--seeds", ip + ":7102", "--entries", "1"}, common...)
	agent := append([]string{"agent", "--id", "a", "--listen", ip + ":7301", "--operators", ip + ":7401", "--entrySeeds", ip + ":7101",
		"--service", "s", "--serviceAddress", ip + ":8100"}, common...)
	generate := append(webCrowds("/v1/entries"),
		crowd{name: "a prompt without end", first: "POST /v1/generate HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n400000\r\n{\"prompt\":\"", repeated: "a", bytes: 3 << 20})
	order := append(webCrowds("/run/generate"),
		crowd{name: "an order without end", first: "POST /run/generate HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n400000\r\n{\"prompt\":\"", repeated: "a", bytes: 3 << 20})
	for _, l := range []struct {
		name, port string
		args       []string
		crowds     []crowd
		answers    string
	}{
		{"entry, callers", "7001", entry, generate, ":7001/v1/entries"},
		{"entry, peers", "7101", entry, messageCrowds("exchange", "drawers"), ":7001/v1/entries"},
		{"entry, operators", "7201", entry, webCrowds("/status"), ":7001/v1/entries"},
		{"agent, requests", "7301", agent, order, ":7401/healthz"},
		{"agent, operators", "7401", agent, webCrowds("/status"), ":7401/healthz"},
	} {
		for _, c := range l.crowds {
			t.Run(l.name+"/"+c.name, func(t *testing.T) {
				process := startProcess(t, []string{fmt.Sprintf("OC_CLIENT_MEMORY=%d", crowdMemory<<20/4)}, binary, l.args...)
				awaitAnswer(t, "http://"+ip+l.answers)
				c.mustStayWithinMemory(t, process, net.JoinHostPort(ip, l.port))
				awaitAnswer(t, "http://"+ip+l.answers)
			})
		}
	}
}

// Guards against an entry that exceeds its memory as peers report agents that don't exist, whose states it keeps.
func TestReportsOfUnknownAgentsStayWithinMemory(t *testing.T) {
	key, _, err := bundler.GenerateKey()
	must.NoError(t, err)
	ip := loopback(4)
	process := startProcess(t, []string{fmt.Sprintf("OC_CLIENT_MEMORY=%d", crowdMemory<<20/4)}, binary, "entry", "--id", "e", "--callers", ip+":7001",
		"--peers", ip+":7101", "--operators", ip+":7201", "--store", ip+":7000", "--seeds", ip+":7102", "--entries", "1",
		"--failureDomain", "a", "--region", "r", "--keys", key)
	awaitAnswer(t, "http://"+ip+":7001/v1/entries")
	var sending sync.WaitGroup
	for i := range crowdClients {
		conn, err := net.Dial("tcp", ip+":7101")
		must.NoError(t, err)
		defer conn.Close()
		sending.Go(func() {
			_ = conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
			var err error
			for n := 0; err == nil && n < 3000; n++ {
				id := fmt.Sprintf("%d-%d-%s", i, n, strings.Repeat("x", 4<<10))
				_, err = fmt.Fprintf(conn, `{"jsonrpc":"2.0","method":"report","params":{"state":{"id":%q,"kind":"engine","address":"127.0.0.1:1"}}}`, id)
			}
		})
	}
	sending.Wait()
	peak := peakMemory(t, process.Process.Pid)
	t.Logf("at most %d MB of %d", peak, crowdMemory)
	must.Less(t, crowdMemory, peak)
	awaitAnswer(t, "http://"+ip+":7001/v1/entries")
}

// Guards against an entry that has no descriptor left for callers, upstreams and the store because of idle connections.
func TestIdleConnectionsLeaveDescriptors(t *testing.T) {
	for _, port := range []string{"8005", "8000", "8002", "8009", "9464"} {
		t.Run(port, func(t *testing.T) {
			w := newBlameDeployment(t, crowdNetwork, false)
			w.kill(t, 0)
			script := fmt.Sprintf(`ulimit -n %d; exec "$0" platform entry`, crowdDescriptors)
			w.daemons[0] = startProcess(t, []string{"ORIOLECROFT_SETTINGS=" + w.settings[0]}, "sh", "-c", script, binary)
			w.awaitOrdinaryAnswer(t)
			address := net.JoinHostPort(w.entries[0].Addr().String(), port)
			for range idleClients {
				conn, err := net.Dial("tcp", address)
				must.NoError(t, err)
				defer conn.Close()
			}
			reply := w.send(t.Context(), 0, []string{"first"})
			must.Eq(t, http.StatusOK, reply.Status, must.Sprint(reply.Err))
			must.Less(t, crowdDescriptors, openDescriptors(t, w.daemons[0].Process.Pid))
		})
	}
}

// Guards against limits that refuse the largest heads that callers may send, or close idle connections, in calm.
func TestLimitsAreNotMetInCalm(t *testing.T) {
	w := newBlameDeployment(t, crowdNetwork, false)
	limitMemory(t, w.settings[0])
	w.restart(t, 0)
	w.awaitOrdinaryAnswer(t)
	var idle []net.Conn
	for range 20 {
		conn, err := net.Dial("tcp", w.entries[0].String())
		must.NoError(t, err)
		defer conn.Close()
		mustAnswer(t, conn, "GET /none/ HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusNotFound)
		idle = append(idle, conn)
	}
	for range 5 {
		conn, err := net.Dial("tcp", w.entries[0].String())
		must.NoError(t, err)
		defer conn.Close()
		mustAnswer(t, conn, "GET /none/ HTTP/1.1\r\nHost: h\r\n"+shortFields(8000)+"\r\n", http.StatusNotFound)
		mustAnswer(t, conn, "GET /none/ HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("a", 60<<10)+"\r\n\r\n", http.StatusNotFound)
	}
	time.Sleep(3 * time.Second)
	for _, conn := range idle {
		mustAnswer(t, conn, "GET /none/ HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusNotFound)
	}
}

// Guards against a crowd that ends running streams or idle connections while unfinished heads can be closed.
func TestCrowdEndsNoRunningStream(t *testing.T) {
	w := newBlameDeployment(t, crowdNetwork, false)
	limitMemory(t, w.settings[0])
	w.restart(t, 0)
	w.awaitOrdinaryAnswer(t)
	idle, err := net.Dial("tcp", w.entries[0].String())
	must.NoError(t, err)
	defer idle.Close()
	mustAnswer(t, idle, "GET /none/ HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusNotFound)
	var streams sync.WaitGroup
	replies := make([]standin.Reply, 10)
	for i := range replies {
		streams.Go(func() { replies[i] = w.sendEvents(t.Context(), 0, 150) })
	}
	time.Sleep(200 * time.Millisecond)
	crowd{first: callerStart + shortFields(2000)}.send(t, w.entries[0].String())
	streams.Wait()
	for _, r := range replies {
		must.Eq(t, http.StatusOK, r.Status, must.Sprint(r.Err))
		must.True(t, r.Whole)
	}
	mustAnswer(t, idle, "GET /none/ HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusNotFound)
}

// Guards against a crowd that keeps an entry from stopping by itself.
func TestEntryStopsBesideACrowd(t *testing.T) {
	for _, c := range append(callerCrowds()[:2], crowd{name: "idle connections"}) {
		t.Run(c.name, func(t *testing.T) {
			w := newBlameDeployment(t, crowdNetwork, false)
			limitMemory(t, w.settings[0])
			w.restart(t, 0)
			w.awaitOrdinaryAnswer(t)
			sending := c.start(t, w.entries[0].String())
			must.NoError(t, w.daemons[0].Process.Signal(syscall.SIGTERM))
			must.NoError(t, w.daemons[0].Wait())
			sending.Wait()
		})
	}
}

// limitMemory sets the memory of a VM in a settings file.
func limitMemory(t *testing.T, path string) {
	t.Helper()
	text, err := os.ReadFile(path)
	must.NoError(t, err)
	limited := fmt.Appendf(nil, "[limits]\nmemory_mb = %d\n", crowdMemory)
	must.NoError(t, os.WriteFile(path, bytes.Replace(text, []byte("[limits]\n"), limited, 1), 0o600))
}

// startProcess runs a process until the test ends.
func startProcess(t *testing.T, env []string, name string, args ...string) *exec.Cmd {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := exec.CommandContext(ctx, name, args...)
	c.Env = append(os.Environ(), env...)
	must.NoError(t, c.Start())
	t.Cleanup(func() {
		cancel()
		_ = c.Wait()
	})
	return c
}

// awaitOrdinaryAnswer waits until the first entry serves an ordinary request.
func (w *blameDeployment) awaitOrdinaryAnswer(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); w.send(t.Context(), 0, []string{"first"}).Status != 200; time.Sleep(50 * time.Millisecond) {
		must.True(t, time.Now().Before(deadline))
	}
}

// sendEvents sends an entry a request for a stream of events.
func (w *blameDeployment) sendEvents(ctx context.Context, entry, events int) standin.Reply {
	c, err := standin.Dial(ctx, w.entries[entry])
	if err != nil {
		return standin.Reply{Err: err}
	}
	defer c.Close()
	return c.Send(&standin.Request{
		ID: fmt.Sprintf("%016x", w.requests.Add(1)), Host: "h", Path: "/draft/", Model: "m", Prompt: 600, Events: events, Parts: []string{"first"}, Limit: 6 * time.Second,
	})
}

// awaitAnswer waits until a URL is answered with 200.
func awaitAnswer(t *testing.T, url string) {
	t.Helper()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		res, err := client.Get(url)
		if err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return
			}
		}
		must.True(t, time.Now().Before(deadline), must.Sprint(err))
	}
}

// mustAnswer sends a request on a connection and checks the status of the answer, which must leave the connection open.
func mustAnswer(t *testing.T, conn net.Conn, request string, status int) {
	t.Helper()
	must.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err := io.WriteString(conn, request)
	must.NoError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	_, err = io.Copy(io.Discard, res.Body)
	must.NoError(t, err)
	res.Body.Close()
	must.Eq(t, status, res.StatusCode)
}

// openDescriptors returns the number of a process's open descriptors.
func openDescriptors(t *testing.T, pid int) int {
	t.Helper()
	fds, err := os.ReadDir(filepath.Join("/proc", fmt.Sprint(pid), "fd"))
	must.NoError(t, err)
	return len(fds)
}

// peakMemory returns the most memory that a running process has had, in MB.
func peakMemory(t *testing.T, pid int) int {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	must.NoError(t, err)
	for line := range strings.Lines(string(b)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			var kb int
			_, err := fmt.Sscan(text, &kb)
			must.NoError(t, err)
			return kb >> 10
		}
	}
	t.Fatal("the process has ended")
	return 0
}
