// Package simulator plays loads on the product's own deciding code in virtual time: entries
// with late views of each other, agents with their ledgers, engines by package emulator, and
// callers that come back as told or don't. It answers what a change of a decision is worth
// before it runs anywhere.
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

// Experiment is a deployment and a load on it, as a file tells them.
type Experiment struct {
	// Base is a file whose fields hold where this one has none, beside it; empty for none.
	Base string `toml:"base"`
	Name string `toml:"name"`
	// Length is how long callers come; what they began is played to its end.
	Length  time.Duration `toml:"length"`
	Engine  Engine        `toml:"engine"`
	Network Network       `toml:"network"`
	News    News          `toml:"news"`
	Retries Retries       `toml:"retries"`
	Callers Callers       `toml:"callers"`
	// FailureDomains are where entries and engines stand.
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

// Engine are the figures of all engines, those of matcher.Engine and some besides.
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
	// ColdRate is how many requests a second a cold engine bears, ColdFactor and ColdSlack
	// the bound on what it may get, and Cold how long it is cold after a start.
	ColdRate   float64       `toml:"coldRate"`
	ColdFactor float64       `toml:"coldFactor"`
	ColdSlack  float64       `toml:"coldSlack"`
	Cold       time.Duration `toml:"cold"`
	// Look is how often its agent asks an engine how it does.
	Look time.Duration `toml:"look"`
}

func (e Engine) figures() *matcher.Engine {
	return &matcher.Engine{
		Slots: e.Slots, Stride: e.Stride, Chunk: e.Chunk, Step: e.Step, PerRequest: e.PerRequest, PerThousand: e.PerThousand,
		ReadPerSecond: e.ReadPerSecond, PerMillionPairs: e.PerMillionPairs, UsualPrompt: e.UsualPrompt, UsualAnswer: e.UsualAnswer,
		Models: []string{model}, Load: e.Load,
	}
}

// Network is how long messages take, one way.
type Network struct {
	SameDomain  time.Duration `toml:"sameDomain"`
	SameRegion  time.Duration `toml:"sameRegion"`
	OtherRegion time.Duration `toml:"otherRegion"`
	Callers     time.Duration `toml:"callers"`
	// Connect is what a new connection takes beyond its round trip.
	Connect time.Duration `toml:"connect"`
}

// News is how late entries hear what changes.
type News struct {
	// Delay is the longest; each entry and change has its own from half of it on.
	Delay time.Duration `toml:"delay"`
	// Lapse is how long the record of an engine that is gone stays.
	Lapse time.Duration `toml:"lapse"`
}

// Retries bound what entries send beyond first attempts.
type Retries struct {
	Ratio  float64       `toml:"ratio"`
	Slack  float64       `toml:"slack"`
	Window time.Duration `toml:"window"`
}

// Callers is how callers behave.
type Callers struct {
	// Ignoring is the share of callers that come back at once, up to Repeats times, whatever
	// they are told.
	Ignoring float64 `toml:"ignoring"`
	Repeats  int     `toml:"repeats"`
	// Patience is by which share callers' time limits differ.
	Patience float64 `toml:"patience"`
	// Hint is how far callers' guesses of the answer's size are off, as the standard
	// deviation of their logarithm.
	Hint float64 `toml:"hint"`
}

// FailureDomain is where VMs stand.
type FailureDomain struct {
	Name    string `toml:"name"`
	Region  string `toml:"region"`
	Entries int    `toml:"entries"`
	Engines int    `toml:"engines"`
	// Callers is its part of all callers.
	Callers float64 `toml:"callers"`
}

// Kind is a kind of request.
type Kind struct {
	Name string `toml:"name"`
	// PerSecond is how many come in a second over all.
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
	// LateWorth is what a late reply is worth.
	LateWorth float64 `toml:"lateWorth"`
	Prompt    Size    `toml:"prompt"`
	Answer    Size    `toml:"answer"`
	// Priority is from 0 for the most urgent to 9; none where it isn't given.
	Priority *int `toml:"priority"`
}

// Size is a size in tokens that differs from request to request.
type Size struct {
	Mean float64 `toml:"mean"`
	// Spread is the standard deviation as a share of the mean.
	Spread float64 `toml:"spread"`
	Most   int     `toml:"most"`
}

