package stager

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/planner"
)

// stagedAhead is what lies staged of a version whose order has not been given yet.
type stagedAhead struct {
	version uint64
	chunks  planner.Bitmap
}

// aheadAtOnce bounds the chunks that are staged between two looks at the engine, so that
// a restart of the engine is still noticed soon: each takes about a millisecond.
const aheadAtOnce = 32

// stageAhead stages the chunks of the coming version as they arrive, long before its
// order. A VM keeps nothing but what lies staged: when all agents lose their memory at
// once, as after a loss of power everywhere, the weights would otherwise have to come
// from the origin again, which takes as long as the first time, and nothing could be
// served meanwhile. The version staged before is lost by this; should the engine alone
// restart, the agent still has it in memory.
func (s *Stager) stageAhead(ctx context.Context, model string, held, whole uint64) {
	version := whole
	if version <= held {
		version = s.pending(model, held)[0].Version
	}
	digest, ok := s.Digests.Known(model, version)
	if !ok || version <= held {
		return
	}
	if s.ahead.version != version {
		s.ahead = stagedAhead{version: version, chunks: planner.NewBitmap(s.chunkCount())}
	}
	began, staged := s.Clock.Now(), 0
	for i := range s.chunkCount() {
		if s.ahead.chunks.Has(i) {
			continue
		}
		data, ok := s.Loader.Chunk(digest, i)
		if !ok {
			continue
		}
		if err := s.Engine.Stage(ctx, model, i, data); err != nil {
			klog.ErrorS(err, "Chunk not staged ahead", "agent", s.ID, "model", model, "version", version, "chunk", i)
			return
		}
		s.ahead.chunks.Set(i)
		if staged++; staged >= aheadAtOnce {
			break
		}
	}
	if staged > 0 && s.ahead.chunks.Count() == s.chunkCount() {
		klog.InfoS("Weights staged ahead", "agent", s.ID, "model", model, "version", version, "held", held,
			"lastStagedIn", s.Clock.Since(began))
	}
}
