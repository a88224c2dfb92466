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

// Origin is where weights come from when no agent has them.
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

// Digester learns which chunks make up a version, and keeps it. The origin names
// versions by number, the loader by the digest of their manifest. It is safe for
// concurrent use. Set the exported fields before use.
type Digester struct {
	// Client asks other agents.
	Client *http.Client
	// Upload bounds the lists sent to other agents, in bytes; nil means no bound. Who asks beyond
	// it is refused, and finds one that has got the list meanwhile.
	Upload *rate.Limiter

	mu       sync.Mutex
	versions map[versionKey]*version
	chunks   map[string]chunkOf
	origin   Origin
	// asked is for how long each version had been wanted when the origin was last asked.
	asked map[versionKey]time.Duration
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

// VersionsPath is where agents tell each other a version's manifest.
const VersionsPath = "/versions/"

const (
	// listShare is the part of the origin's link that chunk lists may take while chunks are fetched.
	listShare = 0.3
	// digestBytes is what a chunk takes in a list: its digest in hexadecimal, with quotes and a comma.
	digestBytes = 68
	// originLists is how many times the origin is asked for a list: a spoilt one would make every right
	// chunk look wrong.
	originLists = 2
	// defaultOriginStep is OriginStep for an origin whose link isn't known.
	defaultOriginStep = 50 * time.Millisecond
	// askOriginAgain is the least time until an agent that asked the origin without success asks
	// again.
	askOriginAgain = 400 * time.Millisecond
	// peerTimeout bounds a question to another agent: the list of a hundred chunks takes
	// 0.1 s on a link of a megabit a second.
	peerTimeout = 250 * time.Millisecond
	// roundTimeout bounds all questions of one round: the agent looks at its engine only
	// between two rounds.
	roundTimeout = 300 * time.Millisecond
	// othersAsked is how many peers are asked each time, all together: on links that are saturated
	// with chunks an answer takes as long as a whole round on idle ones.
	othersAsked = 6
)

// OriginStep is how long each agent leaves the origin to the one before it in rank. The origin's link
// is shared by all, and it takes few connections. The link's rate is in bytes a second; 0 when it isn't
// known.
func OriginStep(chunks int, rate int64) time.Duration {
	if chunks <= 0 || rate <= 0 {
		return defaultOriginStep
	}
	lists := originLists * digestBytes * float64(chunks)
	return time.Duration(lists / (listShare * float64(rate)) * float64(time.Second))
}

// Known gives the digest of a version's manifest.
func (d *Digester) Known(model string, number uint64) (digest string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.versions[versionKey{model, number}]
	if v == nil {
		return "", false
	}
	return v.digest, true
}

// Learn tries to learn a version's manifest from the other agents, or from the origin when this agent's
// rank is due, a step after the one before it. Since is for how long it has been wanted. Peers are
// picked at random: were those in rank before the others asked first, all lists would leave over their
// links, and who asks all in turn waits for each one that is dead.
func (d *Digester) Learn(ctx context.Context, k versionKey, self string, peers []peerAgent, since, step time.Duration) {
	own := planner.Score(k.String(), self)
	rank := 0
	for _, p := range peers {
		if planner.Score(k.String(), p.id) > own {
			rank++
		}
	}
	if d.takeTurn(k, time.Duration(rank)*step, since) && d.fromOrigin(ctx, k) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	d.fromPeers(ctx, k, peers)
}

// fromPeers asks a few peers together, and leaves the others' answers as soon as one is good.
func (d *Digester) fromPeers(ctx context.Context, k versionKey, peers []peerAgent) {
	order := rand.Perm(len(peers))
	order = order[:min(len(order), othersAsked)]
	learned := make(chan bool, len(order))
	for _, i := range order {
		go func() { learned <- d.fromPeer(ctx, k, peers[i].chunks) }()
	}
	for range order {
		if <-learned {
			return
		}
	}
}

// takeTurn tells whether the origin may be asked now, and notes that it is. Who asked in vain
// leaves it to those before it for as long once more. When the origin has been down for a
// while, every agent's first turn has come; were all to ask at each look, they would take the
// origin's few connections at its return from those that draw the chunks.
func (d *Digester) takeTurn(k versionKey, turn, since time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, ok := d.asked[k]
	if since < turn || ok && since >= last && since-last < max(turn, askOriginAgain) {
		return false
	}
	if d.asked == nil {
		d.asked = map[versionKey]time.Duration{}
	}
	d.asked[k] = since
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
		klog.V(1).InfoS("Agent did not tell a version", "peer", a, "version", k, "err", err)
		return false
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return false
	}
	m := new(fetcher.Manifest)
	body := bodyreader.Reader{Response: res}
	if err := body.ReadJSON(fetcher.MaxManifestBytes, m); err != nil {
		klog.InfoS("Agent told a version that can't be read", "peer", a, "version", k, "err", err)
		return false
	}
	if m.Model != k.model || m.Version != strconv.FormatUint(k.version, 10) {
		return false
	}
	return d.keep(k, m)
}

// fromOrigin asks the origin for both lists at once, since the link may be saturated with chunks.
func (d *Digester) fromOrigin(ctx context.Context, k versionKey) bool {
	d.mu.Lock()
	o := d.origin
	d.mu.Unlock()
	if o == nil {
		return false
	}
	var lists [originLists]Digests
	var errs [originLists]error
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
		klog.InfoS("Origin gave two different chunk lists", "version", k)
		return false
	}
	return d.keep(k, manifest(k, lists[0]))
}

func manifest(k versionKey, ds Digests) *fetcher.Manifest {
	m := &fetcher.Manifest{
		Model: k.model, Version: strconv.FormatUint(k.version, 10),
		ChunkSize: ds.ChunkBytes, Size: ds.ChunkBytes * int64(len(ds.SHA256)),
	}
	for _, sum := range ds.SHA256 {
		m.Chunks = append(m.Chunks, "sha256:"+strings.ToLower(sum))
	}
	return m
}

func (d *Digester) keep(k versionKey, m *fetcher.Manifest) bool {
	body, err := json.Marshal(m)
	if err != nil {
		klog.ErrorS(err, "Manifest not encoded", "version", k)
		return false
	}
	digest := bundler.Digest(body)
	if _, err := fetcher.ParseManifest(digest, body); err != nil {
		klog.ErrorS(err, "Manifest of no use", "version", k)
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
	klog.InfoS("Version known", "model", k.model, "version", k.version, "manifest", digest, "chunks", len(m.Chunks))
	return true
}

// SetOrigin names the origin.
func (d *Digester) SetOrigin(o Origin) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.origin = o
}

// Handler tells other agents the manifests of known versions.
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
			klog.V(1).InfoS("Version not sent", "err", err)
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

// Chunk implements fetcher.Source: it draws a chunk from the origin.
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
