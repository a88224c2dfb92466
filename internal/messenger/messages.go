// Package messenger carries typed messages between the system's own processes:
// agents report to entries, entries reply with updates and exchange their state
// with each other. The protocol is JSON-RPC 2.0 over TCP, on bidirectional connections.
package messenger

import (
	"math/bits"
	"net/netip"
	"strings"
	"time"

	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// Kind is the kind of upstream that an agent serves.
type Kind string

// The kinds of upstream.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// GateState is whether an agent admits new requests.
type GateState string

// The states of an agent's gate.
const (
	// GateClosed admits no new requests.
	GateClosed GateState = "closed"
	// GateCold admits as many requests as a cold upstream can handle.
	GateCold GateState = "cold"
	// GateOpen admits as many requests as the measurements support.
	GateOpen GateState = "open"
)

// AgentState is an agent's report of its own state, sent on changes and at least
// once per heartbeat. Only the agent's own copy is exact; the state is out of date when
// an entry reads it.
type AgentState struct {
	// ID is the VM's name and survives restarts; Incarnation changes with every
	// start of the agent.
	ID            string `json:"id"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
	Kind          Kind   `json:"kind"`
	// Service is the name of the plain service, for KindService.
	Service string `json:"service,omitempty"`
	// Address accepts requests and serves chunks to other agents.
	Address netip.AddrPort `json:"address"`
	// Sequence increases with every report, so that late ones are dropped.
	Sequence uint64 `json:"sequence"`

	Gate GateState `json:"gate"`
	// Limit is the number of concurrent requests that the gate allows, Running the current number.
	Limit   int  `json:"limit"`
	Running int  `json:"running"`
	Leaving bool `json:"leaving,omitempty"`

	// Model, Version and Manifest are what the engine has verifiably loaded;
	// EngineStart is the engine's start id at that moment.
	Model       string   `json:"model,omitempty"`
	Version     string   `json:"version,omitempty"`
	Manifest    string   `json:"manifest,omitempty"`
	Adapters    []string `json:"adapters,omitempty"`
	EngineStart string   `json:"engineStart,omitempty"`
	// AdapterManifests are the adapters' manifests in the engine's order.
	AdapterManifests []string `json:"adapterManifests,omitempty"`

	// Revision and Digest identify the agent's current bundle.
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest,omitempty"`

	// Holdings are the weights in the agent's memory, complete or partial.
	Holdings []Holding `json:"holdings,omitempty"`
}

// Weights identifies all weights that the engine holds, in the form of bundler.Model.Weights.
func (s AgentState) Weights() string {
	return strings.Join(append([]string{s.Manifest}, s.AdapterManifests...), " ")
}

// Holding is what an agent holds of one set of weights.
type Holding struct {
	Manifest string `json:"manifest"`
	// Chunks is the number of chunks that the manifest lists; 0 while unknown.
	Chunks int `json:"chunks"`
	// Have is a bitmap of verified chunks, chunk i in bit i%8 of byte i/8.
	Have []byte `json:"have,omitempty"`
	// Bytes is the total size of the weights; 0 while unknown.
	Bytes int64 `json:"bytes,omitempty"`
}

// Freshness is how up to date a process's view of the bundle is. A Freshness that is
// forwarded from process to process can only get older.
type Freshness struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest,omitempty"`
	// AgeMS is the time in milliseconds since the store last confirmed Revision as the
	// newest, as known to the sender; -1 for never. An age requires no
	// synchronized clocks between VMs.
	AgeMS int64 `json:"ageMs"`
	// Outage states that, OutageAgeMS milliseconds ago, more than half of the
	// deployment's entries responded and none of them reached the store while
	// Revision was the highest known: an outage of the store and not a partition.
	Outage      bool  `json:"outage,omitempty"`
	OutageAgeMS int64 `json:"outageAgeMs,omitempty"`
	// Disconnected are the entries known not to reach the store. It is sent only while
	// the store seems to be down, so that each entry can count a majority without
	// querying all others itself.
	Disconnected []DisconnectedEntries `json:"silent,omitempty"`
}

// Age returns AgeMS as a duration; negative when the store never confirmed the revision.
func (w Freshness) Age() time.Duration { return time.Duration(w.AgeMS) * time.Millisecond }

// OutageAge returns OutageAgeMS as a duration.
func (w Freshness) OutageAge() time.Duration { return time.Duration(w.OutageAgeMS) * time.Millisecond }

