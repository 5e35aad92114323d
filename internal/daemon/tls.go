package daemon

import (
	"crypto/tls"
	"fmt"
	"log/slog"

	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/protocol/peerrpc"
	"github.com/radishloom/radishloom/internal/protocol/platformhttp"
	"github.com/radishloom/radishloom/internal/settings"
	"github.com/radishloom/radishloom/internal/transport/tlsconfig"
)

// listenerTLS returns the TLS configuration of a listener, or nil for plain text.
func listenerTLS(pair *settings.KeyPair, log *slog.Logger) (*tls.Config, error) {
	if pair == nil {
		return nil, nil
	}
	source, err := tlsconfig.Open(tlsconfig.Files{Certificate: pair.Certificate, Key: pair.Key}, log)
	if err != nil {
		return nil, fmt.Errorf("load certificate: %w", err)
	}
	return source.Server(), nil
}

// peerTLS returns the TLS settings of connections to and from other daemons, or nil
// for plain text.
func peerTLS(m *settings.MutualTLS, log *slog.Logger) (peerrpc.SecureDial, *tls.Config, error) {
	if m == nil {
		return nil, nil, nil
	}
	source, err := tlsconfig.Open(tlsconfig.Files{Certificate: m.Certificate, Key: m.Key, Authorities: m.CA}, log)
	if err != nil {
		return nil, nil, fmt.Errorf("load certificate for other daemons: %w", err)
	}
	secure := func(dial peerrpc.DialFunc) peerrpc.DialFunc { return source.Dialer(dial, "") }
	return secure, source.Server(), nil
}

// newPlatformList returns the client of the platform's endpoint list, or nil if no
// address is set.
func newPlatformList(client exchange.Client, address string) (engine.Platform, error) {
	if address == "" {
		return nil, nil
	}
	list, err := platformhttp.New(client, address)
	if err != nil {
		return nil, fmt.Errorf("platform list: %w", err)
	}
	return list, nil
}
