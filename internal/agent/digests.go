package agent

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"sync"

	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/driver"
	"github.com/oriolecroft/oriolecroft/internal/loader"
)

// maxDigests bounds the digests kept, since versions come and go for as long as an
// agent runs. A discarded digest is computed again when it is needed.
const maxDigests = 64

// digests caches the SHA-256 of all bytes of each manifest's weights. An engine states
// it in its events, while a manifest pins each chunk.
type digests struct {
	loader *loader.Loader

	mu         sync.Mutex
	byManifest map[string]string
}

// computeMissing computes the digests of those manifests that are whole in memory,
// each once.
func (d *digests) computeMissing(manifests []string) {
	for _, m := range manifests {
		if d.get(m) != "" {
			continue
		}
		digest, err := d.compute(m)
		if err != nil {
			// Not whole yet; a later step tries again.
			klog.V(2).InfoS("Digest not available yet", "manifest", m, "err", err)
			continue
		}
		d.put(m, digest)
	}
}

func (d *digests) compute(manifest string) (string, error) {
	r, err := d.loader.Weights(manifest)
	if err != nil {
		return "", err
	}
	h := sha256.New()
	if _, err := io.Copy(h, r); err != nil {
		return "", err
	}
	return "sha256:" + hex.EncodeToString(h.Sum(nil)), nil
}

// get returns the digest of all bytes of a manifest, or "" if it is not known.
func (d *digests) get(manifest string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byManifest[manifest]
}

func (d *digests) put(manifest, digest string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byManifest == nil || len(d.byManifest) >= maxDigests {
		d.byManifest = map[string]string{}
	}
	d.byManifest[manifest] = digest
}

// WrongWeightsError reports an engine that made tokens from other bytes than
// those of the manifest that it reports.
type WrongWeightsError struct {
	Manifest  string
	Want, Got string
}

func (e *WrongWeightsError) Error() string {
	return fmt.Sprintf("engine loaded %s under manifest %s, want %s", e.Got, e.Manifest, e.Want)
}

// checkEvent compares an event with the bytes of what the engine reports to hold. An
// agent that was replaced can't check events until it has the weights again.
func (d *digests) checkEvent(h driver.Health, adapter string, e driver.Event) error {
	if err := d.compareDigest(h.Manifest, e.Weights); err != nil {
		return err
	}
	for _, a := range h.Adapters {
		if a.Name == adapter {
			return d.compareDigest(a.Manifest, e.AdapterWeights)
		}
	}
	return nil
}

func (d *digests) compareDigest(manifest, got string) error {
	want := d.get(manifest)
	if want == "" || want == got {
		return nil
	}
	return &WrongWeightsError{Manifest: manifest, Want: want, Got: got}
}
