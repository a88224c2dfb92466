package stager_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/time/rate"

	"github.com/oriolecroft/oriolecroft/internal/stager"
)

const (
	// agentRate is an agent's link in bytes a second each way, and the origin's.
	agentRate = 7.3e6 / 8
	// roundTrip is that between two regions.
	roundTrip = 4 * time.Millisecond
	// callBytes is what a call and an answer without a body take on a link.
	callBytes = 250
)

// pipe is one way of a link: what is sent leaves in the order of the calls.
type pipe struct {
	mu   sync.Mutex
	free time.Time
}

// send gives in how long so many bytes have passed.
func (p *pipe) send(bytes int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(float64(bytes) / agentRate * float64(time.Second)))
	return p.free.Sub(now)
}

// listAgent is an agent with its link.
type listAgent struct {
	*stager.Digester
	address  netip.AddrPort
	up, down pipe
}

// listNetwork joins agents by calls that take as long as their links do.
type listNetwork struct {
	agents map[string]*listAgent
	origin pipe
}

// client is that of one agent.
func (n *listNetwork) client(from *listAgent) *http.Client {
	return &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
		to := n.agents[r.URL.Host]
		if err := pass(r.Context(), max(from.up.send(callBytes), to.down.send(callBytes))+roundTrip/2); err != nil {
			return nil, err
		}
		answer := httptest.NewRecorder()
		to.Handler().ServeHTTP(answer, r)
		bytes := callBytes + answer.Body.Len()
		if err := pass(r.Context(), max(to.up.send(bytes), from.down.send(bytes))+roundTrip/2); err != nil {
			return nil, err
		}
		return answer.Result(), nil
	})}
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func pass(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// listOrigin gives the chunk list of any version over its link.
type listOrigin struct {
	*listNetwork
	list stager.Digests
}

func (o *listOrigin) Digests(ctx context.Context, _ string, _ uint64) (stager.Digests, error) {
	const digestBytes = 68
	return o.list, pass(ctx, o.origin.send(digestBytes*len(o.list.SHA256))+roundTrip)
}

func (o *listOrigin) Chunk(context.Context, string, uint64, int) ([]byte, error) { return nil, nil }

// Guards against agents that wait in line for a chunk list at the few that have it first, while all
// the others' links are idle.
func TestChunkListSpreadsToManyAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const agents, chunks = 153, 96
		n := &listNetwork{agents: map[string]*listAgent{}}
		list := stager.Digests{ChunkBytes: 24576}
		for i := range chunks {
			list.SHA256 = append(list.SHA256, fmt.Sprintf("%064x", i))
		}
		var all []netip.AddrPort
		for i := range agents {
			a := &listAgent{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)}
			a.Digester = &stager.Digester{Client: n.client(a), Upload: rate.NewLimiter(agentRate, 8<<10)}
			a.SetOrigin(&listOrigin{n, list})
			n.agents[a.address.String()] = a
			all = append(all, a.address)
		}
		began := time.Now()
		known := make([]time.Duration, agents)
		var running sync.WaitGroup
		for i, address := range all {
			a := n.agents[address.String()]
			others := slices.Delete(slices.Clone(all), i, i+1)
			running.Go(func() {
				for ok := false; !ok; _, ok = a.Known("m", 2) {
					time.Sleep(stager.LearnEvery)
					a.LearnFrom(t.Context(), "m", 2, address, others, time.Since(began))
				}
				known[i] = time.Since(began)
			})
		}
		running.Wait()
		slices.Sort(known)
		t.Logf("known after %v, half %v, last %v", known[0], known[agents/2], known[agents-1])
		must.Less(t, 400*time.Millisecond, known[agents-1])
	})
}
