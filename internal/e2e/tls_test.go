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

// authority signs certificates for 127.0.0.1.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	transport   *http.Transport
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{certificate: &x509.Certificate{
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

// secure writes a certificate for a VM and adds TLS to its settings.
func (a *authority) secure(f *fleet, v *vm, settings string) string {
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
	const pair = "tls = { certificate = \"cert.pem\", key = \"key.pem\" }\n"
	const mutual = "tls = { certificate = \"cert.pem\", key = \"key.pem\", ca = \"ca.pem\" }\n"
	settings = strings.Replace(settings, "[caller]\n", "[caller]\n"+pair, 1)
	settings = strings.Replace(settings, "[admin]\n", "[admin]\n"+pair, 1)
	return strings.Replace(settings, "[peer]\n", "[peer]\n"+mutual, 1)
}

// Guards against a fleet that works in plain text only: TLS towards callers and
// operators, mutual TLS between daemons, and no peer without a certificate.
func TestTLS(t *testing.T) {
	f := &fleet{t: t, authority: newAuthority(t)}
	f.run(3)
	f.configure(100_000, 100_000)
	for _, v := range f.vms {
		if r := f.chat(v, 4); !r.whole(4) {
			t.Errorf("%s: answer %+v", v.name, r)
		}
	}
	resp, err := (&http.Client{Transport: f.authority.transport}).Get("https://" + f.vms[0].peer + "/")
	if err == nil {
		_ = resp.Body.Close()
		t.Error("a caller without a certificate reached the listener for other daemons")
	}
}
