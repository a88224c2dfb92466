// Package simulator runs loads on the product's own deciding code in virtual time: entries
// with delayed views of each other, agents with their ledgers, engines by package emulator, and
// callers that obey Retry-After or don't. It measures the worth of a changed decision before
// it is deployed.
package simulator

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/oriolecroft/oriolecroft/internal/ablator"
	"github.com/oriolecroft/oriolecroft/internal/matcher"
)

// Experiment is a deployment and a load on it, as read from a file.
type Experiment struct {
	// Base is a file in the same directory with the values of fields that this file omits; empty for none.
	Base string `toml:"base"`
	Name string `toml:"name"`
	// Length is how long callers arrive; the requests of the last ones run to their end.
	Length  time.Duration `toml:"length"`
	Engine  Engine        `toml:"engine"`
	Network Network       `toml:"network"`
	News    News          `toml:"news"`
	Retries Retries       `toml:"retries"`
	Callers Callers       `toml:"callers"`
	// FailureDomains hold the entries and engines.
	FailureDomains []FailureDomain `toml:"failureDomains"`
	Kinds          []Kind          `toml:"kinds"`
	Workspaces     []Workspace     `toml:"workspaces"`
	Surges         []Surge         `toml:"surges"`
	Faults         []Fault         `toml:"faults"`
	// Fatal are callers whose prompts crash engines.
	Fatal Fatal `toml:"fatal"`
	// Without are the mechanisms that are switched off.
	Without ablator.Set `toml:"without"`
}

// Engine holds the figures of all engines, those of matcher.Engine and further ones.
type Engine struct {
	Slots           int           `toml:"slots"`
	Stride          int           `toml:"stride"`
	Chunk           int           `toml:"chunk"`
	Step            time.Duration `toml:"step"`
	PerRequest      time.Duration `toml:"perRequest"`
	PerThousand     time.Duration `toml:"perThousand"`
	ReadPerSecond   float64       `toml:"readPerSecond"`
	PerMillionPairs time.Duration `toml:"perMillionPairs"`
	UsualPrompt     int           `toml:"usualPrompt"`
	UsualAnswer     int           `toml:"usualAnswer"`
	// Load is how long weights take to load after a start.
	Load time.Duration `toml:"load"`
	// Memory is in tokens; 0 for no limit.
	Memory int `toml:"memory"`
	// Queue is how many requests an engine queues beyond its batch.
	Queue int `toml:"queue"`
	// ColdRate is how many requests a second a cold engine can serve, ColdFactor and ColdSlack
	// the bound on the requests sent to it, and Cold how long it is cold after a start.
	ColdRate   float64       `toml:"coldRate"`
	ColdFactor float64       `toml:"coldFactor"`
	ColdSlack  float64       `toml:"coldSlack"`
	Cold       time.Duration `toml:"cold"`
	// Look is how often an agent polls its engine.
	Look time.Duration `toml:"look"`
}

func (e Engine) figures() *matcher.Engine {
	return &matcher.Engine{
		Slots: e.Slots, Stride: e.Stride, Chunk: e.Chunk, Step: e.Step, PerRequest: e.PerRequest, PerThousand: e.PerThousand,
		ReadPerSecond: e.ReadPerSecond, PerMillionPairs: e.PerMillionPairs, UsualPrompt: e.UsualPrompt, UsualAnswer: e.UsualAnswer,
		Models: []string{model}, Load: e.Load,
	}
}

// Network holds the one-way delays of messages.
type Network struct {
	SameDomain  time.Duration `toml:"sameDomain"`
	SameRegion  time.Duration `toml:"sameRegion"`
	OtherRegion time.Duration `toml:"otherRegion"`
	Callers     time.Duration `toml:"callers"`
	// Connect is the time of a new connection beyond its round trip.
	Connect time.Duration `toml:"connect"`
}

// News holds the delays with which changes reach entries.
type News struct {
	// Delay is the longest delay; each entry and change has its own, of half of it or more.
	Delay time.Duration `toml:"delay"`
	// Lapse is how long the record of an engine that is gone remains.
	Lapse time.Duration `toml:"lapse"`
}

