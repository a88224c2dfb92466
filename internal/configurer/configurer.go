// Package configurer reads the settings of the daemons: first the environment,
// then the command line, which wins. All faults are reported at once, each with
// what would be right.
package configurer

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/kelseyhightower/envconfig"

	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

// EnvironmentPrefix stands before the name of each environment variable: the
// flag --failureDomain is OC_FAILURE_DOMAIN.
const EnvironmentPrefix = "OC"

// Fault is one setting that can not be used.
type Fault struct {
	// Setting is the flag's name without dashes.
	Setting string
	Problem string
}

// FaultsError reports every unusable setting.
type FaultsError struct {
	Faults []Fault
}

func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = fmt.Sprintf("--%s: %s", f.Setting, f.Problem)
	}
	return strings.Join(lines, "\n")
}

// checker collects faults.
type checker struct {
	faults []Fault
}

func (c *checker) add(setting, format string, args ...any) {
	c.faults = append(c.faults, Fault{Setting: setting, Problem: fmt.Sprintf(format, args...)})
}

func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return &FaultsError{Faults: c.faults}
}

func (c *checker) needed(setting, value, example string) {
	if value == "" {
		c.add(setting, "must be given, such as %s", example)
	}
}

func (c *checker) positive(setting string, d time.Duration) {
	if d <= 0 {
		c.add(setting, "%v must be above zero", d)
	}
}

func (c *checker) atLeast(setting string, n, least int) {
	if n < least {
		c.add(setting, "%d must be at least %d", n, least)
	}
}

// address parses an IP number and port. Names are refused: our processes talk by
// IP numbers, so that no resolver's outage is ours.
func (c *checker) address(setting, value string) netip.AddrPort {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		c.add(setting, "%q is no IP number and port, such as 127.0.0.1:7001", value)
	}
	return a
}

// optionalAddress is address, but lets the empty string pass.
func (c *checker) optionalAddress(setting, value string) netip.AddrPort {
	if value == "" {
		return netip.AddrPort{}
	}
	return c.address(setting, value)
}

func (c *checker) addresses(setting string, values []string) []netip.AddrPort {
	as := make([]netip.AddrPort, 0, len(values))
	for _, v := range split(values) {
		as = append(as, c.address(setting, v))
	}
	return as
}

// split takes lists written with commas as well as repeated flags.
func split(values []string) []string {
	var all []string
	for _, v := range values {
		for _, p := range strings.Split(v, ",") {
			if p = strings.TrimSpace(p); p != "" {
				all = append(all, p)
			}
		}
	}
	return all
}

// Signers are the settings that say whose sign-off counts.
type Signers struct {
	Keys       []string `envconfig:"KEYS"`
	Signatures int      `envconfig:"SIGNATURES" default:"1"`
}

// Bind adds the flags.
func (s *Signers) Bind(sc *flaggy.Subcommand) {
	sc.StringSlice(&s.Keys, "", "keys", "operators' public keys (base64), with commas or repeated [OC_KEYS]")
	sc.Int(&s.Signatures, "", "signatures", "how many of them must sign a bundle [OC_SIGNATURES]")
}

// Keyring is what bundles are checked against.
func (s *Signers) Keyring() bundler.Keyring {
	return bundler.Keyring{Keys: split(s.Keys), Threshold: s.Signatures}
}

func (s *Signers) check(c *checker) {
	if err := s.Keyring().Validate(); err != nil {
		c.add("keys", "%s", strings.ReplaceAll(err.Error(), "\n", "; "))
	}
}

// fromEnvironment fills a settings struct and its defaults.
func fromEnvironment(settings any) error {
	if err := envconfig.Process(EnvironmentPrefix, settings); err != nil {
		return fmt.Errorf("environment: %w", err)
	}
	return nil
}
