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

// cancelTimeout bounds the request to an agent to cancel a stream.
const cancelTimeout = time.Second

// streamBinding is what a streamed reply is bound to from its first event on. Events
// from two engine starts, or from other weights, would make a mixed reply.
type streamBinding struct {
	// Owner is the agent whose engine runs the stream, Stream its ID there.
	Owner          string `json:"owner"`
	Stream         string `json:"stream"`
	EngineStart    string `json:"engineStart"`
	Version        string `json:"version"`
	Weights        string `json:"weights"`
	AdapterWeights string `json:"adapterWeights,omitempty"`
}

// resumeToken is what a caller needs to resume through another entry.
type resumeToken struct {
	Workspace string `json:"workspace"`
	Model     string `json:"model"`
	streamBinding
}

func (t resumeToken) encode() string {
	data, err := json.Marshal(t)
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(data)
}

func decodeResumeToken(text string) (resumeToken, error) {
	var t resumeToken
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return t, err
	}
	return t, json.Unmarshal(data, &t)
}

// resumeStream continues a stream that the caller started to read through another
// entry. If no event was read there is nothing to be bound to, and the request runs
// again.
func (g *generation) resumeStream() error {
	if g.request.Resume == "" || g.request.From == 0 {
		return nil
	}
	t, err := decodeResumeToken(g.request.Resume)
	if err != nil {
		return newRefusal(http.StatusBadRequest, "resume token: "+err.Error(), 0)
	}
	if t.Workspace != g.request.Workspace || t.Model != g.request.Model {
		return newRefusal(http.StatusBadRequest, "resume token: is of another workspace or model", 0)
	}
	g.streamBinding = t.streamBinding
	g.nextEvent = g.request.From
	g.cutTime = g.dispatcher.Clock.Now()
	klog.InfoS("Resume", "request", g.id, "agent", g.Owner, "from", g.nextEvent)
	return nil
}

// bindStream binds the reply to its first event.
func (g *generation) bindStream(e forwarder.Event, c *router.Choice, s *forwarder.Stream) error {
	if g.nextEvent > 0 {
		return nil
	}
	g.dispatcher.recordDuration(metricFirstToken, g.startedAt)
	g.Owner, g.EngineStart = c.AgentID, s.EngineStart
	g.Version, g.Weights, g.AdapterWeights = e.Version, e.Weights, e.AdapterWeights
	t := resumeToken{Workspace: g.request.Workspace, Model: g.request.Model, streamBinding: g.streamBinding}
	if err := g.sink.Start(t.encode()); err != nil {
		g.callerLeft = true
		return &finalError{failure: g.incompleteReply("the caller left")}
	}
	return nil
}

// cancelStream cancels the stream at the agent. A caller that still waits for its answer does not wait for
// that, since the agent may be unresponsive.
func (g *generation) cancelStream(ctx context.Context, c *router.Choice) {
	klog.InfoS("Cancel", "request", g.id, "event", g.nextEvent)
	if g.callerLeft || errors.Is(ctx.Err(), context.Canceled) {
		g.dispatcher.cancelStream(c.Address, g.Stream)
		return
	}
	go g.dispatcher.cancelStream(c.Address, g.Stream)
}

// cancelStream cancels an unread stream at an agent.
func (d *Dispatcher) cancelStream(agent netip.AddrPort, stream string) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	if err := d.Agents.Cancel(ctx, agent, stream); err != nil {
		klog.V(1).InfoS("Cancel failed", "stream", stream, "err", err)
	}
}