// Retries bounds the attempts of entries beyond first ones.
type Retries struct {
	Ratio  float64       `toml:"ratio"`
	Slack  float64       `toml:"slack"`
	Window time.Duration `toml:"window"`
}

// Callers describes the behaviour of callers.
type Callers struct {
	// Ignoring is the share of callers that come back at once, up to Repeats times, and ignore
	// Retry-After.
	Ignoring float64 `toml:"ignoring"`
	Repeats  int     `toml:"repeats"`
	// Patience is the share by which callers' time limits vary.
	Patience float64 `toml:"patience"`
	// Hint is the error of callers' estimates of the answer's size, as the standard deviation
	// of their logarithm.
	Hint float64 `toml:"hint"`
}

// FailureDomain is the location of VMs.
type FailureDomain struct {
	Name    string `toml:"name"`
	Region  string `toml:"region"`
	Entries int    `toml:"entries"`
	Engines int    `toml:"engines"`
	// Callers is its share of all callers.
	Callers float64 `toml:"callers"`
}

// Kind is a kind of request.
type Kind struct {
	Name string `toml:"name"`
	// PerSecond is the mean number of arrivals a second over all entries.
	PerSecond float64 `toml:"perSecond"`
	// Objective is for the first event, PauseObjective for pauses between events.
	Objective      time.Duration `toml:"objective"`
	PauseObjective time.Duration `toml:"pauseObjective"`
	// Timeout is how long callers wait.
	Timeout     time.Duration `toml:"timeout"`
	MaxAttempts int           `toml:"maxAttempts"`
	// Retries is how often a refused caller comes back.
	Retries int     `toml:"retries"`
	Worth   float64 `toml:"worth"`
	// LateWorth is the worth of a late reply.
	LateWorth float64 `toml:"lateWorth"`
	Prompt    Size    `toml:"prompt"`
	Answer    Size    `toml:"answer"`
	// Priority is from 0 for the most urgent to 9; none if omitted.
	Priority *int `toml:"priority"`
}

// Size is a size in tokens that varies between requests.
type Size struct {
	Mean float64 `toml:"mean"`
	// Spread is the standard deviation as a share of the mean.
	Spread float64 `toml:"spread"`
	Most   int     `toml:"most"`
}

// Workspace is a customer that requests belong to.
type Workspace struct {
	Name string `toml:"name"`
	// Share is its share of all requests.
	Share float64 `toml:"share"`
	// Priority takes precedence over that of kinds; none if omitted.
	Priority *int `toml:"priority"`
}

// Surge is a period with more callers.
type Surge struct {
	At    time.Duration `toml:"at"`
	Lasts time.Duration `toml:"lasts"`
	// Factor multiplies the rate of callers of a kind; an empty Kind means all.
	Factor float64 `toml:"factor"`
	Kind   string  `toml:"kind"`
	// AtOnce, instead, is the number of callers of each kind that arrive at the same time.
	AtOnce int `toml:"atOnce"`
}

// The faults of an experiment.
const (
	// FaultCrash crashes engines: connections break, and they come back cold and with an empty memory.
	FaultCrash = "crash"
	// FaultReplace is FaultCrash with an engine that comes back under another ID, while the record of
	// its predecessor remains for News.Lapse.
	FaultReplace = "replace"
	// FaultSilent partitions the VMs of engines: they continue, but no messages go in or out.
	FaultSilent = "silent"
	// FaultSlow slows engines down by Pace.
	FaultSlow = "slow"
	// FaultAgentDown ends agents, while their engines continue.
	FaultAgentDown = "agentDown"
	// FaultNoWeights has engines refuse requests because they have no weights.
	FaultNoWeights = "noWeights"
	// FaultSwitch has engines switch to new weights one after the other within Lasts: each completes
	// its requests, accepts no new ones meanwhile, and loads.
	FaultSwitch = "switch"
	// FaultRest has engines reject requests and ask each entry for a backoff of Rest.
	FaultRest = "rest"
	// FaultLeave has engines state for Lasts that they are leaving, while their records don't, and then
	// come back as by FaultReplace.
	FaultLeave = "leave"
	// FaultTear has engines break replies off inside an event: each event is the last one by Chance. A request
	// whose reply another engine broke off fails by NextFails as well: it is cut again, answered 500, refused, or
	// gets no reply.
	FaultTear = "tear"
	// FaultUneven slows engines down by Pace at times: each draws every Every whether it is slow, by the chance Share.
	// They state that in their replies.
	FaultUneven = "uneven"
	// FaultPause has engines send no events for Lasts and then all that they made meanwhile.
	FaultPause = "pause"
)

