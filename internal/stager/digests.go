package stager

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/bodyreader"
	"github.com/oriolecroft/oriolecroft/internal/fetcher"
	"github.com/oriolecroft/oriolecroft/internal/planner"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// Origin is the source of weights that no agent has.
type Origin interface {
	Digests(ctx context.Context, model string, version uint64) (Digests, error)
	// Chunk fetches a chunk of at most size bytes.
	Chunk(ctx context.Context, model string, version uint64, chunk int, size int64) ([]byte, error)
}

// Digests lists the chunks of a version by their SHA-256 in hexadecimal.
type Digests struct {
	ChunkBytes int64
	SHA256     []string
}

func (d Digests) equal(other Digests) bool {
	return d.ChunkBytes == other.ChunkBytes && slices.Equal(d.SHA256, other.SHA256)
}

// Digester learns which chunks make up a version, and stores the list. The origin identifies
// versions by number, the loader by the digest of their manifest. It is safe for concurrent use.
// Set the exported fields before use.
type Digester struct {
	// Client sends requests to other agents.
	Client *http.Client
	// Upload limits the lists sent to other agents, in bytes; nil means no limit. Requests beyond
	// it are refused, and the requester finds another agent that has received the list meanwhile.
	Upload *rate.Limiter

	mu       sync.Mutex
	versions map[versionKey]*version
	chunks   map[string]chunkOf
	origin   Origin
	// lastOriginRequest is how long each version had been wanted when the origin was last asked.
	lastOriginRequest map[versionKey]time.Duration
}

type versionKey struct {
	model   string
	version uint64
}

func (k versionKey) String() string { return k.model + "/" + strconv.FormatUint(k.version, 10) }

// version is a known version: its manifest's digest and body.
type version struct {
	digest string
	body   []byte
}

type chunkOf struct {
	versionKey
	chunk int
}

// VersionsPath is where agents serve the manifests of versions to each other.
const VersionsPath = "/versions/"

const (
	// listShare is the share of the origin's link for chunk lists while chunks are fetched.
	listShare = 0.3
	// listEntryBytes is a chunk's size in a list: its hexadecimal digest, quotes and a comma.
	listEntryBytes = 68
	// originListRequests is how many times the origin is asked for a list: with a corrupted list,
	// every correct chunk would look wrong.
	originListRequests = 2
	// defaultOriginStep is the OriginStep for an origin with an unknown link rate.
	defaultOriginStep = 50 * time.Millisecond
	// originRetryInterval is the least time after a failed request to the origin before an agent's
	// next.
	originRetryInterval = 400 * time.Millisecond
	// peerTimeout limits a request to another agent: a list of a hundred chunks takes 0.1 s on a
	// link of one megabit per second.
	peerTimeout = 250 * time.Millisecond
	// roundTimeout limits all requests of one round: the agent polls its engine only between
	// rounds.
	roundTimeout = 300 * time.Millisecond
	// maxPeersAsked is how many peers are asked in parallel each round: on links saturated with
	// chunks a response takes as long as a whole round on idle ones.
	maxPeersAsked = 6
)

// OriginStep is how long each agent waits for the agent before it in rank to ask the origin. All
// share the origin's link, and it accepts few connections. The link's rate is in bytes per second;
// 0 when unknown.
func OriginStep(chunks int, rate int64) time.Duration {
	if chunks <= 0 || rate <= 0 {
		return defaultOriginStep
	}
	lists := originListRequests * listEntryBytes * float64(chunks)
	return time.Duration(lists / (listShare * float64(rate)) * float64(time.Second))
}

// ManifestDigest returns the digest of a version's manifest.
func (d *Digester) ManifestDigest(model string, number uint64) (digest string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.versions[versionKey{model, number}]
	if v == nil {
		return "", false
	}
	return v.digest, true
}

// Learn tries to learn a version's manifest from the peers, or from the origin when this agent's
// rank is due, one step after the rank before it. Since is how long the version has been wanted.
// Peers are picked at random: if those ahead in rank were asked first, all lists would be sent over
// their links, and asking all peers in turn would wait for each one that is dead.
func (d *Digester) Learn(ctx context.Context, k versionKey, self string, peers []peerAgent, since, step time.Duration) {
	own := planner.Score(k.String(), self)
	rank := 0
	for _, p := range peers {
		if planner.Score(k.String(), p.id) > own {
			rank++
		}
	}
	if d.claimOriginTurn(k, time.Duration(rank)*step, since) && d.fromOrigin(ctx, k) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	d.fromPeers(ctx, k, peers)
}

// fromPeers asks a few peers in parallel, and returns at the first valid response.
func (d *Digester) fromPeers(ctx context.Context, k versionKey, peers []peerAgent) {
	picked := rand.Perm(len(peers))
	picked = picked[:min(len(picked), maxPeersAsked)]
	learned := make(chan bool, len(picked))
	for _, i := range picked {
		go func() { learned <- d.fromPeer(ctx, k, peers[i].chunks) }()
	}
	for range picked {
		if <-learned {
			return
		}
	}
}

