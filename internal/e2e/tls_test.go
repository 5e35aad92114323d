package e2e

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// certAuthority signs certificates for 127.0.0.1; transport trusts it.
type certAuthority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	transport   *http.Transport
}

func newCertAuthority(t *testing.T) *certAuthority {
	t.Helper()
	a := &certAuthority{certificate: &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "tests"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}}
	var err error
	if a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		t.Fatal(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, a.certificate, a.certificate, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.certificate, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	a.transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}
	return a
}

// enableTLS writes a certificate for a VM and returns its settings with TLS.
func (a *certAuthority) enableTLS(f *fleet, v *vm, settings string) string {
	f.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	f.must(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: v.name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	f.must(err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	f.must(err)
	for name, block := range map[string]*pem.Block{
		"cert.pem": {Type: "CERTIFICATE", Bytes: der},
		"key.pem":  {Type: "PRIVATE KEY", Bytes: private},
		"ca.pem":   {Type: "CERTIFICATE", Bytes: a.certificate.Raw},
	} {
		f.must(os.WriteFile(filepath.Join(v.dir, name), pem.EncodeToMemory(block), 0o600))
	}
	const serverTLS = "tls = { certificate = \"cert.pem\", key = \"key.pem\" }\n"
	const mutualTLS = "tls = { certificate = \"cert.pem\", key = \"key.pem\", ca = \"ca.pem\" }\n"
	settings = strings.Replace(settings, "[caller]\n", "[caller]\n"+serverTLS, 1)
	settings = strings.Replace(settings, "[admin]\n", "[admin]\n"+serverTLS, 1)
	return strings.Replace(settings, "[peer]\n", "[peer]\n"+mutualTLS, 1)
}

// Guards against a fleet that works only without TLS, and against a peer listener
// that accepts clients without a certificate: callers and operators use TLS,
// daemons mutual TLS.
func TestTLS(t *testing.T) {
	f := &fleet{t: t, ca: newCertAuthority(t)}
	f.startDaemons(3)
	f.applyDefaultConfig(100_000, 100_000)
	for _, v := range f.vms {
		if r := f.chat(v, 4); !r.complete(4) {
			t.Errorf("%s: response %+v", v.name, r)
		}
	}
	resp, err := (&http.Client{Transport: f.ca.transport}).Get("https://" + f.vms[0].peerAddr + "/")
	if err == nil {
		_ = resp.Body.Close()
		t.Error("the peer listener accepted a client without a certificate")
	}
}