// Fault is a fault of engines.
type Fault struct {
	Fault string        `toml:"fault"`
	At    time.Duration `toml:"at"`
	Lasts time.Duration `toml:"lasts"`
	// FailureDomain is the affected domain; empty for all. Share is the affected share of its engines.
	FailureDomain string  `toml:"failureDomain"`
	Share         float64 `toml:"share"`
	Pace          float64 `toml:"pace"`
	// Overrun is how much later than its engine's switch a request may be expected to
	// end.
	Overrun time.Duration `toml:"overrun"`
	Rest    time.Duration `toml:"rest"`
	Every   time.Duration `toml:"every"`
	Chance  float64       `toml:"chance"`
	// NextFails is the chance that a request that was broken off fails at the next engine too.
	NextFails float64 `toml:"nextFails"`
	// SlowFor is how long crashed engines are slower by Pace after each start, without stating it.
	SlowFor time.Duration `toml:"slowFor"`
	// Bears is the rate of requests a second above which they crash again within BearsFor of a start; 0 for any rate.
	Bears    int           `toml:"bears"`
	BearsFor time.Duration `toml:"bearsFor"`
	// Again is how often they crash again, each time UpFor after a start.
	Again int           `toml:"again"`
	UpFor time.Duration `toml:"upFor"`
}

// Fatal describes callers of a kind whose prompts have one part that crashes engines when they start to write
// an answer. They arrive at intervals for a time, each at any entry, and earn nothing.
type Fatal struct {
	At    time.Duration `toml:"at"`
	Lasts time.Duration `toml:"lasts"`
	// Every is the interval between two of them; 0 for none.
	Every time.Duration `toml:"every"`
	Kind  string        `toml:"kind"`
	// Down is how long a crashed engine takes to come back.
	Down time.Duration `toml:"down"`
}

// FileError reports an invalid experiment file.
type FileError struct {
	Path, Problem string
	Err           error
}

func (e *FileError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("experiment %s: %s: %v", e.Path, e.Problem, e.Err)
	}
	return fmt.Sprintf("experiment %s: %s", e.Path, e.Problem)
}

func (e *FileError) Unwrap() error { return e.Err }

// Load reads an experiment and its base. Errors are *FileError.
func Load(path string) (*Experiment, error) {
	e := &Experiment{}
	meta, err := e.read(path)
	if err != nil {
		return nil, err
	}
	if e.Base != "" {
		if e, err = mergeBase(filepath.Join(filepath.Dir(path), e.Base), path, meta); err != nil {
			return nil, err
		}
	}
	if problem := e.problem(); problem != "" {
		return nil, &FileError{Path: path, Problem: problem}
	}
	return e, nil
}

// mergeBase reads a base and then the file on top. Lists that the file defines replace those of
// the base: the decoder would otherwise merge the elements at the same index field by field.
func mergeBase(base, path string, meta toml.MetaData) (*Experiment, error) {
	merged := &Experiment{}
	if _, err := merged.read(base); err != nil {
		return nil, err
	}
	if merged.Base != "" {
		return nil, &FileError{Path: path, Problem: "its base has a base"}
	}
	if meta.IsDefined("failureDomains") {
		merged.FailureDomains = nil
	}
	if meta.IsDefined("kinds") {
		merged.Kinds = nil
	}
	if meta.IsDefined("workspaces") {
		merged.Workspaces = nil
	}
	if meta.IsDefined("surges") {
		merged.Surges = nil
	}
	if meta.IsDefined("faults") {
		merged.Faults = nil
	}
	_, err := merged.read(path)
	return merged, err
}

func (e *Experiment) read(path string) (toml.MetaData, error) {
	meta, err := toml.DecodeFile(path, e)
	if err != nil {
		return meta, &FileError{Path: path, Problem: "not read", Err: err}
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return meta, &FileError{Path: path, Problem: fmt.Sprintf("unknown field %s, known are %s", unknown[0], strings.Join(knownFields(), ", "))}
	}
	return meta, nil
}

