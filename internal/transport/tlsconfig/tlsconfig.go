// Package tlsconfig provides configurations for TLS and mutual TLS from PEM files.
// Changed files are reloaded before a handshake, without a restart.
package tlsconfig

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// Files names PEM files.
type Files struct {
	// Certificate and Key are the certificate and private key of this VM.
	Certificate, Key string
	// Authorities holds the certificates of the authorities that sign the
	// certificates of peers. Without it the server does not request client
	// certificates, and the client trusts the system's authorities.
	Authorities string
}

// Source holds the certificates that were last loaded from the files. It is safe
// for concurrent use.
type Source struct {
	files    Files
	logger   *slog.Logger
	interval time.Duration

	mu             sync.Mutex
	checked        time.Time
	loadedVersions fileVersions // of the files that are in use
	failedVersions fileVersions // of the files that could not be loaded
	loaded         material
	faults         faults
}

// faults are deliberate defects that a test enables to show that it detects
// them.
type faults struct {
	// neverReload disables reloading.
	neverReload bool
	// acceptAny does not request client certificates.
	acceptAny bool
}

// material is one consistent set of certificates.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// fileVersions holds the modification time and size of each file, in order to
// detect changes.
type fileVersions [3]struct {
	modified time.Time
	size     int64
}

// Open loads the files. If a later reload fails, the error is logged and the last
// valid set stays in use.
func Open(f Files, logger *slog.Logger) (*Source, error) {
	if logger == nil {
		logger = slog.Default()
	}
	s := &Source{files: f, logger: logger, interval: checkInterval}
	versions, err := f.versions()
	if err != nil {
		return nil, err
	}
	if s.loaded, err = f.load(); err != nil {
		return nil, err
	}
	s.loadedVersions = versions
	s.checked = time.Now()
	return s, nil
}

func (f Files) versions() (fileVersions, error) {
	var out fileVersions
	for i, name := range []string{f.Certificate, f.Key, f.Authorities} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return out, fmt.Errorf("certificate file: %w", err)
		}
		out[i].modified, out[i].size = info.ModTime(), info.Size()
	}
	return out, nil
}

func (f Files) load() (material, error) {
	var m material
	var err error
	if f.Certificate != "" {
		if m.certificate, err = tls.LoadX509KeyPair(f.Certificate, f.Key); err != nil {
			return m, fmt.Errorf("load certificate %s and key %s: %w", f.Certificate, f.Key, err)
		}
	}
	if f.Authorities == "" {
		return m, nil
	}
	pem, err := os.ReadFile(f.Authorities)
	if err != nil {
		return m, fmt.Errorf("load authorities: %w", err)
	}
	m.authorities = x509.NewCertPool()
	if !m.authorities.AppendCertsFromPEM(pem) {
		return m, fmt.Errorf("file %s contains no valid certificate", f.Authorities)
	}
	return m, nil
}

// current returns the last valid set. It reloads the files first if they have
// changed.
func (s *Source) current() material {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.neverReload || time.Since(s.checked) < s.interval {
		return s.loaded
	}
	s.checked = time.Now()
	versions, err := s.files.versions()
	if err == nil && versions == s.loadedVersions {
		return s.loaded
	}
	var fresh material
	if err == nil {
		fresh, err = s.files.load()
	}
	if err != nil {
		// A certificate and its key are replaced one after the other, so this can be
		// a transient error.
		if versions != s.failedVersions {
			s.logger.Warn("certificates not reloaded", "error", err)
		}
		s.failedVersions = versions
		return s.loaded
	}
	s.loadedVersions, s.loaded = versions, fresh
	s.logger.Info("certificates reloaded", "certificate", s.files.Certificate)
	return s.loaded
}

// Server returns the configuration for a listener. Each handshake uses the
// current files. If authorities are configured, peers must present a certificate
// that one of them has signed.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		NextProtos:         []string{"http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.server(), nil },
	}
}

func (s *Source) server() *tls.Config {
	m := s.current()
	c := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{"http/1.1"},
		Certificates: []tls.Certificate{m.certificate},
	}
	if m.authorities != nil && !s.faults.acceptAny {
		c.MinVersion = tls.VersionTLS13
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = m.authorities
		// A resumed session would not be verified against changed authorities.
		c.SessionTicketsDisabled = true
	}
	return c
}

// Client returns the configuration for one connection to a server.
func (s *Source) Client(serverName string) *tls.Config {
	m := s.current()
	c := &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"http/1.1"},
		RootCAs:    m.authorities,
		ServerName: serverName,
	}
	if m.certificate.Certificate != nil {
		c.Certificates = []tls.Certificate{m.certificate}
	}
	return c
}

// Dialer wraps a dial function for http.Transport.DialTLSContext, so that each
// connection uses the current files. The certificate must be valid for
// serverName, or for the host of the address if serverName is empty.
func (s *Source) Dialer(dial func(ctx context.Context, network, address string) (net.Conn, error), serverName string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		name := serverName
		if name == "" {
			host, _, err := net.SplitHostPort(address)
			if err != nil {
				return nil, fmt.Errorf("address %q: %w", address, err)
			}
			name = host
		}
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := tls.Client(raw, s.Client(name))
		if err := c.HandshakeContext(ctx); err != nil {
			return nil, errors.Join(fmt.Errorf("TLS handshake with %s: %w", address, err), raw.Close())
		}
		return c, nil
	}
}