// claimOriginTurn reports whether the origin may be asked, and records the request. After a failed
// request an agent waits for its rank's time once more. After a long outage of the origin every
// agent's first turn is due; if all asked at each attempt, they would take the origin's few
// connections at its return from the agents that fetch the chunks.
func (d *Digester) claimOriginTurn(k versionKey, turn, since time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, ok := d.lastOriginRequest[k]
	if since < turn || ok && since >= last && since-last < max(turn, originRetryInterval) {
		return false
	}
	if d.lastOriginRequest == nil {
		d.lastOriginRequest = map[versionKey]time.Duration{}
	}
	d.lastOriginRequest[k] = since
	return true
}

func (d *Digester) fromPeer(ctx context.Context, k versionKey, a netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+VersionsPath+k.String(), nil)
	if err != nil {
		return false
	}
	res, err := d.Client.Do(r)
	if err != nil {
		klog.V(1).InfoS("Manifest not received from peer", "peer", a, "version", k, "err", err)
		return false
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return false
	}
	m := new(fetcher.Manifest)
	body := bodyreader.Reader{Response: res}
	if err := body.ReadJSON(fetcher.MaxManifestBytes, m); err != nil {
		klog.InfoS("Manifest from peer not readable", "peer", a, "version", k, "err", err)
		return false
	}
	if m.Model != k.model || m.Version != strconv.FormatUint(k.version, 10) {
		return false
	}
	return d.store(k, m)
}

// fromOrigin requests both lists at once, since the link may be saturated with chunks.
func (d *Digester) fromOrigin(ctx context.Context, k versionKey) bool {
	d.mu.Lock()
	o := d.origin
	d.mu.Unlock()
	if o == nil {
		return false
	}
	var lists [originListRequests]Digests
	var errs [originListRequests]error
	var calls sync.WaitGroup
	for i := range lists {
		calls.Go(func() { lists[i], errs[i] = o.Digests(ctx, k.model, k.version) })
	}
	calls.Wait()
	if err := errors.Join(errs[:]...); err != nil {
		klog.InfoS("Chunk list not read from the origin", "version", k, "err", err)
		return false
	}
	if !lists[0].equal(lists[1]) {
		klog.InfoS("Origin sent two different chunk lists", "version", k)
		return false
	}
	return d.store(k, newManifest(k, lists[0]))
}

func newManifest(k versionKey, ds Digests) *fetcher.Manifest {
	m := &fetcher.Manifest{
		Model: k.model, Version: strconv.FormatUint(k.version, 10),
		ChunkSize: ds.ChunkBytes, Size: ds.ChunkBytes * int64(len(ds.SHA256)),
	}
	for _, sum := range ds.SHA256 {
		m.Chunks = append(m.Chunks, "sha256:"+strings.ToLower(sum))
	}
	return m
}

func (d *Digester) store(k versionKey, m *fetcher.Manifest) bool {
	body, err := json.Marshal(m)
	if err != nil {
		klog.ErrorS(err, "Manifest not encoded", "version", k)
		return false
	}
	digest := bundler.Digest(body)
	if _, err := fetcher.ParseManifest(digest, body); err != nil {
		klog.ErrorS(err, "Manifest not valid", "version", k)
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.versions[k] != nil {
		return true
	}
	if d.versions == nil {
		d.versions = map[versionKey]*version{}
		d.chunks = map[string]chunkOf{}
	}
	d.versions[k] = &version{digest: digest, body: body}
	for i, c := range m.Chunks {
		d.chunks[c] = chunkOf{k, i}
	}
	klog.InfoS("Manifest of version learned", "model", k.model, "version", k.version, "manifest", digest, "chunks", len(m.Chunks))
	return true
}

// SetOrigin sets the origin.
func (d *Digester) SetOrigin(o Origin) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.origin = o
}

// Handler serves the manifests of known versions to other agents.
func (d *Digester) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		model, number, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, VersionsPath), "/")
		n, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			http.NotFound(w, r)
			return
		}
		d.mu.Lock()
		v := d.versions[versionKey{model, n}]
		d.mu.Unlock()
		if v == nil {
			http.NotFound(w, r)
			return
		}
		if d.Upload != nil && !d.Upload.AllowN(time.Now(), min(len(v.body), d.Upload.Burst())) {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if _, err := w.Write(v.body); err != nil {
			klog.V(1).InfoS("Manifest of version not sent", "err", err)
		}
	})
}

var _ fetcher.Source = (*Digester)(nil)

// Manifest implements fetcher.Source.
func (d *Digester) Manifest(_ context.Context, digest string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range d.versions {
		if v.digest == digest {
			return v.body, nil
		}
	}
	return nil, &fetcher.NotHeldError{Source: "known versions", Digest: digest}
}

// Chunk implements fetcher.Source: it fetches a chunk from the origin.
func (d *Digester) Chunk(ctx context.Context, digest string, size int64) ([]byte, error) {
	d.mu.Lock()
	c, ok := d.chunks[digest]
	o := d.origin
	d.mu.Unlock()
	if !ok || o == nil {
		return nil, &fetcher.NotHeldError{Source: "origin", Digest: digest}
	}
	data, err := o.Chunk(ctx, c.model, c.version, c.chunk, size)
	if err != nil {
		return nil, &fetcher.UnavailableError{Source: "origin", Err: err}
	}
	return data, nil
}
