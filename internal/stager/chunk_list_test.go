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
	// roundTrip is the round-trip time between two regions.
	roundTrip = 4 * time.Millisecond
	// callBytes is the size of a request, and of a response without a body, on a link.
	callBytes = 250
)

// pipe is one direction of a link: messages are sent in the order of the calls.
type pipe struct {
	mu   sync.Mutex
	free time.Time
}

// send returns how long so many bytes take to pass at a rate in bytes per second.
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

// listNetwork connects agents by calls that take as long as their links require.
type listNetwork struct {
	agents map[string]*listAgent
	origin pipe
	// agentRate and originRate are the links' rates in bytes per second each way.
	agentRate, originRate float64
	// queuedBytes is how much is queued on each agent's link before a message.
	queuedBytes int
}

// client returns the client of one agent.
func (n *listNetwork) client(from *listAgent) *http.Client {
	return &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
		to := n.agents[r.URL.Host]
		if err := waitFor(r.Context(), n.queueDelay()+max(from.up.send(callBytes, n.agentRate), to.down.send(callBytes, n.agentRate))+roundTrip/2); err != nil {
			return nil, err
		}
		answer := httptest.NewRecorder()
		to.Handler().ServeHTTP(answer, r)
		bytes := callBytes + answer.Body.Len()
		if err := waitFor(r.Context(), n.queueDelay()+max(to.up.send(bytes, n.agentRate), from.down.send(bytes, n.agentRate))+roundTrip/2); err != nil {
			return nil, err
		}
		return answer.Result(), nil
	})}
}

// queueDelay is how long the bytes queued before a message take.
func (n *listNetwork) queueDelay() time.Duration {
	return time.Duration(float64(n.queuedBytes) / n.agentRate * float64(time.Second))
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func waitFor(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// listOrigin serves the chunk list of any version over its link.
type listOrigin struct {
	*listNetwork
	list stager.Digests
}

func (o *listOrigin) Digests(ctx context.Context, _ string, _ uint64) (stager.Digests, error) {
	const digestBytes = 68
	return o.list, waitFor(ctx, o.origin.send(digestBytes*len(o.list.SHA256), o.originRate)+roundTrip)
}

func (o *listOrigin) Chunk(context.Context, string, uint64, int, int64) ([]byte, error) {
	return nil, nil
}

// listSpread is a deployment whose agents all request a chunk list at the same moment.
type listSpread struct {
	agents, chunks        int
	agentRate, originRate float64
	// queuedBytes is how much of chunks is always queued on each agent's link before a message.
	queuedBytes int
}

// run returns when each agent has the list, in ascending order.
func (s listSpread) run(t *testing.T) []time.Duration {
	n := &listNetwork{agents: map[string]*listAgent{}, agentRate: s.agentRate, originRate: s.originRate, queuedBytes: s.queuedBytes}
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
			for ok := false; !ok; _, ok = a.ManifestDigest("m", 2) {
				time.Sleep(stager.LearnInterval)
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

// Guards against agents that queue for a chunk list at the few that have it first, while all other
// links are idle.
func TestChunkListSpreadsToManyAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := listSpread{agents: 153, chunks: 96, agentRate: 7.3e6 / 8, originRate: 7.3e6 / 8}.run(t)
		must.Less(t, 400*time.Millisecond, known[152])
	})
}

// Guards against a chunk list that spreads slowly while another version's chunks saturate the
// agents' links: the origin, which may be unreachable soon, is idle meanwhile.
func TestChunkListSpreadsBesideChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := listSpread{agents: 75, chunks: 48, agentRate: 9.4e6 / 8, originRate: 15e6 / 8, queuedBytes: 40_000}.run(t)
		must.Less(t, 300*time.Millisecond, known[37])
		must.Less(t, 500*time.Millisecond, known[74])
	})
}