// problem describes what is missing or invalid; empty if the experiment is valid.
func (e *Experiment) problem() string {
	entries, engines := 0, 0
	domains := map[string]bool{"": true}
	for _, d := range e.FailureDomains {
		entries += d.Entries
		engines += d.Engines
		domains[d.Name] = true
	}
	kinds := map[string]bool{"": true}
	for _, k := range e.Kinds {
		kinds[k.Name] = true
		if k.Prompt.Mean < 1 || k.Answer.Mean < 1 || k.Timeout <= 0 {
			return fmt.Sprintf("kind %q needs prompt, answer and timeout", k.Name)
		}
		if !validPriority(k.Priority) {
			return fmt.Sprintf("kind %q has a priority that isn't from 0 to 9", k.Name)
		}
	}
	for _, w := range e.Workspaces {
		if !validPriority(w.Priority) {
			return fmt.Sprintf("workspace %q has a priority that isn't from 0 to 9", w.Name)
		}
	}
	switch {
	case e.Length <= 0:
		return "length is missing"
	case entries == 0 || engines == 0:
		return "failureDomains have no entries or no engines"
	case e.Engine.Slots <= 0 || e.Engine.ReadPerSecond <= 0 || e.Engine.Step <= 0:
		return "engine needs slots, step and readPerSecond"
	case e.Engine.Look <= 0:
		return "engine needs look"
	case len(e.Kinds) == 0 || len(e.Workspaces) == 0:
		return "kinds or workspaces are missing"
	}
	for _, s := range e.Surges {
		if !kinds[s.Kind] {
			return fmt.Sprintf("surge of unknown kind %q", s.Kind)
		}
	}
	for _, m := range e.Without {
		if _, err := ablator.Parse(string(m)); err != nil {
			return err.Error()
		}
	}
	for _, f := range e.Faults {
		if problem := f.problem(domains); problem != "" {
			return problem
		}
	}
	return ""
}

func validPriority(p *int) bool {
	return p == nil || *p >= matcher.MostUrgent && *p <= matcher.LeastUrgent
}

func (f Fault) problem(domains map[string]bool) string {
	switch f.Fault {
	case FaultCrash, FaultReplace, FaultSilent, FaultSlow, FaultAgentDown, FaultNoWeights, FaultSwitch, FaultRest, FaultLeave, FaultTear, FaultPause, FaultUneven:
	default:
		return fmt.Sprintf("unknown fault %q", f.Fault)
	}
	if !domains[f.FailureDomain] {
		return fmt.Sprintf("fault in unknown failure domain %q", f.FailureDomain)
	}
	if (f.Fault == FaultSlow || f.Fault == FaultUneven) && f.Pace <= 1 {
		return "a slow engine needs a pace above 1"
	}
	if f.Fault == FaultUneven && (f.Every <= 0 || f.Share <= 0 || f.Share > 1) {
		return "engines of uneven pace need every and a share of up to 1"
	}
	if f.Fault == FaultRest && f.Rest <= 0 {
		return "engines that ask for rest need a rest"
	}
	if f.Fault == FaultTear && (f.Chance <= 0 || f.Chance > 1) {
		return "engines that break replies off need a chance of up to 1"
	}
	if problem := f.startProblem(); problem != "" {
		return problem
	}
	if f.NextFails < 0 || f.NextFails > 1 || f.NextFails > 0 && f.Fault != FaultTear {
		return "nextFails is a chance of up to 1 of engines that break replies off"
	}
	return ""
}

// startProblem is the problem with the fields of a fault that concern starts.
func (f Fault) startProblem() string {
	hasStartFaults := f.SlowFor > 0 || f.Bears > 0 || f.Again > 0
	switch {
	case !hasStartFaults:
		return ""
	case f.Fault != FaultCrash || f.Lasts <= 0:
		return "slowFor, bears and again are of engines that crash and come back"
	case f.SlowFor > 0 && f.Pace <= 1:
		return "slowFor needs a pace above 1"
	case f.Bears > 0 && f.BearsFor <= 0:
		return "bears needs bearsFor"
	case f.Again > 0 && f.UpFor <= 0:
		return "again needs upFor"
	default:
		return ""
	}
}
