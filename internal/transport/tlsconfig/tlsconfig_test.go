package tlsconfig

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// authority signs certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{key: key}
	a.cert = a.sign(t, &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}, key)
	return a
}

func (a *authority) sign(t *testing.T, c *x509.Certificate, key *ecdsa.PrivateKey) *x509.Certificate {
	t.Helper()
	c.SerialNumber = big.NewInt(time.Now().UnixNano())
	c.Subject = pkix.Name{CommonName: c.SerialNumber.String()}
	c.NotBefore, c.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent := a.cert
	if parent == nil {
		parent = c
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	out, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func write(t *testing.T, name, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// issue writes a new certificate signed by a, its key and the certificate of a to
// dir.
func (a *authority) issue(t *testing.T, dir string) Files {
	t.Helper()
	f := Files{Certificate: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), Authorities: filepath.Join(dir, "ca")}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	cert := a.sign(t, &x509.Certificate{
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, key)
	write(t, f.Certificate, "CERTIFICATE", cert.Raw)
	write(t, f.Key, "PRIVATE KEY", der)
	write(t, f.Authorities, "CERTIFICATE", a.cert.Raw)
	return f
}

func open(t *testing.T, f Files, defects faults) *Source {
	t.Helper()
	s, err := Open(f, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	s.interval = 0
	s.faults = defects
	return s
}

// echo runs a TLS echo server until the test ends and returns its address.
func echo(t *testing.T, s *Source) string {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", s.Server())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	return l.Addr().String()
}

// echoByte sends one byte to an echo server and waits for it to return.
func echoByte(s *Source, address string) error {
	c, err := s.Dialer((&net.Dialer{}).DialContext, "")(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	defer c.Close() // the test is over
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	_, err = io.ReadFull(c, make([]byte, 1))
	return err
}

// Guards against accepting peers without a certificate of the fleet's authority.
// With the defect acceptAny, the same clients must be accepted, which shows that
// the check detects it.
func TestMutualAuthentication(t *testing.T) {
	fleet, other := newAuthority(t), newAuthority(t)
	server := open(t, fleet.issue(t, t.TempDir()), faults{})
	address := echo(t, server)
	if err := echoByte(open(t, fleet.issue(t, t.TempDir()), faults{}), address); err != nil {
		t.Fatal(err)
	}
	foreign := other.issue(t, t.TempDir())
	write(t, foreign.Authorities, "CERTIFICATE", fleet.cert.Raw)
	none := Files{Authorities: foreign.Authorities}
	for _, f := range []Files{foreign, none} {
		if echoByte(open(t, f, faults{}), address) == nil {
			t.Errorf("a client with the files %+v was accepted", f)
		}
		if err := echoByte(open(t, f, faults{}), echo(t, open(t, server.files, faults{acceptAny: true}))); err != nil {
			t.Errorf("a client was refused despite the defect acceptAny: %v", err)
		}
	}
	if echoByte(open(t, other.issue(t, t.TempDir()), faults{}), address) == nil {
		t.Error("a client trusted a server of another authority")
	}
}

// Guards against certificates that are reloaded only at a restart, and against an
// outage while the files are incomplete. With the defect neverReload, the reload
// check must fail, which shows that it detects the defect.
func TestReload(t *testing.T) {
	run := func(defects faults) (before, broken, after error) {
		old, next := newAuthority(t), newAuthority(t)
		serverDir, clientDir := t.TempDir(), t.TempDir()
		server := open(t, old.issue(t, serverDir), defects)
		client := open(t, old.issue(t, clientDir), faults{})
		address := echo(t, server)
		before = echoByte(client, address)
		if err := os.WriteFile(server.files.Key, []byte("half"), 0o600); err != nil {
			t.Fatal(err)
		}
		broken = echoByte(client, address)
		next.issue(t, serverDir)
		next.issue(t, clientDir)
		return before, broken, echoByte(client, address)
	}
	if before, broken, after := run(faults{}); before != nil || broken != nil || after != nil {
		t.Errorf("before the change: %v; with an incomplete key: %v; after the change: %v", before, broken, after)
	}
	if _, _, after := run(faults{neverReload: true}); after == nil {
		t.Error("the reload check did not fail despite the defect neverReload")
	}
	if _, err := Open(Files{Certificate: "/nonexistent", Key: "/nonexistent"}, nil); err == nil {
		t.Error("missing files were accepted")
	}
}
