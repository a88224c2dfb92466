package configurer

import (
	"net/netip"
	"time"

	"github.com/integrii/flaggy"
)

// Common contains the settings that both daemons have.
type Common struct {
	ID            string        `envconfig:"ID"`
	FailureDomain string        `envconfig:"FAILURE_DOMAIN"`
	Region        string        `envconfig:"REGION"`
	FreshFor      time.Duration `envconfig:"FRESH_FOR" default:"2500ms"`
	Heartbeat     time.Duration `envconfig:"HEARTBEAT" default:"500ms"`
	Verbosity     int           `envconfig:"VERBOSITY"`
	ClientMemory  int64         `envconfig:"CLIENT_MEMORY" default:"134217728"`
	Signers
	TLS
}

// minClientMemory is the minimum memory for clients, in bytes.
const minClientMemory = 16 << 20

// Bind adds the flags, whose defaults are the values from the environment.
func (s *Common) Bind(sc *flaggy.Subcommand) {
	sc.String(&s.ID, "", "id", "name of this VM, unique in the deployment [OC_ID]")
	sc.String(&s.FailureDomain, "", "failureDomain", "failure domain of this VM [OC_FAILURE_DOMAIN]")
	sc.String(&s.Region, "", "region", "region of this VM [OC_REGION]")
	sc.Duration(&s.FreshFor, "", "freshFor", "how old the last confirmation of the bundle may be before new work is refused [OC_FRESH_FOR]")
	sc.Duration(&s.Heartbeat, "", "heartbeat", "how often processes send each other heartbeats [OC_HEARTBEAT]")
	sc.Int(&s.Verbosity, "", "verbosity", "how much is logged: 0 decisions, 1 failures of peers, 2 every message [OC_VERBOSITY]")
	sc.Int64(&s.ClientMemory, "", "clientMemory", "bytes of memory for connections and requests of all clients [OC_CLIENT_MEMORY]")
	s.Signers.Bind(sc)
	s.TLS.Bind(sc)
}

// check checks the settings of both daemons; listens has the listen addresses for
// other processes and operators, by setting.
func (s *Common) check(c *checker, listens map[string]netip.AddrPort) {
	c.required("id", s.ID, "vm-7")
	c.required("failureDomain", s.FailureDomain, "huon-a")
	c.required("region", s.Region, "huon")
	c.positive("freshFor", s.FreshFor)
	c.positive("heartbeat", s.Heartbeat)
	c.atLeast("verbosity", s.Verbosity, 0)
	if s.ClientMemory < minClientMemory {
		c.addFault("clientMemory", "%d bytes are too few for the largest request; give %d at least", s.ClientMemory, minClientMemory)
	}
	if s.Heartbeat > 0 && s.FreshFor < 3*s.Heartbeat {
		c.addFault("freshFor", "%v must be at least three heartbeats of %v, or one lost message stops new work", s.FreshFor, s.Heartbeat)
	}
	s.Signers.check(c)
	s.TLS.check(c, listens)
}
