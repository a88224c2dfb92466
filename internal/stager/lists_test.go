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

// send gives in how long so many bytes have passed at a rate in bytes a second.
func (p *pipe) send(bytes int, rate float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(float64(bytes) / rate * float64(time.Second)))
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
	// agentRate and originRate are the links' in bytes a second each way.
	agentRate, originRate float64
	// queued is how many bytes lie on each agent's link before a message.
	queued int
}

// client is that of one agent.
func (n *listNetwork) client(from *listAgent) *http.Client {
	return &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
		to := n.agents[r.URL.Host]
		if err := pass(r.Context(), n.busy()+max(from.up.send(callBytes, n.agentRate), to.down.send(callBytes, n.agentRate))+roundTrip/2); err != nil {
			return nil, err
		}
		answer := httptest.NewRecorder()
		to.Handler().ServeHTTP(answer, r)
		bytes := callBytes + answer.Body.Len()
		if err := pass(r.Context(), n.busy()+max(to.up.send(bytes, n.agentRate), from.down.send(bytes, n.agentRate))+roundTrip/2); err != nil {
			return nil, err
		}
		return answer.Result(), nil
	})}
}

// busy is how long what lies on a link before a message takes.
func (n *listNetwork) busy() time.Duration {
	return time.Duration(float64(n.queued) / n.agentRate * float64(time.Second))
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
	return o.list, pass(ctx, o.origin.send(digestBytes*len(o.list.SHA256), o.originRate)+roundTrip)
}

func (o *listOrigin) Chunk(context.Context, string, uint64, int, int64) ([]byte, error) {
	return nil, nil
}

// listSpread is a deployment whose agents all want a chunk list at the same moment.
type listSpread struct {
	agents, chunks        int
	agentRate, originRate float64
	// queued is how many bytes of chunks lie on each agent's link before a message, all the while.
	queued int
}

// play gives when each agent knows the list, the first one first.
func (s listSpread) play(t *testing.T) []time.Duration {
	n := &listNetwork{agents: map[string]*listAgent{}, agentRate: s.agentRate, originRate: s.originRate, queued: s.queued}
	list := stager.Digests{ChunkBytes: 24576}
	for i := range s.chunks {
		list.SHA256 = append(list.SHA256, fmt.Sprintf("%064x", i))
	}
	var all []netip.AddrPort
	for i := range s.agents {
		a := &listAgent{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)}
		a.Digester = &stager.Digester{Client: n.client(a), Upload: rate.NewLimiter(rate.Limit(s.agentRate), 8<<10)}
		a.SetOrigin(&listOrigin{n, list})
		n.agents[a.address.String()] = a
		all = append(all, a.address)
	}
	began := time.Now()
	known := make([]time.Duration, s.agents)
	var running sync.WaitGroup
	for i, address := range all {
		a := n.agents[address.String()]
		others := slices.Delete(slices.Clone(all), i, i+1)
		running.Go(func() {
			for ok := false; !ok; _, ok = a.Known("m", 2) {
				time.Sleep(stager.LearnEvery)
				a.LearnFrom(t.Context(), "m", 2, address, others, time.Since(began), stager.OriginStep(s.chunks, int64(s.originRate)))
			}
			known[i] = time.Since(began)
		})
	}
	running.Wait()
	slices.Sort(known)
	t.Logf("known after %v, half %v, last %v", known[0], known[s.agents/2], known[s.agents-1])
	return known
}

// Guards against agents that wait in line for a chunk list at the few that have it first, while all
// the others' links are idle.
func TestChunkListSpreadsToManyAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := listSpread{agents: 153, chunks: 96, agentRate: 7.3e6 / 8, originRate: 7.3e6 / 8}.play(t)
		must.Less(t, 400*time.Millisecond, known[152])
	})
}

// Guards against a chunk list that spreads slowly while another version's chunks saturate the agents'
// links: the origin, which may be unreachable soon, stands idle meanwhile.
func TestChunkListSpreadsBesideChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := listSpread{agents: 75, chunks: 48, agentRate: 9.4e6 / 8, originRate: 15e6 / 8, queued: 40_000}.play(t)
		must.Less(t, 300*time.Millisecond, known[37])
		must.Less(t, 500*time.Millisecond, known[74])
	})
}