// DisconnectedEntries lists entries of one region that failed to reach the store. Its ages
// only grow as it is forwarded from process to process.
type DisconnectedEntries struct {
	Region string `json:"region,omitempty"`
	// IDs are the low 32 bits of the XXH64 of the entries' names, which keeps the
	// list short in a large deployment.
	IDs []uint32 `json:"ids"`
	// AgesMS is, for each of IDs, the time since its failed attempt in milliseconds.
	AgesMS []int64 `json:"agesMs"`
}

// EntryState is an entry's report of its own state to other entries and agents.
type EntryState struct {
	ID            string `json:"id"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
	// Callers is the address for callers, Peers the one for the system's own processes.
	Callers netip.AddrPort `json:"callers"`
	Peers   netip.AddrPort `json:"peers"`
	Leaving bool           `json:"leaving,omitempty"`
	// Refusing entries accept no new requests, as their bundle was confirmed too long ago.
	Refusing bool `json:"refusing,omitempty"`
	// StoreReachable is whether this entry itself reached the store recently.
	StoreReachable bool      `json:"storeReachable"`
	Freshness      Freshness `json:"word"`
}

// Report is an agent's message to an entry, which replies with an Update. Entries also
// push an Update when the bundle changes.
type Report struct {
	// State is the full state; Heartbeat refers to the last one sent on this
	// connection when nothing relevant has changed.
	State     *AgentState `json:"state,omitempty"`
	Heartbeat *Heartbeat  `json:"beat,omitempty"`
	// Record is the agent's bundle, for an entry that reported an older one.
	Record *bundler.Record `json:"record,omitempty"`
}

// Heartbeat shows that an agent is alive. Most reports are heartbeats: the full state
// takes ten times the bytes and changes rarely.
type Heartbeat struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	Running     int    `json:"running"`
}

// EntryRef is the part of an entry's state that agents need.
type EntryRef struct {
	ID            string         `json:"id"`
	FailureDomain string         `json:"failureDomain"`
	Region        string         `json:"region"`
	Peers         netip.AddrPort `json:"peers"`
}

// Update brings an agent or an entry up to date.
type Update struct {
	Freshness Freshness `json:"word"`
	// Record is the bundle of Freshness.Revision, sent only to peers with an older one.
	Record *bundler.Record `json:"record,omitempty"`
	// Entries are the entries that the sender considers alive, for agents to report
	// to; sent on changes and every few seconds.
	Entries []EntryRef `json:"entries,omitempty"`
	// Resend requests the full state: the sender has no state of the agent that sent
	// the heartbeat.
	Resend bool `json:"resend,omitempty"`
	// Assignment is the model that this agent's engine should load.
	Assignment string `json:"assignment,omitempty"`
	// Holders are other agents with chunks that the receiver needs.
	Holders []Holder `json:"holders,omitempty"`
	// Leaving states that the platform lists the receiver's VM as leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Switch permits the agent to switch its engine to the new version now.
	Switch bool `json:"switch,omitempty"`
}

// Holder is an agent that holds chunks of some weights.
type Holder struct {
	ID            string         `json:"id"`
	FailureDomain string         `json:"failureDomain"`
	Region        string         `json:"region"`
	Address       netip.AddrPort `json:"address"`
	Holding       Holding        `json:"holding"`
}

// Exchange is the state that entries send each other periodically; the reply is the
// other entry's Exchange.
type Exchange struct {
	State  EntryState      `json:"state"`
	Record *bundler.Record `json:"record,omitempty"`
	// RequestRates are the requests per second that the sender receives for each workspace
	// with limits; the limits are divided among entries in proportion.
	RequestRates map[string]float64 `json:"asked,omitempty"`
	// OriginFetchers are the agents that fetch weights from the origin for the sender's
	// region, so that no two entries elect different ones.
	OriginFetchers []Holder `json:"drawers,omitempty"`
	// Demand is the number of running and waiting requests at the sender for each model and
	// service; full pools are divided among entries in proportion.
	Demand map[string]int `json:"demand,omitempty"`
}

// Complete reports whether all chunks are held.
func (h Holding) Complete() bool { return h.Chunks > 0 && h.Count() == h.Chunks }

// Count returns the number of chunks held.
func (h Holding) Count() int {
	n := 0
	for _, b := range h.Have {
		n += bits.OnesCount8(b)
	}
	return n
}

// HeldBytes estimates the number of bytes held.
func (h Holding) HeldBytes() int64 {
	if h.Chunks == 0 {
		return 0
	}
	return h.Bytes * int64(h.Count()) / int64(h.Chunks)
}
