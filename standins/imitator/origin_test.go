package imitator_test

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

func digest(body string) string {
	return fmt.Sprintf("sha256:%x", sha256.Sum256([]byte(body)))
}

func TestOriginServesPublishedWeights(t *testing.T) {
	publication := imitator.Publication{Model: "m", Version: "v1", Size: 100_000, ChunkSize: 40_000, Seed: 7}
	body, err := json.Marshal(publication)
	must.NoError(t, err)
	p := startServer(t, (&imitator.Origin{Rate: 1 << 30}).Handler())
	first := p.expect(200, "POST", "/admin/publish", string(body))
	must.Eq(t, first, p.expect(200, "POST", "/admin/publish", string(body)))
	var answer struct {
		Manifest string `json:"manifest"`
	}
	must.NoError(t, json.Unmarshal([]byte(first), &answer))
	text := p.expect(200, "GET", "/manifests/"+answer.Manifest, "")
	must.Eq(t, answer.Manifest, digest(text))
	var manifest struct {
		Chunks []string `json:"chunks"`
	}
	must.NoError(t, json.Unmarshal([]byte(text), &manifest))
	must.Len(t, 3, manifest.Chunks)
	for _, d := range manifest.Chunks {
		must.Eq(t, d, digest(p.expect(200, "GET", "/chunks/"+d, "")))
	}
	must.Eq(t, `{"chunkBytes":100000,"chunkRequests":3,"manifestRequests":1}`+"\n",
		p.expect(200, "GET", "/admin/counts", ""))

	p.expect(200, "POST", "/admin/faults", `{"corrupt":1}`)
	d := manifest.Chunks[0]
	must.NotEq(t, d, digest(p.expect(200, "GET", "/chunks/"+d, "")))
	p.expect(200, "POST", "/admin/faults", `{"down":true}`)
	p.expect(503, "GET", "/chunks/"+d, "")
}
