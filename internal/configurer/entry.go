package configurer

import (
	"net/netip"
	"time"

	"github.com/integrii/flaggy"
)

// Entry contains the settings of `oriolecroft entry`.
type Entry struct {
	Callers     string        `envconfig:"CALLERS"`
	Peers       string        `envconfig:"PEERS"`
	Operators   string        `envconfig:"OPERATORS"`
	Store       string        `envconfig:"STORE"`
	List        string        `envconfig:"LIST"`
	Seeds       []string      `envconfig:"SEEDS"`
	StoreRegion string        `envconfig:"STORE_REGION"`
	Entries     int           `envconfig:"ENTRIES" default:"9"`
	KeepFor     time.Duration `envconfig:"KEEP_FOR" default:"2s"`
	Deadline    time.Duration `envconfig:"DEADLINE" default:"60s"`
	QueueFor    time.Duration `envconfig:"QUEUE_FOR" default:"2s"`
	ResumeFor   time.Duration `envconfig:"RESUME_FOR" default:"5s"`
	StallFor    time.Duration `envconfig:"STALL_FOR" default:"3s"`
	Concurrent  int           `envconfig:"CONCURRENT" default:"512"`
	Common
}

// NewEntry reads the environment.
func NewEntry() (*Entry, error) {
	s := new(Entry)
	return s, readEnvironment(s)
}

// Bind adds the flags, whose defaults are the values from the environment.
func (s *Entry) Bind(sc *flaggy.Subcommand) {
	sc.String(&s.Callers, "", "callers", "address on which callers connect [OC_CALLERS]")
	sc.String(&s.Peers, "", "peers", "address on which agents and other entries connect [OC_PEERS]")
	sc.String(&s.Operators, "", "operators", "address for status, metrics and health [OC_OPERATORS]")
	sc.String(&s.Store, "", "store", "address of the platform's key-value service [OC_STORE]")
	sc.String(&s.List, "", "list", "address of the platform's list of VMs [OC_LIST]")
	sc.StringSlice(&s.Seeds, "", "seeds", "peer addresses of some other entries, with commas or repeated [OC_SEEDS]")
	sc.String(&s.StoreRegion, "", "storeRegion", "region of the key-value service, whose entries detect its outages [OC_STORE_REGION]")
	sc.Int(&s.Entries, "", "entries", "how many entries the deployment has [OC_ENTRIES]")
	sc.Duration(&s.KeepFor, "", "keepFor", "how long callers may keep the list of entries [OC_KEEP_FOR]")
	sc.Duration(&s.Deadline, "", "deadline", "longest time for one request [OC_DEADLINE]")
	sc.Duration(&s.QueueFor, "", "queueFor", "longest time a request waits in the queue for a replica [OC_QUEUE_FOR]")
	sc.Duration(&s.ResumeFor, "", "resumeFor", "how long a stream that was cut waits for its agent to return [OC_RESUME_FOR]")
	sc.Duration(&s.StallFor, "", "stallFor", "how long an agent may send nothing before an attempt is given up [OC_STALL_FOR]")
	sc.Int(&s.Concurrent, "", "concurrent", "how many concurrent requests this entry serves [OC_CONCURRENT]")
	s.Common.Bind(sc)
}

// EntryAddresses contains an entry's checked addresses.
type EntryAddresses struct {
	Callers, Peers, Operators, Store, List netip.AddrPort
	Seeds                                  []netip.AddrPort
}

// Check reports all faults as one *FaultsError.
func (s *Entry) Check() (EntryAddresses, error) {
	c := new(checker)
	a := EntryAddresses{
		Callers:   c.address("callers", s.Callers),
		Peers:     c.address("peers", s.Peers),
		Operators: c.address("operators", s.Operators),
		Store:     c.address("store", s.Store),
		List:      c.optionalAddress("list", s.List),
		Seeds:     c.addresses("seeds", s.Seeds),
	}
	c.atLeast("entries", s.Entries, 1)
	c.atLeast("concurrent", s.Concurrent, 1)
	c.positive("keepFor", s.KeepFor)
	c.positive("deadline", s.Deadline)
	c.positive("queueFor", s.QueueFor)
	c.positive("resumeFor", s.ResumeFor)
	c.positive("stallFor", s.StallFor)
	s.check(c, map[string]netip.AddrPort{"peers": a.Peers, "operators": a.Operators})
	return a, c.err()
}
