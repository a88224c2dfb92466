package configurer

import (
	"net/netip"

	"github.com/integrii/flaggy"
)

// Agent contains the settings of `oriolecroft agent`.
type Agent struct {
	Listen         string   `envconfig:"LISTEN"`
	Operators      string   `envconfig:"OPERATORS"`
	Entries        []string `envconfig:"ENTRY_SEEDS"`
	Engine         string   `envconfig:"ENGINE"`
	Service        string   `envconfig:"SERVICE"`
	ServiceAddress string   `envconfig:"SERVICE_ADDRESS"`
	WeightStore    string   `envconfig:"WEIGHT_STORE"`
	Origin         string   `envconfig:"ORIGIN"`
	SourceRegion   string   `envconfig:"SOURCE_REGION"`
	Upload         int64    `envconfig:"UPLOAD"`
	Memory         int64    `envconfig:"MEMORY" default:"1073741824"`
	ColdLimit      int      `envconfig:"COLD_LIMIT" default:"1"`
	Limit          int      `envconfig:"LIMIT" default:"8"`
	ReportTo       int      `envconfig:"REPORT_TO" default:"9"`
	Common
}

// NewAgent reads the environment.
func NewAgent() (*Agent, error) {
	s := new(Agent)
	return s, readEnvironment(s)
}

// Bind adds the flags, whose defaults are the values from the environment.
func (s *Agent) Bind(sc *flaggy.Subcommand) {
	sc.String(&s.Listen, "", "listen", "address for requests from entries and chunks to agents [OC_LISTEN]")
	sc.String(&s.Operators, "", "operators", "address for status, metrics and health [OC_OPERATORS]")
	sc.StringSlice(&s.Entries, "", "entrySeeds", "peer addresses of some entries, with commas or repeated [OC_ENTRY_SEEDS]")
	sc.String(&s.Engine, "", "engine", "address of this VM's model engine [OC_ENGINE]")
	sc.String(&s.Service, "", "service", "name of this VM's plain service, in place of an engine [OC_SERVICE]")
	sc.String(&s.ServiceAddress, "", "serviceAddress", "address of that service [OC_SERVICE_ADDRESS]")
	sc.String(&s.WeightStore, "", "weightStore", "address of the weight store, asked before the origin [OC_WEIGHT_STORE]")
	sc.String(&s.Origin, "", "origin", "address of the origin of weights, asked last [OC_ORIGIN]")
	sc.String(&s.SourceRegion, "", "sourceRegion", "region of the weight store and origin; its agents fetch weights for all [OC_SOURCE_REGION]")
	sc.Int64(&s.Upload, "", "upload", "bytes a second for sending weights to other agents; 0 for no limit [OC_UPLOAD]")
	sc.Int64(&s.Memory, "", "memory", "bytes of memory for weights [OC_MEMORY]")
	sc.Int(&s.ColdLimit, "", "coldLimit", "how many concurrent requests a cold upstream may get [OC_COLD_LIMIT]")
	sc.Int(&s.Limit, "", "limit", "how many concurrent requests a warm upstream may get [OC_LIMIT]")
	sc.Int(&s.ReportTo, "", "reportTo", "how many entries get this agent's reports [OC_REPORT_TO]")
	s.Common.Bind(sc)
}

// AgentAddresses contains an agent's checked addresses; unset ones are invalid.
type AgentAddresses struct {
	Listen, Operators, Engine, Service, WeightStore, Origin netip.AddrPort
	Entries                                                 []netip.AddrPort
}

// Check reports all faults as one *FaultsError.
func (s *Agent) Check() (AgentAddresses, error) {
	c := new(checker)
	a := AgentAddresses{
		Listen:      c.address("listen", s.Listen),
		Operators:   c.optionalAddress("operators", s.Operators),
		Engine:      c.optionalAddress("engine", s.Engine),
		Service:     c.optionalAddress("serviceAddress", s.ServiceAddress),
		WeightStore: c.optionalAddress("weightStore", s.WeightStore),
		Origin:      c.optionalAddress("origin", s.Origin),
		Entries:     c.addresses("entrySeeds", s.Entries),
	}
	s.checkUpstream(c)
	c.atLeast("entrySeeds", len(splitList(s.Entries)), 1)
	c.atLeast("coldLimit", s.ColdLimit, 1)
	c.atLeast("limit", s.Limit, s.ColdLimit)
	c.atLeast("reportTo", s.ReportTo, 1)
	if s.Upload < 0 {
		c.addFault("upload", "%d bytes a second is negative; omit it for no limit", s.Upload)
	}
	if s.Memory <= 0 {
		c.addFault("memory", "%d bytes must be positive", s.Memory)
	}
	s.check(c, map[string]netip.AddrPort{"listen": a.Listen, "operators": a.Operators})
	return a, c.err()
}

// checkUpstream requires exactly one upstream, and for an engine a source of
// weights.
func (s *Agent) checkUpstream(c *checker) {
	switch {
	case s.Engine != "" && s.Service != "":
		c.addFault("engine", "give either an engine or a service, not both")
	case s.Engine != "":
		if s.WeightStore == "" && s.Origin == "" {
			c.addFault("origin", "an engine's agent needs --origin or --weightStore")
		}
	case s.Service != "":
		c.required("serviceAddress", s.ServiceAddress, "127.0.0.1:9000")
	default:
		c.addFault("engine", "give --engine, or --service with --serviceAddress")
	}
}
