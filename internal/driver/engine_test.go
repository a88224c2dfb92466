package driver_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/driver"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// events writes a stream of the tokens, all from weights w, and its end.
func events(tokens []string, w, digest string) string {
	var b strings.Builder
	for i, t := range tokens {
		fmt.Fprintf(&b, "data: {\"index\":%d,\"token\":%q,\"version\":\"v1\",\"weights\":%q}\n\n", i, t, w)
	}
	fmt.Fprintf(&b, "data: {\"done\":true,\"tokens\":%d,\"version\":\"v1\",\"weights\":%q,\"digest\":%q}\n\n", len(tokens), w, digest)
	return b.String()
}

// read takes a stream to its end and gives the tokens.
func read(t *testing.T, text string) ([]string, error) {
	t.Helper()
	address, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) })
	e := driver.Engine{Address: address}
	s, err := e.Generate(t.Context(), driver.GenerateRequest{RequestID: "r", Prompt: "p", MaxTokens: 2})
	must.NoError(t, err)
	defer s.Close()
	var tokens []string
	for {
		v, err := s.Next()
		if errors.Is(err, io.EOF) {
			return tokens, nil
		}
		if err != nil {
			return tokens, err
		}
		if !v.Done {
			tokens = append(tokens, v.Token)
		}
	}
}

func TestStreamGivesAllTokens(t *testing.T) {
	digest := bundler.Digest([]byte("two pickers"))
	tokens, err := read(t, ": comment\r\n"+events([]string{"two", "pickers"}, "sha256:a", digest))
	must.NoError(t, err)
	test.Eq(t, []string{"two", "pickers"}, tokens)
}

// An engine is killed in the middle of a reply, or goes on after a restart with
// other weights. The caller must hear that the roster draft is not whole: one
// that ends early or is made of two models looks just like a good one.
func TestStreamIsWholeOrAnError(t *testing.T) {
	good := events([]string{"two", "pickers"}, "sha256:a", bundler.Digest([]byte("two pickers")))
	cut := good[:strings.Index(good, "data: {\"done\"")]
	_, err := read(t, cut)
	test.Eq(t, 2, as[*driver.CutError](t, err).Events)
	mixed := map[string]string{
		"other weights":   strings.Replace(good, "sha256:a", "sha256:b", 1),
		"other version":   strings.Replace(good, "v1", "v2", 1),
		"lost event":      strings.Replace(good, `"index":1`, `"index":2`, 1),
		"too few tokens":  strings.Replace(good, `"tokens":2`, `"tokens":3`, 1),
		"another's token": strings.Replace(good, "two", "ten", 1),
	}
	for name, text := range mixed {
		t.Run(name, func(t *testing.T) {
			_, err := read(t, text)
			is[*driver.MixedError](t, err)
		})
	}
}

// An upstream gone wrong sends one line without end. Read as it comes it would
// fill the memory of the agent, and with it go the weights it serves to others.
func TestStreamBoundsALine(t *testing.T) {
	_, err := read(t, "data: "+strings.Repeat("x", driver.MaxEventBytes))
	is[*driver.ProtocolError](t, err)
}

func TestEngineRefuses(t *testing.T) {
	address, _ := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error":"nothing loaded"}`)
	})
	e := driver.Engine{Address: address}
	_, err := e.Generate(t.Context(), driver.GenerateRequest{})
	test.Eq(t, "nothing loaded", as[*driver.RefusedError](t, err).Text)
	test.True(t, driver.NotSent(err))
}

// Two agents' orders for one engine cross: the older arrives last. An engine
// that heeds fences says so, and the agent must not take it for a fault.
func TestLoadIsFenced(t *testing.T) {
	address, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		fmt.Fprint(w, `{"error":"old fence","fence":9}`)
	})
	e := driver.Engine{Address: address}
	_, err := e.Load(t.Context(), driver.LoadOrder{Fence: 4})
	test.Eq(t, driver.FencedError{Sent: 4, Fence: 9}, *as[*driver.FencedError](t, err))
}

func TestCheckBothKinds(t *testing.T) {
	address, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(driver.EngineState{StartID: "s", UptimeMS: 1500, Cold: true, Version: "v1"})
	})
	for _, u := range []driver.Upstream{&driver.Engine{Address: address}, &driver.Service{Address: address}} {
		h, err := driver.Check(t.Context(), u)
		must.NoError(t, err)
		test.Eq(t, "s", h.StartID)
		test.Eq(t, 1500*time.Millisecond, h.Uptime)
		test.True(t, h.Cold)
	}
}
