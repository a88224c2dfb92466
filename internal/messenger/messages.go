// Package messenger carries typed messages between the system's own processes:
// agents report to entries, entries answer with news and exchange what they know
// with each other. The wire is JSON-RPC 2.0 over TCP, kept open both ways.
package messenger

import (
	"math/bits"
	"net/netip"
	"strings"
	"time"

	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// Kind tells what an agent stands before.
type Kind string

// The kinds of upstream.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// GateState is whether an agent lets new work through.
type GateState string

// The states of an agent's gate.
const (
	// GateClosed lets nothing new through.
	GateClosed GateState = "closed"
	// GateCold lets through what a cold upstream bears.
	GateCold GateState = "cold"
	// GateOpen lets through as many as the evidence supports.
	GateOpen GateState = "open"
)

// AgentState is an agent's own account of itself, sent when it changes and at
// least once per heartbeat. Only the agent's word is exact; by the time an entry
// reads it, it is old.
type AgentState struct {
	// ID is the VM's name and outlives restarts; Incarnation is new with every
	// start of the agent.
	ID            string `json:"id"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
	Kind          Kind   `json:"kind"`
	// Service is the plain service's name, for KindService.
	Service string `json:"service,omitempty"`
	// Address takes requests and serves chunks to other agents.
	Address netip.AddrPort `json:"address"`
	// Sequence rises with every report, so that a late one is dropped.
	Sequence uint64 `json:"sequence"`

	Gate GateState `json:"gate"`
	// Limit is how many requests the gate lets run at once, Running how many do.
	Limit   int  `json:"limit"`
	Running int  `json:"running"`
	Leaving bool `json:"leaving,omitempty"`

	// Model, Version and Manifest are what the engine has proved to hold;
	// EngineStart is the engine's start id at that moment.
	Model       string   `json:"model,omitempty"`
	Version     string   `json:"version,omitempty"`
	Manifest    string   `json:"manifest,omitempty"`
	Adapters    []string `json:"adapters,omitempty"`
	EngineStart string   `json:"engineStart,omitempty"`
	// AdapterManifests are the adapters' manifests in the engine's order.
	AdapterManifests []string `json:"adapterManifests,omitempty"`

	// Revision and Digest name the bundle in force in the agent.
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest,omitempty"`

	// Holdings are the weights in the agent's memory, whole or in part.
	Holdings []Holding `json:"holdings,omitempty"`
}

// Weights names all that the engine holds, in the form of bundler.Model.Weights.
func (s AgentState) Weights() string {
	return strings.Join(append([]string{s.Manifest}, s.AdapterManifests...), " ")
}

// Holding is what an agent has of one set of weights.
type Holding struct {
	Manifest string `json:"manifest"`
	// Chunks is how many chunks the manifest lists; 0 while it is unknown.
	Chunks int `json:"chunks"`
	// Have is a bitmap of verified chunks, chunk i in bit i%8 of byte i/8.
	Have []byte `json:"have,omitempty"`
	// Bytes is the size of the whole weights; 0 while it is unknown.
	Bytes int64 `json:"bytes,omitempty"`
}

// Word is how fresh a process's knowledge of the bundle is. A Word that passes
// from process to process only ever ages.
type Word struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest,omitempty"`
	// AgeMS is how long ago, in milliseconds, the store last confirmed Revision
	// as the newest, as far as the sender knows; -1 when never. An age needs no
	// agreement of clocks between VMs.
	AgeMS int64 `json:"ageMs"`
	// Outage says that, OutageAgeMS milliseconds ago, more than half of the
	// deployment's entries were heard and none of them reached the store while
	// Revision was the highest known: an outage of the store and not a cut.
	Outage      bool  `json:"outage,omitempty"`
	OutageAgeMS int64 `json:"outageAgeMs,omitempty"`
	// Silent are the entries known not to reach the store. It is sent only while
	// the store seems out, so that each entry can count a majority without
	// asking all the others itself.
	Silent []Silence `json:"silent,omitempty"`
}

// Age is AgeMS as a duration; negative when the store was never heard.
func (w Word) Age() time.Duration { return time.Duration(w.AgeMS) * time.Millisecond }

// OutageAge is OutageAgeMS as a duration.
func (w Word) OutageAge() time.Duration { return time.Duration(w.OutageAgeMS) * time.Millisecond }

