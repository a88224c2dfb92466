package loader

import (
	"github.com/oriolecroft/oriolecroft/internal/fetcher"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// Adopt takes over a manifest and those of its chunks that the caller has already,
// such as what the engine kept through a restart of its agent. Chunks whose digest
// is wrong are passed over. Without it every restart would draw the weights again.
func (l *Loader) Adopt(digest string, body []byte, chunks map[int][]byte) error {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	s, err := l.accept(digest, body)
	if err != nil {
		return err
	}
	m := s.manifest
	if s.transfer == nil && !l.admit(s, l.Clock.Now()) {
		return &IncompleteError{Manifest: digest, All: len(m.Chunks)}
	}
	for i, data := range chunks {
		if i < 0 || i >= len(m.Chunks) || bundler.Digest(data) != m.Chunks[i] {
			continue
		}
		l.gain(m.Chunks[i], data)
	}
	l.announce()
	l.nudge()
	return nil
}

// AddManifest takes over a manifest that the caller has already. Otherwise peers are asked for
// it first, over links that are saturated while weights spread.
func (l *Loader) AddManifest(digest string, body []byte) error {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err := l.accept(digest, body)
	l.nudge()
	return err
}

// accept keeps a manifest and gives its set.
func (l *Loader) accept(digest string, body []byte) (*set, error) {
	m, err := fetcher.ParseManifest(digest, body)
	if err != nil {
		return nil, err
	}
	l.open(digest)
	s := l.sets[digest]
	if s.manifest == nil {
		s.take(m, body)
	}
	return s, nil
}

// gain keeps verified bytes and tells all transfers that want them.
func (l *Loader) gain(digest string, data []byte) {
	c := l.chunks[digest]
	if c == nil || c.data != nil {
		return
	}
	c.data = data
	for _, s := range l.sets {
		if s.transfer == nil {
			continue
		}
		for _, i := range s.places[digest] {
			s.transfer.Gain(i)
		}
	}
}

// SetSourceRegion names where Sources stand, once that is known; transfers that
// have begun keep what they were started with.
func (l *Loader) SetSourceRegion(region string) {
	l.setUp()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.SourceRegion = region
}
