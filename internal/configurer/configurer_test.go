package configurer_test

import (
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/integrii/flaggy"
	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/internal/configurer"
	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// parse returns an agent's settings from the environment and a command line.
func parse(t *testing.T, args ...string) *configurer.Agent {
	t.Helper()
	s, err := configurer.NewAgent()
	must.NoError(t, err)
	sc := flaggy.NewSubcommand("agent")
	s.Bind(sc)
	p := flaggy.NewParser("oriolecroft")
	p.AttachSubcommand(sc, 1)
	must.NoError(t, p.ParseArgs(append([]string{"agent"}, args...)))
	return s
}

// validArgs returns valid flags, with more after them.
func validArgs(t *testing.T, more ...string) []string {
	t.Helper()
	public, _, err := bundler.GenerateKey()
	must.NoError(t, err)
	return append([]string{
		"--id", "vm-7", "--failureDomain", "a", "--region", "r", "--listen", "127.0.0.1:1",
		"--entrySeeds", "127.0.0.1:2,127.0.0.1:3", "--engine", "127.0.0.1:4", "--origin", "127.0.0.1:5",
		"--keys", public,
	}, more...)
}

// faultySettings returns the names of all faulty settings.
func faultySettings(t *testing.T, err error) []string {
	t.Helper()
	var f *configurer.FaultsError
	must.True(t, errors.As(err, &f), must.Sprint(err))
	var names []string
	for _, v := range f.Faults {
		must.StrContains(t, err.Error(), "--"+v.Setting+": "+v.Problem)
		names = append(names, v.Setting)
	}
	return names
}

func TestValidSettingsPass(t *testing.T) {
	addresses, err := parse(t, validArgs(t)...).Check()
	must.NoError(t, err)
	must.Eq(t, []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:2"), netip.MustParseAddrPort("127.0.0.1:3")}, addresses.Entries)
	must.False(t, addresses.Service.IsValid())
}

// Guards against reporting only the first of several faulty settings: the operator
// would have to start the process once for each fault.
func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	s := parse(t, "--listen", "vm-7:1", "--service", "bookings", "--engine", "127.0.0.1:4", "--coldLimit", "0",
		"--heartbeat", "0s", "--memory", "-1", "--tlsKey", "key.pem", "--keys", "short")
	_, err := s.Check()
	names := faultySettings(t, err)
	for _, want := range []string{
		"id", "failureDomain", "region", "listen", "engine", "entrySeeds", "coldLimit", "heartbeat", "memory",
		"tlsCertificate", "keys",
	} {
		must.SliceContains(t, names, want)
	}
}

// Guards against an environment variable that overrides a flag.
func TestFlagsOverrideEnvironment(t *testing.T) {
	t.Setenv("OC_ID", "from-environment")
	t.Setenv("OC_REGION", "from-environment")
	t.Setenv("OC_LIMIT", "3")
	t.Setenv("OC_HEARTBEAT", "7s")
	s := parse(t, "--id", "from-flag", "--limit", "5")
	must.Eq(t, "from-flag", s.ID)
	must.Eq(t, "from-environment", s.Region)
	must.Eq(t, 5, s.Limit)
	must.Eq(t, 7*time.Second, s.Heartbeat)
	must.Eq(t, 1, s.ColdLimit)
}

func TestInvalidEnvironmentIsAnError(t *testing.T) {
	t.Setenv("OC_HEARTBEAT", "soon")
	_, err := configurer.NewAgent()
	must.ErrorContains(t, err, "OC_HEARTBEAT")
	_, err = configurer.NewEntry()
	must.ErrorContains(t, err, "OC_HEARTBEAT")
}

// Guards against a process that listens beyond loopback without a certificate: anyone
// there could order an agent to book, though not sign off a bundle.
func TestNonLoopbackAddressNeedsTLS(t *testing.T) {
	for address, fault := range map[string]bool{
		"127.0.0.1:1": false, "127.9.9.9:1": false, "[::1]:1": false,
		"10.0.0.7:1": true, "0.0.0.0:1": true, "[::]:1": true, "[fe80::1]:1": true,
	} {
		_, err := parse(t, validArgs(t, "--listen", address)...).Check()
		if !fault {
			must.NoError(t, err, must.Sprint(address))
			continue
		}
		must.Eq(t, []string{"listen"}, faultySettings(t, err))
		must.StrContains(t, err.Error(), "--tlsCertificate")
		_, err = parse(t, validArgs(t, "--listen", address,
			"--tlsCertificate", "c", "--tlsKey", "k", "--tlsAuthority", "a")...).Check()
		must.NoError(t, err)
	}
}

func TestUpstreamSettingsAreChecked(t *testing.T) {
	for change, want := range map[string]string{
		"--engine=":                                   "engine",
		"--origin=":                                   "origin",
		"--service=bookings":                          "engine",
		"--engine= --service=bookings":                "serviceAddress",
		"--engine= --serviceAddress=127.0.0.1:9":      "engine",
		"--limit=1 --coldLimit=2":                     "limit",
		"--engine=127.0.0.1":                          "engine",
		"--operators=localhost:80":                    "operators",
		"--entrySeeds=127.0.0.1:2,entry-1:7":          "entrySeeds",
		"--tlsCertificate=c.pem --tlsAuthority=a.pem": "tlsCertificate",
	} {
		_, err := parse(t, validArgs(t, strings.Fields(change)...)...).Check()
		must.Eq(t, []string{want}, faultySettings(t, err), must.Sprint(change))
	}
}

// Guards against an entry whose FreshFor is too short for its heartbeats: it would refuse
// all new work after one lost message.
func TestEntryFaults(t *testing.T) {
	s, err := configurer.NewEntry()
	must.NoError(t, err)
	s.FreshFor = 2 * s.Heartbeat
	s.Entries = 0
	_, err = s.Check()
	names := faultySettings(t, err)
	for _, want := range []string{"id", "failureDomain", "region", "callers", "peers", "operators", "store", "entries", "freshFor", "keys"} {
		must.SliceContains(t, names, want)
	}
}
