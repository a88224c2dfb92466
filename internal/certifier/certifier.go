// Package certifier gives our processes their TLS: each proves itself to the other
// by a certificate of the deployment's own authority. Files are read anew when
// they change, so that certificates are replaced without a restart.
package certifier

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/samber/oops"
	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/connector"
)

// reloadEvery is how often the files are looked at.
const reloadEvery = 2 * time.Second

// dialTimeout is how long a peer may take to accept a connection. Regions are
// milliseconds apart; one that takes longer is as good as gone.
const dialTimeout = 500 * time.Millisecond

// Certifier holds a process's certificate and the authority that it trusts. A nil
// one stands for plain connections, as between processes on one machine.
type Certifier struct {
	// CertificateFile, KeyFile and AuthorityFile are PEM files.
	CertificateFile, KeyFile, AuthorityFile string
	Clock                                   clock.WithTicker

	mu      sync.Mutex
	current identity
}

// identity is what the files held when last read.
type identity struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
	changed     time.Time
}

// Load reads the files; it must have succeeded once before connections are made.
func (c *Certifier) Load() error {
	changed, err := c.lastChange()
	if err != nil {
		return oops.Wrapf(err, "TLS files")
	}
	pair, err := tls.LoadX509KeyPair(c.CertificateFile, c.KeyFile)
	if err != nil {
		return oops.Hint("the key must be that of the certificate").Wrapf(err, "TLS certificate")
	}
	pem, err := os.ReadFile(c.AuthorityFile)
	if err != nil {
		return oops.Wrapf(err, "TLS authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return oops.Errorf("TLS authority: no certificate in %s", c.AuthorityFile)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = identity{certificate: &pair, authority: pool, changed: changed}
	return nil
}

// lastChange is the newest time of change of the files.
func (c *Certifier) lastChange() (time.Time, error) {
	var last time.Time
	for _, f := range []string{c.CertificateFile, c.KeyFile, c.AuthorityFile} {
		info, err := os.Stat(f)
		if err != nil {
			return last, err
		}
		if info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last, nil
}

// Serve reads the files anew whenever they change, until the context ends. Files
// that can't be used, such as a certificate whose key is yet to be written, leave
// the ones in use as they are.
func (c *Certifier) Serve(ctx context.Context) error {
	t := c.Clock.NewTicker(reloadEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C():
			c.reload()
		}
	}
}

func (c *Certifier) String() string { return "certificates" }

func (c *Certifier) reload() {
	changed, err := c.lastChange()
	if err == nil && changed.Equal(c.identity().changed) {
		return
	}
	if err := c.Load(); err != nil {
		klog.ErrorS(err, "TLS files can not be used, going on with those before")
		return
	}
	klog.InfoS("TLS files read anew", "certificate", c.CertificateFile)
}

func (c *Certifier) identity() identity {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// Listen wraps a listener: only those with a certificate of the authority get
// through. A nil certifier gives the listener back.
func (c *Certifier) Listen(l net.Listener) net.Listener {
	if c == nil || l == nil {
		return l
	}
	return tls.NewListener(l, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			i := c.identity()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*i.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    i.authority,
			}, nil
		},
	})
}

// Dial connects to a peer and makes sure that it is one. Every error is a
// *net.OpError of the operation "dial": nothing was sent before the handshake had
// ended, so that whatever was to be sent has certainly not run.
func (c *Certifier) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	raw = connector.KeepResets(raw)
	if c == nil {
		return raw, nil
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		raw.Close()
		return nil, dialError(raw, err)
	}
	i := c.identity()
	conn := tls.Client(raw, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   to.Addr().String(),
		Certificates: []tls.Certificate{*i.certificate},
		RootCAs:      i.authority,
	})
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, dialError(raw, err)
	}
	return conn, nil
}

func dialError(raw net.Conn, err error) error {
	return &net.OpError{Op: "dial", Net: "tcp", Addr: raw.RemoteAddr(), Err: err}
}
