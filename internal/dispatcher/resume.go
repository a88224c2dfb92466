package dispatcher

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"github.com/oriolecroft/oriolecroft/internal/forwarder"
	"github.com/oriolecroft/oriolecroft/internal/router"
)

// cancelTimeout bounds the word to an agent that a stream is not wanted.
const cancelTimeout = time.Second

// bond is what a streamed reply is bound to from its first event on. A reply
// whose events came from two engine starts, or from other weights, would be mixed.
type bond struct {
	// Owner is the agent whose engine runs the stream, Stream its name there.
	Owner          string `json:"owner"`
	Stream         string `json:"stream"`
	EngineStart    string `json:"engineStart"`
	Version        string `json:"version"`
	Weights        string `json:"weights"`
	AdapterWeights string `json:"adapterWeights,omitempty"`
}

// resumeToken is what a caller needs to read on through another entry.
type resumeToken struct {
	Workspace string `json:"workspace"`
	Model     string `json:"model"`
	bond
}

func (t resumeToken) encode() string {
	data, err := json.Marshal(t)
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(data)
}

func decodeResume(text string) (resumeToken, error) {
	var t resumeToken
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return t, err
	}
	return t, json.Unmarshal(data, &t)
}

// resume takes up a stream that the caller began to read through another entry.
// Without any event read there is nothing to be bound to, and the request is run
// anew.
func (g *generation) resume() error {
	if g.request.Resume == "" || g.request.From == 0 {
		return nil
	}
	t, err := decodeResume(g.request.Resume)
	if err != nil {
		return refuse(http.StatusBadRequest, "resume token: "+err.Error(), 0)
	}
	if t.Workspace != g.request.Workspace || t.Model != g.request.Model {
		return refuse(http.StatusBadRequest, "resume token: is of another workspace or model", 0)
	}
	g.bond = t.bond
	g.next = g.request.From
	g.cutAt = g.dispatcher.Clock.Now()
	klog.InfoS("Resume", "request", g.id, "agent", g.Owner, "from", g.next)
	return nil
}

// bind takes the reply's bond from its first event.
func (g *generation) bind(e forwarder.Event, c *router.Choice, s *forwarder.Stream) error {
	if g.next > 0 {
		return nil
	}
	g.dispatcher.time(figureFirstToken, g.began)
	g.Owner, g.EngineStart = c.AgentID, s.EngineStart
	g.Version, g.Weights, g.AdapterWeights = e.Version, e.Weights, e.AdapterWeights
	t := resumeToken{Workspace: g.request.Workspace, Model: g.request.Model, bond: g.bond}
	if err := g.sink.Begin(t.encode()); err != nil {
		g.left = true
		return &finalError{failure: g.ended("the caller left")}
	}
	return nil
}

// cancel tells the agent that nobody reads the stream any more. The agent may be silent: a caller that still
// waits for its answer doesn't wait for that.
func (g *generation) cancel(ctx context.Context, c *router.Choice) {
	klog.InfoS("Cancel", "request", g.id, "event", g.next)
	if g.left || errors.Is(ctx.Err(), context.Canceled) {
		g.dispatcher.cancel(c.Address, g.Stream)
		return
	}
	go g.dispatcher.cancel(c.Address, g.Stream)
}

// cancel tells an agent that nobody reads a stream any more.
func (d *Dispatcher) cancel(agent netip.AddrPort, stream string) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	if err := d.Agents.Cancel(ctx, agent, stream); err != nil {
		klog.V(1).InfoS("Cancel failed", "stream", stream, "err", err)
	}
}