// Workspace is whom requests are for.
type Workspace struct {
	Name string `toml:"name"`
	// Share is its part of all requests.
	Share float64 `toml:"share"`
	// Priority takes precedence over that of kinds; none where it isn't given.
	Priority *int `toml:"priority"`
}

// Surge is a time in which more callers come.
type Surge struct {
	At    time.Duration `toml:"at"`
	Lasts time.Duration `toml:"lasts"`
	// Factor is by how much more, Kind of which kind; empty for all.
	Factor float64 `toml:"factor"`
	Kind   string  `toml:"kind"`
	// AtOnce is how many callers of each kind come in the same moment, instead.
	AtOnce int `toml:"atOnce"`
}

// The faults of an experiment.
const (
	// FaultCrash ends engines: connections break, and they come back cold and without memory.
	FaultCrash = "crash"
	// FaultReplace is FaultCrash with an engine that comes back under another ID, while the record of
	// the one before stays for News.Lapse.
	FaultReplace = "replace"
	// FaultSilent cuts the VMs of engines off: they work on, and nothing goes in or out.
	FaultSilent = "silent"
	// FaultSlow has engines work slower by Pace.
	FaultSlow = "slow"
	// FaultAgentDown ends agents, while their engines work on.
	FaultAgentDown = "agentDown"
	// FaultNoWeights has engines take nothing for want of weights.
	FaultNoWeights = "noWeights"
	// FaultSwitch has engines switch to new weights one after the other within Lasts: each ends
	// its requests, takes no new ones meanwhile, and loads.
	FaultSwitch = "switch"
	// FaultRest has engines turn requests away and ask each entry for a rest of Rest.
	FaultRest = "rest"
	// FaultLeave has engines state for Lasts that they leave, while their records don't, and then come
	// back as by FaultReplace.
	FaultLeave = "leave"
	// FaultTear has engines break replies off inside an event: each event is the last one by Chance. A request
	// whose reply another engine broke off fails by NextFails as well: it is cut again, answered 500, refused, or
	// gets nothing.
	FaultTear = "tear"
	// FaultUneven has engines work slower by Pace now and then: each draws every Every whether it does, by the chance
	// Share. They state that in their replies.
	FaultUneven = "uneven"
	// FaultPause has engines send nothing for Lasts and then go on, with all that they made meanwhile.
	FaultPause = "pause"
)

// Fault is something that befalls engines.
type Fault struct {
	Fault string        `toml:"fault"`
	At    time.Duration `toml:"at"`
	Lasts time.Duration `toml:"lasts"`
	// FailureDomain is where; empty for all. Share is the part of the engines there.
	FailureDomain string  `toml:"failureDomain"`
	Share         float64 `toml:"share"`
	Pace          float64 `toml:"pace"`
	// Overrun is how much later than its engine's turn to switch a request may be expected to
	// end.
	Overrun time.Duration `toml:"overrun"`
	Rest    time.Duration `toml:"rest"`
	Every   time.Duration `toml:"every"`
	Chance  float64       `toml:"chance"`
	// NextFails is the chance of a request that broke off to fail at the next engine too.
	NextFails float64 `toml:"nextFails"`
	// SlowFor is for how long engines that have crashed work by Pace after each start, without stating it.
	SlowFor time.Duration `toml:"slowFor"`
	// Bears is above how many requests a second they crash again within BearsFor of a start; 0 for any.
	Bears    int           `toml:"bears"`
	BearsFor time.Duration `toml:"bearsFor"`
	// Again is how often they crash again, each time UpFor after a start.
	Again int           `toml:"again"`
	UpFor time.Duration `toml:"upFor"`
}

// Fatal are callers of a kind whose prompts have one part that crashes engines as they begin to write an
// answer. They come every so often for a time, each over any entry, and earn nothing.
type Fatal struct {
	At    time.Duration `toml:"at"`
	Lasts time.Duration `toml:"lasts"`
	// Every is the pause between two of them; 0 for none.
	Every time.Duration `toml:"every"`
	Kind  string        `toml:"kind"`
	// Down is how long a crashed engine takes to come back.
	Down time.Duration `toml:"down"`
}

// FileError reports an experiment that can't be played.
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

// over reads a base and then the file over it. Lists that the file names replace those of the
// base: the reader would else fill in, field by field, what stands at the same position.
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

// problem is what is missing or makes no sense; empty when nothing is.
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

// startProblem is problem for what a fault says of starts.
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
