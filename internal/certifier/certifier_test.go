package certifier_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"k8s.io/utils/clock"
	testclock "k8s.io/utils/clock/testing"

	"github.com/oriolecroft/oriolecroft/internal/acceptor"
	"github.com/oriolecroft/oriolecroft/internal/certifier"
	"github.com/oriolecroft/oriolecroft/internal/drainer"
)

// authority signs certificates for the tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	must.NoError(t, err)
	c, err = x509.ParseCertificate(der)
	must.NoError(t, err)
	return &authority{certificate: c, key: key}
}

// issue writes a certificate for loopback with the given serial number.
func (a *authority) issue(t *testing.T, dir string, serial int64) *certifier.Certifier {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "vm"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, c, a.certificate, &key.PublicKey, a.key)
	must.NoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	must.NoError(t, err)
	write(t, dir, "cert.pem", "CERTIFICATE", der)
	write(t, dir, "key.pem", "PRIVATE KEY", private)
	write(t, dir, "ca.pem", "CERTIFICATE", a.certificate.Raw)
	return &certifier.Certifier{
		CertificateFile: filepath.Join(dir, "cert.pem"),
		KeyFile:         filepath.Join(dir, "key.pem"),
		AuthorityFile:   filepath.Join(dir, "ca.pem"),
		Clock:           clock.RealClock{},
	}
}

func write(t *testing.T, dir, name, kind string, data []byte) {
	t.Helper()
	block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	must.NoError(t, os.WriteFile(filepath.Join(dir, name), block, 0o600))
}

// serve answers each connection with one byte.
func serve(t *testing.T, c *certifier.Certifier) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	wrapped := c.Listen(l)
	go func() {
		for {
			conn, err := wrapped.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = conn.Write([]byte("x"))
				conn.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// read dials and reads the byte.
func read(t *testing.T, c *certifier.Certifier, address string) (net.Conn, error) {
	t.Helper()
	conn, err := c.Dial(t.Context(), "tcp", address)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { conn.Close() })
	// Without TLS the client waits for the server's byte and the server for a handshake.
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = io.ReadFull(conn, make([]byte, 1))
	return conn, err
}

// Guards against incomplete handshakes of many clients that together exceed the memory, or that keep peers out.
func TestHandshakesStayWithinMemory(t *testing.T) {
	const (
		memory  = 8 << 20
		clients = 100
	)
	a := newAuthority(t)
	server := a.issue(t, t.TempDir(), 2)
	must.NoError(t, server.Load())
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	limits := &acceptor.Limits{Memory: memory, Metrics: metrics.NewRegistry()}
	held := func() int64 { return metrics.GetOrRegisterCounter("memory.held", limits.Metrics).Count() }
	d := &drainer.Server{Listener: server.Listen(limits.Listen(nl)), HTTP: &http.Server{Handler: http.NotFoundHandler()}}
	go func() { _ = d.Serve() }()
	t.Cleanup(func() { d.Close() })
	// Records of a ClientHello that is announced to have 60,000 bytes.
	hello := []byte{22, 3, 1, 0x40, 0x00, 1, 0, 0xea, 0x60}
	hello = append(hello, make([]byte, 0x4000-4)...)
	for range 2 {
		hello = append(hello, 22, 3, 1, 0x40, 0x00)
		hello = append(hello, make([]byte, 0x4000)...)
	}
	var conns []net.Conn
	for range clients {
		c, err := net.Dial("tcp", nl.Addr().String())
		must.NoError(t, err)
		defer c.Close()
		conns = append(conns, c)
		_, _ = c.Write(hello)
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return held() > memory/2 }), wait.Timeout(5*time.Second)))
	must.LessEq(t, memory, held())
	client := a.issue(t, t.TempDir(), 3)
	must.NoError(t, client.Load())
	web := &http.Client{Transport: &http.Transport{DialTLSContext: client.Dial}}
	res, err := web.Get("https://" + nl.Addr().String())
	must.NoError(t, err)
	res.Body.Close()
	must.Eq(t, http.StatusNotFound, res.StatusCode)
	web.CloseIdleConnections()
	for _, c := range conns {
		c.Close()
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return held() == 0 }), wait.Timeout(5*time.Second)))
}

func TestOtherAuthoritiesAreRefused(t *testing.T) {
	a := newAuthority(t)
	server := a.issue(t, t.TempDir(), 2)
	must.NoError(t, server.Load())
	address := serve(t, server)

	client := a.issue(t, t.TempDir(), 3)
	must.NoError(t, client.Load())
	_, err := read(t, client, address)
	must.NoError(t, err)

	_, err = read(t, nil, address)
	must.Error(t, err)

	stranger := newAuthority(t).issue(t, t.TempDir(), 4)
	must.NoError(t, stranger.Load())
	_, err = read(t, stranger, address)
	must.Error(t, err)
}

// Guards against a failed handshake, with a foreign peer or an expired certificate, that
// looks like a broken connection: an entry would report "unknown" for a booking that it
// never sent.
func TestFailedHandshakeIsADialError(t *testing.T) {
	server := newAuthority(t).issue(t, t.TempDir(), 2)
	must.NoError(t, server.Load())
	client := newAuthority(t).issue(t, t.TempDir(), 3)
	must.NoError(t, client.Load())
	_, err := client.Dial(t.Context(), "tcp", serve(t, server))
	var o *net.OpError
	must.True(t, errors.As(err, &o))
	must.Eq(t, "dial", o.Op)
}

func TestCertificateIsReloadedWithoutRestart(t *testing.T) {
	a := newAuthority(t)
	dir := t.TempDir()
	server := a.issue(t, dir, 2)
	c := testclock.NewFakeClock(time.Now())
	server.Clock = c
	must.NoError(t, server.Load())
	address := serve(t, server)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = server.Serve(ctx) }()

	client := a.issue(t, t.TempDir(), 3)
	must.NoError(t, client.Load())
	a.issue(t, dir, 5)
	later := time.Now().Add(time.Minute)
	must.NoError(t, os.Chtimes(filepath.Join(dir, "cert.pem"), later, later))
	renewed := func() bool {
		c.Step(5 * time.Second)
		conn, err := read(t, client, address)
		if err != nil {
			return false
		}
		peer := conn.(*tls.Conn).ConnectionState().PeerCertificates[0]
		return peer.SerialNumber.Int64() == 5
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(renewed), wait.Timeout(10*time.Second), wait.Gap(10*time.Millisecond)))
}
