package configurer

import (
	"net/netip"

	"github.com/integrii/flaggy"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/certifier"
)

// TLS contains the settings of certificates, the same for daemons and commands.
type TLS struct {
	Certificate string `envconfig:"TLS_CERTIFICATE"`
	Key         string `envconfig:"TLS_KEY"`
	Authority   string `envconfig:"TLS_AUTHORITY"`
}

// Bind adds the flags.
func (s *TLS) Bind(sc *flaggy.Subcommand) {
	sc.String(&s.Certificate, "", "tlsCertificate", "PEM file with this process's certificate [OC_TLS_CERTIFICATE]")
	sc.String(&s.Key, "", "tlsKey", "PEM file with its key [OC_TLS_KEY]")
	sc.String(&s.Authority, "", "tlsAuthority", "PEM file with the deployment's authority [OC_TLS_AUTHORITY]")
}

// Certifier returns the certifier of the settings, nil if there is no certificate.
func (s *TLS) Certifier() (*certifier.Certifier, error) {
	if s.Certificate == "" {
		return nil, nil
	}
	c := &certifier.Certifier{
		CertificateFile: s.Certificate,
		KeyFile:         s.Key,
		AuthorityFile:   s.Authority,
		Clock:           clock.RealClock{},
	}
	return c, c.Load()
}

// check requires all files or none, and allows none only on loopback.
func (s *TLS) check(c *checker, listens map[string]netip.AddrPort) {
	given := 0
	for _, f := range []string{s.Certificate, s.Key, s.Authority} {
		if f != "" {
			given++
		}
	}
	if given == 1 || given == 2 {
		c.addFault("tlsCertificate", "give --tlsCertificate, --tlsKey and --tlsAuthority together, or none of them")
	}
	if given > 0 {
		return
	}
	for setting, a := range listens {
		if a.IsValid() && !a.Addr().IsLoopback() {
			c.addFault(setting, "%v is not on loopback: give --tlsCertificate, --tlsKey and --tlsAuthority", a)
		}
	}
}
