package stager

import (
	"context"
	"io"
	"maps"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/fetcher"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/internal/planner"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
)

const (
	// firstSwitch and lastSwitch are when, as parts of the bound after the naming of a
	// version, the first and the last engine of a service switch. An engine takes
	// nothing while its requests end and it loads, so all at once would leave callers
	// without any: the switches are spread over the time there is. Before the first,
	// few agents have the weights; after the last, one that is slow would pass the
	// bound.
	firstSwitch = 0.5
	lastSwitch  = 0.9
	// overrun is how much later than its turn a request may be expected to end. The
	// order waits for it, and fewer are turned away meanwhile. Of all requests of two
	// days with two versions each, 0.037 were refused with none, 0.024 with 0.6 s, 0.022
	// with 1 s, 0.021 with 1.5 s and 0.027 with 2.5 s.
	overrun = 1500 * time.Millisecond
	// expected is the share of a version's chunks from which an agent counts on
	// having it whole by the engine's turn.
	expected = 0.6
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

// target has the announced versions fetched, and gives the newest one that is complete
// here and whether it is this engine's turn to switch.
func (s *Stager) target(ctx context.Context, model string, held uint64) (version uint64, turn bool) {
	s.setOrigin()
	peers := s.peers()
	s.fetch(ctx, model, s.pending(model, held), peers)
	for v, _ := s.newest(); v > held; v-- {
		if s.whole(model, v) && !s.passing(v) {
			return v, held == 0 || s.turn(held)
		}
	}
	return held, false
}

// fetch has the first of the pending versions fetched and the others prefetched: the origin
// may become unreachable before the first is complete.
func (s *Stager) fetch(ctx context.Context, model string, pending []registrar.Announcement, peers []peerAgent) {
	s.unlisted = false
	maps.DeleteFunc(s.wantedAt, func(version uint64, _ time.Time) bool {
		return !slices.ContainsFunc(pending, func(n registrar.Announcement) bool { return n.Version == version })
	})
	var ahead []string
	for i, n := range pending {
		digest, ok := s.manifestDigest(ctx, model, n, peers)
		switch {
		case !ok:
			s.unlisted = true
		case i == 0:
			s.want(ctx, model, digest, peers)
		default:
			ahead = append(ahead, digest)
		}
	}
	s.Loader.Prefetch(ahead)
	s.setHolders(ahead, peers)
}

// manifestDigest gives the digest of a version's manifest once that is known, to the loader too.
func (s *Stager) manifestDigest(ctx context.Context, model string, n registrar.Announcement, peers []peerAgent) (digest string, ok bool) {
	if digest, ok = s.Digests.Known(model, n.Version); ok {
		return digest, true
	}
	s.Digests.Learn(ctx, versionKey{model, n.Version}, s.self(), peers, min(s.Clock.Since(n.Learned), s.wantedFor(n.Version)), s.originStep())
	if digest, ok = s.Digests.Known(model, n.Version); !ok {
		return "", false
	}
	body, err := s.Digests.Manifest(ctx, digest)
	if err == nil {
		err = s.Loader.AddManifest(digest, body)
	}
	if err != nil {
		klog.ErrorS(err, "Manifest not taken over", "agent", s.ID, "manifest", digest)
	}
	return digest, true
}

// origin is where weights come from, by the route table; nil when there is none.
func (s *Stager) origin() *matcher.Origin {
	for _, service := range s.Registrar.View().Table.Services {
		if service.Origin != nil {
			return service.Origin
		}
	}
	return nil
}

// originStep is how long each agent leaves the origin to the one before it in rank.
func (s *Stager) originStep() time.Duration {
	origin := s.origin()
	if origin == nil {
		return defaultOriginStep
	}
	return OriginStep(s.chunkCount(), origin.LinkRate)
}

func (s *Stager) setOrigin() {
	origin := s.origin()
	if origin == nil {
		return
	}
	if s.originAt != origin.Address {
		// A client made anew each time would leave its connections behind, and the
		// origin accepts only a few.
		s.originAt = origin.Address
		s.Digests.SetOrigin(s.Origin(s.originAt))
	}
	s.Loader.SetSourceRegion(s.Regions[origin.FailureDomain])
}

func (s *Stager) whole(model string, version uint64) bool {
	digest, ok := s.Digests.Known(model, version)
	if !ok {
		return false
	}
	_, whole := s.Loader.Whole(digest)
	return whole
}

// want has the loader fetch a version. What is whole already stays, as other agents
// may still need it.
func (s *Stager) want(ctx context.Context, model, digest string, peers []peerAgent) {
	s.preload(ctx, model, digest)
	digests := []string{digest}
	for _, p := range s.Loader.Progress() {
		if p.Manifest != digest && p.AllChunks > 0 && p.Chunks == p.AllChunks {
			digests = append(digests, p.Manifest)
		}
	}
	s.Loader.Want(digests)
	s.setHolders(digests, peers)
}

// setHolders names the other agents as possible holders of some manifests.
func (s *Stager) setHolders(digests []string, peers []peerAgent) {
	if len(digests) == 0 {
		return
	}
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

// preload takes over what already lies staged, once after the engine first answered. Engines that
// were there from the start have the first version staged, and those whose agent
// restarted what was there before.
func (s *Stager) preload(ctx context.Context, model, digest string) {
	if s.preloaded || s.engineStart.IsZero() {
		return
	}
	s.preloaded = true
	body, err := s.Digests.Manifest(ctx, digest)
	if err != nil {
		klog.ErrorS(err, "Manifest lost", "manifest", digest)
		return
	}
	m, err := fetcher.ParseManifest(digest, body)
	if err != nil {
		klog.ErrorS(err, "Manifest not read", "manifest", digest)
		return
	}
	there, err := s.Engine.StagedChunks(ctx, model)
	if err != nil {
		klog.ErrorS(err, "Staged chunks not listed", "agent", s.ID, "model", model)
	}
	staged := map[int][]byte{}
	for _, i := range there {
		data, err := s.Engine.Staged(ctx, model, i, m.ChunkSize)
		if err != nil {
			klog.InfoS("Staged chunk not read", "agent", s.ID, "chunk", i, "err", err)
			continue
		}
		staged[i] = data
	}
	if err := s.Loader.Adopt(digest, body, staged); err != nil {
		klog.ErrorS(err, "Staged chunks not taken over", "agent", s.ID)
		return
	}
	klog.InfoS("Staged chunks taken over", "agent", s.ID, "manifest", digest, "chunks", len(staged),
		"share", s.progressOf(digest))
}

func (s *Stager) chunkCount() int {
	e, _ := s.engine()
	if e == nil {
		return 0
	}
	return e.Chunks
}

// switchAt is when this engine should switch to a version named at the given time.
// The turns are dealt over the engines in the order of a hash of their addresses,
// which all agents see alike but for those that come and go; disagreement only makes
// the turns uneven.
func (s *Stager) switchAt(learned time.Time) time.Time {
	own, before, all := planner.Score(s.Service, s.self()), 0, 1
	for _, p := range s.peers() {
		all++
		if planner.Score(s.Service, p.id) < own {
			before++
		}
	}
	part := firstSwitch + (lastSwitch-firstSwitch)*float64(before)/float64(all)
	return learned.Add(time.Duration(part * float64(s.Bound)))
}

// turn tells whether it is this engine's turn to leave the version that it holds.
func (s *Stager) turn(held uint64) bool {
	at, superseded := s.superseded(held)
	return !superseded || !s.Clock.Now().Before(s.switchAt(at))
}

// announceSwitch has the ledger let in only what ends before this engine's turn,
// once the weights for it are sure to be here by then.
func (s *Stager) announceSwitch(model string, held uint64) {
	named, superseded := s.superseded(held)
	if !superseded || held == 0 {
		s.Ledger.OpenUntil(time.Time{})
		return
	}
	newer := s.after(held)
	here := slices.ContainsFunc(newer, func(n registrar.Announcement) bool { return s.whole(model, n.Version) })
	coming := slices.ContainsFunc(newer, func(n registrar.Announcement) bool { return s.progress(model, n.Version) >= expected })
	at := s.switchAt(named)
	// When the turn comes and the weights don't, as with the origin out of reach, the
	// engine goes on for as long as the bound allows.
	if here || coming && s.Clock.Now().Before(at) {
		s.Ledger.OpenUntil(at.Add(overrun))
		return
	}
	s.Ledger.OpenUntil(time.Time{})
}

// progress is the share of a version's chunks that are here.
func (s *Stager) progress(model string, version uint64) float64 {
	digest, ok := s.Digests.Known(model, version)
	if !ok {
		return 0
	}
	return s.progressOf(digest)
}

func (s *Stager) progressOf(digest string) float64 {
	for _, p := range s.Loader.Progress() {
		if p.Manifest == digest && p.AllChunks > 0 {
			return float64(p.Chunks) / float64(p.AllChunks)
		}
	}
	return 0
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
