// Package examples holds example settings and configuration documents; its tests
// check that they are valid and consistent.
package examples

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/document"
	"github.com/radishloom/radishloom/internal/settings"
	"github.com/radishloom/radishloom/internal/state/config"
)

// installSettings copies the settings of a deployment into a temporary folder,
// together with the token and certificate files to which they refer.
func installSettings(t *testing.T, deployment string) (files []string) {
	dir := t.TempDir()
	for _, file := range []string{"operator.token", "tokens/on-call", "tokens/deployment"} {
		writeFile(t, filepath.Join(dir, file), []byte("a token of at least 16 bytes"))
	}
	certificate, key := newCertificate(t)
	for _, name := range []string{"caller", "admin", "peer", "peer-ca"} {
		writeFile(t, filepath.Join(dir, "tls", name+".crt"), certificate)
		writeFile(t, filepath.Join(dir, "tls", name+".key"), key)
	}
	sources, err := filepath.Glob(filepath.Join(deployment, "*-[0-9].toml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, source := range sources {
		data, err := os.ReadFile(source)
		if err != nil {
			t.Fatal(err)
		}
		file := filepath.Join(dir, filepath.Base(source))
		writeFile(t, file, data)
		files = append(files, file)
	}
	return files
}

func writeFile(t *testing.T, file string, data []byte) {
	if err := os.MkdirAll(filepath.Dir(file), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func newCertificate(t *testing.T) (certificate, key []byte) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	public, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: public}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret})
}

// Guards against settings that a daemon rejects, and against VMs of one deployment
// that disagree about the bootstrap members or share an address.
func TestSettings(t *testing.T) {
	for deployment, want := range map[string]struct{ vms, control int }{
		"demo": {3, 3}, "north": {9, 3}, "lima": {9, 5},
	} {
		files := installSettings(t, deployment)
		if len(files) != want.vms {
			t.Errorf("%s: %d settings files, want %d", deployment, len(files), want.vms)
		}
		used := make(map[string]string)
		var members []settings.Member
		control := 0
		for _, file := range files {
			s, err := settings.Load(file)
			if err != nil {
				t.Errorf("%s:\n%v", deployment, err)
				continue
			}
			for _, address := range []string{s.Caller.Address, s.Admin.Address, s.Metrics.Address} {
				if used[address] != "" {
					t.Errorf("%s: %s and %s both use %s", deployment, used[address], s.VM, address)
				}
				used[address] = s.VM
			}
			if len(s.ControlVMs) != want.control {
				t.Errorf("%s: settings of %s list %d control VMs, want %d", deployment, s.VM, len(s.ControlVMs), want.control)
			}
			if s.Control == nil {
				continue
			}
			control++
			if members == nil {
				members = s.Control.BootstrapMembers
			}
			if !slices.Equal(members, s.Control.BootstrapMembers) {
				t.Errorf("%s: bootstrap members of %s differ from those of other VMs: %v", deployment, s.VM, s.Control.BootstrapMembers)
			}
		}
		if control != want.control || len(members) != want.control {
			t.Errorf("%s: %d control VMs and %d members, want %d", deployment, control, len(members), want.control)
		}
	}
}

// Guards against configuration documents that fail validation, and against counts
// that differ from the table in docs/design.md.
func TestConfigurations(t *testing.T) {
	for deployment, want := range map[string]struct{ models, adapters, engines, services, customers int }{
		"demo": {1, 0, 1, 1, 1}, "north": {20, 60, 12, 3, 5}, "lima": {13, 55, 9, 4, 5},
	} {
		c, err := document.ReadFile(filepath.Join(deployment, "configuration.toml"))
		if err != nil {
			t.Errorf("%s: %v", deployment, err)
			continue
		}
		for _, fault := range config.Validate(c) {
			t.Errorf("%s: %v", deployment, fault)
		}
		adapters, engines := 0, 0
		for _, m := range c.GetModels() {
			adapters += len(m.GetAdapters())
		}
		for _, e := range c.GetEndpoints() {
			if e.GetPool() == "" {
				engines++
			}
		}
		got := struct{ models, adapters, engines, services, customers int }{
			len(c.GetModels()), adapters, engines, len(c.GetEndpoints()) - engines, len(c.GetCustomers()),
		}
		if got != want {
			t.Errorf("%s: %+v, want %+v", deployment, got, want)
		}
	}
}
