package stager

import (
	"context"
	"io"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/planner"
)

const (
	// waves is in how many groups the engines of a service switch to a new version.
	// An engine takes nothing while its requests end and it loads, so that all at once
	// would leave the callers without any.
	waves = 3
	// firstWave is when, after the naming, the first group may switch; nextWave is
	// the time from one group to the next: about what an engine needs to finish its
	// requests and load. The last group must be done before the bound.
	firstWave = 2500 * time.Millisecond
	nextWave  = 1500 * time.Millisecond
	// keepHalf is the share of an older version's chunks from which its transfer goes
	// on beside a newer one's.
	keepHalf = 0.5
)

// peerAgent is the agent beside another engine of the service.
type peerAgent struct {
	id, failureDomain, region string
	chunks                    netip.AddrPort
}

func (s *Stager) peers() []peerAgent {
	var ps []peerAgent
	for _, u := range s.Registrar.View().Service(s.Service) {
		if u.Address == s.Address {
			continue
		}
		ps = append(ps, peerAgent{
			id: u.Address.String(), failureDomain: u.FailureDomain, region: s.Regions[u.FailureDomain],
			chunks: netip.AddrPortFrom(u.Address.Addr(), s.ChunkPort),
		})
	}
	return ps
}

// self names this agent among the others.
func (s *Stager) self() string { return s.Address.String() }

// named is the version that the engine should hold, and how long ago it was named.
// Engines that are there from the start may hold the first without its being named.
func (s *Stager) named(model string) (version uint64, age time.Duration) {
	if w, ok := s.Registrar.View().Weights(model); ok {
		return w.Version, s.Clock.Since(w.Learned)
	}
	return 1, time.Hour
}

// target has the named versions fetched, and gives the newest one that is whole
// here and whether it is this engine's turn to switch.
func (s *Stager) target(ctx context.Context, model string, held uint64) (version uint64, turn bool) {
	s.setOrigin()
	named, age := s.named(model)
	peers := s.peers()
	if digest, ok := s.Digests.Known(model, named); !ok {
		s.Digests.Learn(ctx, versionKey{model, named}, s.self(), peers, age)
	} else {
		s.want(ctx, model, named, digest, peers)
	}
	for v := named; v > held && v > 0; v-- {
		if digest, ok := s.Digests.Known(model, v); ok {
			if _, whole := s.Loader.Whole(digest); whole {
				return v, held == 0 || s.turn(model, v)
			}
		}
	}
	return held, false
}

func (s *Stager) setOrigin() {
	for _, service := range s.Registrar.View().Table.Services {
		if service.Origin != nil {
			if s.originAt != service.Origin.Address {
				// A client made anew each time would leave its connections behind, and the
				// origin accepts only a few.
				s.originAt = service.Origin.Address
				s.Digests.SetOrigin(s.Origin(s.originAt))
			}
			s.Loader.SetSourceRegion(s.Regions[service.Origin.FailureDomain])
			return
		}
	}
}

// want has the loader fetch a version, with an older one that is nearly there.
func (s *Stager) want(ctx context.Context, model string, named uint64, digest string, peers []peerAgent) {
	s.preload(ctx, model, digest)
	digests := []string{digest}
	for _, p := range s.Loader.Progress() {
		if p.Manifest != digest && p.AllChunks > 0 && float64(p.Chunks) >= keepHalf*float64(p.AllChunks) {
			digests = append(digests, p.Manifest)
		}
	}
	s.Loader.Want(digests)
	var hs []messenger.Holder
	for _, p := range peers {
		for _, d := range digests {
			hs = append(hs, messenger.Holder{
				ID: p.id, FailureDomain: p.failureDomain, Region: p.region, Address: p.chunks,
				Holding: messenger.Holding{Manifest: d},
			})
		}
	}
	s.Loader.SetHolders(hs)
}

// preload takes over what already lies staged, once after the start. Engines that
// were there from the start have the first version staged, and those whose agent
// restarted what was there before.
func (s *Stager) preload(ctx context.Context, model, digest string) {
	if s.preloaded {
		return
	}
	s.preloaded = true
	body, err := s.Digests.Manifest(ctx, digest)
	if err != nil {
		klog.ErrorS(err, "Manifest lost", "manifest", digest)
		return
	}
	staged := map[int][]byte{}
	for i := range s.chunkCount() {
		data, err := s.Engine.Staged(ctx, model, i)
		if err != nil {
			// An empty engine has nothing; one question is enough.
			klog.InfoS("Nothing more staged", "agent", s.ID, "chunk", i, "err", err)
			break
		}
		staged[i] = data
	}
	if err := s.Loader.Adopt(digest, body, staged); err != nil {
		klog.ErrorS(err, "Staged chunks not taken over", "agent", s.ID)
		return
	}
	klog.InfoS("Staged chunks taken over", "agent", s.ID, "manifest", digest, "chunks", len(staged))
}

func (s *Stager) chunkCount() int {
	e, _ := s.engine()
	if e == nil {
		return 0
	}
	return e.Chunks
}

// turn tells whether this engine's wave has come. The waves are dealt over the
// engines in the order of their addresses, which all agents see alike but for
// those that come and go; disagreement only makes waves uneven.
func (s *Stager) turn(model string, version uint64) bool {
	w, ok := s.Registrar.View().Weights(model)
	if !ok || w.Version != version {
		return true
	}
	ids := []string{s.self()}
	for _, p := range s.peers() {
		ids = append(ids, p.id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		x, y := planner.Score(model, a), planner.Score(model, b)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	wave := slices.Index(ids, s.self()) % waves
	return s.Clock.Since(w.Learned) >= firstWave+time.Duration(wave)*nextWave
}

// chunks gives a whole version's chunks in order.
func (s *Stager) chunks(model string, version uint64) ([][]byte, bool) {
	digest, ok := s.Digests.Known(model, version)
	if !ok {
		return nil, false
	}
	m, ok := s.Loader.Whole(digest)
	if !ok {
		return nil, false
	}
	weights, err := s.Loader.Weights(digest)
	if err != nil {
		klog.ErrorS(err, "Weights not readable", "agent", s.ID, "manifest", digest)
		return nil, false
	}
	chunks := make([][]byte, len(m.Chunks))
	for i := range chunks {
		chunks[i] = make([]byte, m.ChunkBytes(i))
		if _, err := io.ReadFull(weights, chunks[i]); err != nil {
			klog.ErrorS(err, "Weights not readable", "agent", s.ID, "manifest", digest)
			return nil, false
		}
	}
	return chunks, true
}
