// Package configurer reads the settings of the daemons from the environment and from
// the command line, which takes precedence. It reports all faults at once, each with
// its remedy.
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

// EnvironmentPrefix is the prefix of all environment variables: the flag
// --failureDomain is OC_FAILURE_DOMAIN.
const EnvironmentPrefix = "OC"

// Fault is one invalid setting.
type Fault struct {
	// Setting is the flag's name without dashes.
	Setting string
	Problem string
}

// FaultsError reports all invalid settings.
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

func (c *checker) addFault(setting, format string, args ...any) {
	c.faults = append(c.faults, Fault{Setting: setting, Problem: fmt.Sprintf(format, args...)})
}

func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return &FaultsError{Faults: c.faults}
}

func (c *checker) required(setting, value, example string) {
	if value == "" {
		c.addFault(setting, "is required, such as %s", example)
	}
}

func (c *checker) positive(setting string, d time.Duration) {
	if d <= 0 {
		c.addFault(setting, "%v must be positive", d)
	}
}

func (c *checker) atLeast(setting string, n, minimum int) {
	if n < minimum {
		c.addFault(setting, "%d must be at least %d", n, minimum)
	}
}

// address parses an IP address and port. Host names are refused: processes connect by
// IP address, so that an outage of a resolver does not affect them.
func (c *checker) address(setting, value string) netip.AddrPort {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		c.addFault(setting, "%q is not an IP address and port, such as 127.0.0.1:7001", value)
	}
	return a
}

// optionalAddress is address, but accepts the empty string.
func (c *checker) optionalAddress(setting, value string) netip.AddrPort {
	if value == "" {
		return netip.AddrPort{}
	}
	return c.address(setting, value)
}

func (c *checker) addresses(setting string, values []string) []netip.AddrPort {
	as := make([]netip.AddrPort, 0, len(values))
	for _, v := range splitList(values) {
		as = append(as, c.address(setting, v))
	}
	return as
}

// splitList splits lists with commas and joins repeated flags.
func splitList(values []string) []string {
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

// Signers contains the settings of whose sign-offs count.
type Signers struct {
	Keys       []string `envconfig:"KEYS"`
	Signatures int      `envconfig:"SIGNATURES" default:"1"`
}

// Bind adds the flags.
func (s *Signers) Bind(sc *flaggy.Subcommand) {
	sc.StringSlice(&s.Keys, "", "keys", "operators' public keys (base64), with commas or repeated [OC_KEYS]")
	sc.Int(&s.Signatures, "", "signatures", "how many of them must sign a bundle [OC_SIGNATURES]")
}

// Keyring returns the keyring against which bundles are checked.
func (s *Signers) Keyring() bundler.Keyring {
	return bundler.Keyring{Keys: splitList(s.Keys), Threshold: s.Signatures}
}

func (s *Signers) check(c *checker) {
	if err := s.Keyring().Validate(); err != nil {
		c.addFault("keys", "%s", strings.ReplaceAll(err.Error(), "\n", "; "))
	}
}

// readEnvironment fills a settings struct from the environment and its defaults.
func readEnvironment(settings any) error {
	if err := envconfig.Process(EnvironmentPrefix, settings); err != nil {
		return fmt.Errorf("environment: %w", err)
	}
	return nil
}
