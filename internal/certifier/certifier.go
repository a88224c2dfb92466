// Package certifier provides mutual TLS between the processes of a deployment, with
// certificates of the deployment's own authority. Files are reloaded when they
// change, so that certificates can be replaced without a restart.
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

// reloadInterval is how often the files are checked for changes.
const reloadInterval = 2 * time.Second

// dialTimeout limits the connection to a peer, and the handshake. Regions are
// milliseconds apart, so a peer that takes longer counts as unreachable.
const dialTimeout = 500 * time.Millisecond

// Certifier has a process's certificate and the authority that it trusts. A nil
// Certifier means plain connections, as between processes on one machine.
type Certifier struct {
	// CertificateFile, KeyFile and AuthorityFile are PEM files.
	CertificateFile, KeyFile, AuthorityFile string
	Clock                                   clock.WithTicker

	mu      sync.Mutex
	current identity
}

// identity is the content of the files when last read.
type identity struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
	modified    time.Time
}

// Load reads the files; it must have succeeded once before any connection is made.
func (c *Certifier) Load() error {
	changed, err := c.lastModified()
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
	c.current = identity{certificate: &pair, authority: pool, modified: changed}
	return nil
}

// lastModified returns the latest modification time of the files.
func (c *Certifier) lastModified() (time.Time, error) {
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

// Serve reloads the files whenever they change, until the context ends. If they are
// invalid, such as a certificate whose key is yet to be written, the previous ones
// stay in use.
func (c *Certifier) Serve(ctx context.Context) error {
	t := c.Clock.NewTicker(reloadInterval)
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
	changed, err := c.lastModified()
	if err == nil && changed.Equal(c.identity().modified) {
		return
	}
	if err := c.Load(); err != nil {
		klog.ErrorS(err, "Failed to reload TLS files, keeping the previous ones")
		return
	}
	klog.InfoS("Reloaded TLS files", "certificate", c.CertificateFile)
}

func (c *Certifier) identity() identity {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// Listen wraps a listener so that only peers with a certificate of the authority can
// connect. A nil certifier returns the listener itself.
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

// Dial connects to a peer and verifies its certificate. Every error is a
// *net.OpError of the operation "dial": nothing is sent before the handshake ends, so
// the request has certainly not run.
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
	peer, err := netip.ParseAddrPort(address)
	if err != nil {
		raw.Close()
		return nil, dialError(raw, err)
	}
	i := c.identity()
	conn := tls.Client(raw, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   peer.Addr().String(),
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
