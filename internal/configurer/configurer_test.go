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

// parse gives an agent's settings from the environment and a command line.
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

// good are flags that pass, with more after them.
func good(t *testing.T, more ...string) []string {
	t.Helper()
	public, _, err := bundler.GenerateKey()
	must.NoError(t, err)
	return append([]string{
		"--id", "vm-7", "--failureDomain", "a", "--region", "r", "--listen", "127.0.0.1:1",
		"--entrySeeds", "127.0.0.1:2,127.0.0.1:3", "--engine", "127.0.0.1:4", "--origin", "127.0.0.1:5",
		"--keys", public,
	}, more...)
}

// faults are the names of all settings that are at fault.
func faults(t *testing.T, err error) []string {
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

func TestGoodSettingsPass(t *testing.T) {
	at, err := parse(t, good(t)...).Check()
	must.NoError(t, err)
	must.Eq(t, []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:2"), netip.MustParseAddrPort("127.0.0.1:3")}, at.Entries)
	must.False(t, at.Service.IsValid())
}

// An operator mistypes several settings at once. Told of one at a time, they would
// start the process as often as there are faults, by night and in a hurry.
func TestAllFaultsAreNamedAtOnce(t *testing.T) {
	s := parse(t, "--listen", "vm-7:1", "--service", "bookings", "--engine", "127.0.0.1:4", "--coldLimit", "0",
		"--heartbeat", "0s", "--memory", "-1", "--tlsKey", "key.pem", "--keys", "short")
	_, err := s.Check()
	names := faults(t, err)
	for _, want := range []string{
		"id", "failureDomain", "region", "listen", "engine", "entrySeeds", "coldLimit", "heartbeat", "memory",
		"tlsCertificate", "keys",
	} {
		must.SliceContains(t, names, want)
	}
}

// Half of the settings come from the VM's environment and one is set by hand on
// the command line, which must win.
func TestFlagsGoBeforeEnvironment(t *testing.T) {
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

func TestEnvironmentThatCanNotBeReadIsAnError(t *testing.T) {
	t.Setenv("OC_HEARTBEAT", "soon")
	_, err := configurer.NewAgent()
	must.ErrorContains(t, err, "OC_HEARTBEAT")
	_, err = configurer.NewEntry()
	must.ErrorContains(t, err, "OC_HEARTBEAT")
}

// A process listens where others can listen in, and no certificate is given. Anyone
// there could sign off nothing, but order an agent to book.
func TestOffLoopbackNeedsTLS(t *testing.T) {
	for address, fault := range map[string]bool{
		"127.0.0.1:1": false, "127.9.9.9:1": false, "[::1]:1": false,
		"10.0.0.7:1": true, "0.0.0.0:1": true, "[::]:1": true, "[fe80::1]:1": true,
	} {
		_, err := parse(t, good(t, "--listen", address)...).Check()
		if !fault {
			must.NoError(t, err, must.Sprint(address))
			continue
		}
		must.Eq(t, []string{"listen"}, faults(t, err))
		must.StrContains(t, err.Error(), "--tlsCertificate")
		_, err = parse(t, good(t, "--listen", address,
			"--tlsCertificate", "c", "--tlsKey", "k", "--tlsAuthority", "a")...).Check()
		must.NoError(t, err)
	}
}

func TestUpstreamIsOneOfBoth(t *testing.T) {
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
		_, err := parse(t, good(t, strings.Fields(change)...)...).Check()
		must.Eq(t, []string{want}, faults(t, err), must.Sprint(change))
	}
}

// An entry whose freshness ends before the next heartbeat would refuse everything
// between two of them.
func TestEntryFaults(t *testing.T) {
	s, err := configurer.NewEntry()
	must.NoError(t, err)
	s.FreshFor = 2 * s.Heartbeat
	s.Entries = 0
	_, err = s.Check()
	names := faults(t, err)
	for _, want := range []string{"id", "failureDomain", "region", "callers", "peers", "operators", "store", "entries", "freshFor", "keys"} {
		must.SliceContains(t, names, want)
	}
}
