// Package tlsconfig provides TLS and mutual TLS from files. Changed files are
// taken over at the next handshake, without a restart.
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

// checkInterval is the least time between two looks at the files.
const checkInterval = time.Second

// Files names PEM files.
type Files struct {
	// Certificate and Key are this VM's.
	Certificate, Key string
	// Authorities signs the certificates of peers. Without it the server asks
	// for no client certificate, and the client trusts the system's authorities.
	Authorities string
}

// Source holds what the files held last. It is safe for concurrent use.
type Source struct {
	files    Files
	logger   *slog.Logger
	interval time.Duration

	mu      sync.Mutex
	checked time.Time
	seen    signature // of the files in force
	failed  signature // of the files that could not be loaded
	now     material
	faults  faults
}

// faults are deliberate defects that tests switch on to show that they find
// them.
type faults struct {
	// neverReload keeps the first files.
	neverReload bool
	// acceptAny asks peers for no certificate.
	acceptAny bool
}

// material is one consistent set of certificates.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// signature tells versions of the files apart.
type signature [3]struct {
	modified time.Time
	size     int64
}

// Open loads the files. Later faults in them are logged, and the last good set
// stays in force.
func Open(f Files, logger *slog.Logger) (*Source, error) {
	if logger == nil {
		logger = slog.Default()
	}
	s := &Source{files: f, logger: logger, interval: checkInterval}
	sig, err := f.signature()
	if err != nil {
		return nil, err
	}
	if s.now, err = f.load(); err != nil {
		return nil, err
	}
	s.seen = sig
	s.checked = time.Now()
	return s, nil
}

func (f Files) signature() (signature, error) {
	var out signature
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
		return m, fmt.Errorf("file %s holds no certificate", f.Authorities)
	}
	return m, nil
}

// current returns the newest good set.
func (s *Source) current() material {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.neverReload || time.Since(s.checked) < s.interval {
		return s.now
	}
	s.checked = time.Now()
	sig, err := s.files.signature()
	if err == nil && sig == s.seen {
		return s.now
	}
	var fresh material
	if err == nil {
		fresh, err = s.files.load()
	}
	if err != nil {
		// A certificate and its key are replaced one after the other, so this
		// can be a passing state.
		if sig != s.failed {
			s.logger.Warn("certificates not reloaded", "error", err)
		}
		s.failed = sig
		return s.now
	}
	s.seen, s.now = sig, fresh
	s.logger.Info("certificates reloaded", "certificate", s.files.Certificate)
	return s.now
}

// Server returns the configuration for a listener. Each handshake uses the
// newest files. With authorities, peers must show a certificate that these have
// signed.
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
		// A resumed session would skip the check against changed authorities.
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
// connection uses the newest files. The certificate must be valid for
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
			return nil, errors.Join(fmt.Errorf("handshake with %s: %w", address, err), raw.Close())
		}
		return c, nil
	}
}