// Silence lists entries of one region that asked the store in vain. As it passes
// from process to process it only ever ages.
type Silence struct {
	Region string `json:"region,omitempty"`
	// IDs are the low 32 bits of the XXH64 of the entries' names, which keeps the
	// list short in a large deployment.
	IDs []uint32 `json:"ids"`
	// AgesMS tells for each of them how many milliseconds ago that was.
	AgesMS []int64 `json:"agesMs"`
}

// EntryState is an entry's account of itself towards other entries and agents.
type EntryState struct {
	ID            string `json:"id"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
	// Callers is where callers connect, Peers where our own processes do.
	Callers netip.AddrPort `json:"callers"`
	Peers   netip.AddrPort `json:"peers"`
	Leaving bool           `json:"leaving,omitempty"`
	// Refusing entries take no new work: their word on the bundle is too old.
	Refusing bool `json:"refusing,omitempty"`
	// StoreReachable is whether this entry itself heard the store lately.
	StoreReachable bool `json:"storeReachable"`
	Word           Word `json:"word"`
}

// Report is what an agent sends; News is the answer, and what an entry pushes
// by itself when the bundle changes.
type Report struct {
	// State is the whole account; Beat stands for the last one sent on this
	// connection when nothing that matters has changed.
	State *AgentState `json:"state,omitempty"`
	Beat  *Beat       `json:"beat,omitempty"`
	// Record is the agent's bundle, for an entry that named an older one.
	Record *bundler.Record `json:"record,omitempty"`
}

// Beat is an agent's sign of life. Most reports are beats: the whole account costs
// ten times the bytes, and changes seldom.
type Beat struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	Running     int    `json:"running"`
}

// EntryRef is what agents need to know of an entry.
type EntryRef struct {
	ID            string         `json:"id"`
	FailureDomain string         `json:"failureDomain"`
	Region        string         `json:"region"`
	Peers         netip.AddrPort `json:"peers"`
}

// News brings an agent or an entry up to date.
type News struct {
	Word Word `json:"word"`
	// Record is the bundle of Word.Revision, sent only to those who have less.
	Record *bundler.Record `json:"record,omitempty"`
	// Entries are those the sender believes alive, for agents to report to; sent
	// when they change and every few seconds.
	Entries []EntryRef `json:"entries,omitempty"`
	// Resend asks for the whole account: the sender knows nothing of the agent that
	// beats.
	Resend bool `json:"resend,omitempty"`
	// Assignment is the model that this agent's engine should hold.
	Assignment string `json:"assignment,omitempty"`
	// Holders are other agents with chunks that the receiver wants.
	Holders []Holder `json:"holders,omitempty"`
	// Leaving says that the platform lists the receiver's VM as leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Switch permits the agent to put its engine to the new version now.
	Switch bool `json:"switch,omitempty"`
}

// Holder is an agent that has chunks of some weights.
type Holder struct {
	ID            string         `json:"id"`
	FailureDomain string         `json:"failureDomain"`
	Region        string         `json:"region"`
	Address       netip.AddrPort `json:"address"`
	Holding       Holding        `json:"holding"`
}

// Exchange is what entries send each other periodically; the answer is the
// other's Exchange.
type Exchange struct {
	State  EntryState      `json:"state"`
	Record *bundler.Record `json:"record,omitempty"`
	// Asked is what callers ask of the sender for each workspace with limits, in
	// requests a second; the limits are divided among entries by it.
	Asked map[string]float64 `json:"asked,omitempty"`
	// OriginFetchers are the agents that draw weights from the origin for the sender's
	// region, so that no two entries elect different ones.
	OriginFetchers []Holder `json:"drawers,omitempty"`
	// Demand is how many requests run or wait at the sender for each model and
	// service; full pools are divided among entries by it.
	Demand map[string]int `json:"demand,omitempty"`
}

// Whole tells whether all chunks are there.
func (h Holding) Whole() bool { return h.Chunks > 0 && h.Count() == h.Chunks }

// Count is how many chunks are there.
func (h Holding) Count() int {
	n := 0
	for _, b := range h.Have {
		n += bits.OnesCount8(b)
	}
	return n
}

// Held is about how many bytes are there.
func (h Holding) Held() int64 {
	if h.Chunks == 0 {
		return 0
	}
	return h.Bytes * int64(h.Count()) / int64(h.Chunks)
}
