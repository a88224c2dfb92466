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

// readTokens reads a stream to its end and returns the tokens.
func readTokens(t *testing.T, text string) ([]string, error) {
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

func TestStreamReturnsAllTokens(t *testing.T) {
	digest := bundler.Digest([]byte("two pickers"))
	tokens, err := readTokens(t, ": comment\r\n"+events([]string{"two", "pickers"}, "sha256:a", digest))
	must.NoError(t, err)
	test.Eq(t, []string{"two", "pickers"}, tokens)
}

// Guards against a stream that counts as whole though the engine was killed during the
// reply or continued it with other weights after a restart: a text that ends early or
// comes from two models looks like a complete one.
func TestIncompleteStreamIsAnError(t *testing.T) {
	good := events([]string{"two", "pickers"}, "sha256:a", bundler.Digest([]byte("two pickers")))
	cut := good[:strings.Index(good, "data: {\"done\"")]
	_, err := readTokens(t, cut)
	test.Eq(t, 2, requireErrorAs[*driver.CutError](t, err).Events)
	mixed := map[string]string{
		"other weights":   strings.Replace(good, "sha256:a", "sha256:b", 1),
		"other version":   strings.Replace(good, "v1", "v2", 1),
		"lost event":      strings.Replace(good, `"index":1`, `"index":2`, 1),
		"too few tokens":  strings.Replace(good, `"tokens":2`, `"tokens":3`, 1),
		"another's token": strings.Replace(good, "two", "ten", 1),
	}
	for name, text := range mixed {
		t.Run(name, func(t *testing.T) {
			_, err := readTokens(t, text)
			checkErrorAs[*driver.InconsistentError](t, err)
		})
	}
}

// Guards against a faulty upstream that sends one endless line, which would fill the
// memory of the agent and evict the weights that it serves to other agents.
func TestStreamLimitsEventSize(t *testing.T) {
	_, err := readTokens(t, "data: "+strings.Repeat("x", driver.MaxEventBytes))
	checkErrorAs[*driver.ProtocolError](t, err)
}

func TestRefusalIsReported(t *testing.T) {
	address, _ := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error":"nothing loaded"}`)
	})
	e := driver.Engine{Address: address}
	_, err := e.Generate(t.Context(), driver.GenerateRequest{})
	test.Eq(t, "nothing loaded", requireErrorAs[*driver.RefusedError](t, err).Text)
	test.True(t, driver.NotSent(err))
}

// Guards against treating a fence refusal as a fault: orders of two agents for one
// engine overtake each other, and an engine that checks fences refuses the older one.
func TestStaleLoadReturnsFencedError(t *testing.T) {
	address, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		fmt.Fprint(w, `{"error":"old fence","fence":9}`)
	})
	e := driver.Engine{Address: address}
	_, err := e.Load(t.Context(), driver.LoadOrder{Fence: 4})
	test.Eq(t, driver.FencedError{Sent: 4, Fence: 9}, *requireErrorAs[*driver.FencedError](t, err))
}

func TestCheckEngineAndService(t *testing.T) {
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
