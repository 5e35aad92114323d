// Package httpserver runs kratos HTTP servers with limits on headers, bodies,
// time and connections, with health checks and a graceful shutdown.
package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	kratos "github.com/go-kratos/kratos/v2/transport/http"
)

// Paths of the health checks. They are not passed to the handler.
const (
	PathHealthy = "/healthz"
	PathReady   = "/readyz"
)

// Limits bounds what callers can take. Zero fields take the defaults.
type Limits struct {
	// HeaderBytes bounds the request line and the header together.
	HeaderBytes int
	// HeaderTimeout bounds the time to send them, BodyTimeout that for the body.
	HeaderTimeout, BodyTimeout time.Duration
	// WriteTimeout bounds each write of a part of an answer. A caller that takes
	// nothing for so long is cut.
	WriteTimeout time.Duration
	// IdleTimeout bounds the time between two requests on a connection.
	IdleTimeout time.Duration
	// OpenConnections bounds the connections at one time.
	OpenConnections int
	// Grace bounds the wait for requests in Stop.
	Grace time.Duration
}

const (
	defaultHeaderBytes     = 32 << 10
	defaultHeaderTimeout   = 5 * time.Second
	defaultBodyTimeout     = 30 * time.Second
	defaultWriteTimeout    = 10 * time.Second
	defaultIdleTimeout     = 60 * time.Second
	defaultOpenConnections = 8192
	defaultGrace           = 30 * time.Second
)

func (l Limits) withDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.OpenConnections <= 0 {
		l.OpenConnections = defaultOpenConnections
	}
	setDefault(&l.HeaderTimeout, defaultHeaderTimeout)
	setDefault(&l.BodyTimeout, defaultBodyTimeout)
	setDefault(&l.WriteTimeout, defaultWriteTimeout)
	setDefault(&l.IdleTimeout, defaultIdleTimeout)
	setDefault(&l.Grace, defaultGrace)
	return l
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Config describes one server.
type Config struct {
	// Address is host:port. Listener, if set, is used in its place.
	Address  string
	Listener net.Listener
	// TLS, if set, makes the server speak TLS only.
	TLS     *tls.Config
	Handler http.Handler
	Limits  Limits
	// DisableHealthChecks passes requests for PathHealthy and PathReady to the
	// handler, for a server whose callers may use any path.
	DisableHealthChecks bool
	// Ready decides the answer to PathReady; nil is always ready.
	Ready  func() bool
	Logger *slog.Logger
}

// Server is a kratos transport server. It is safe for concurrent use.
type Server struct {
	config   Config
	limits   Limits
	listener *limitListener
	kratos   *kratos.Server
	draining atomic.Bool
}

var (
	_ transport.Server     = (*Server)(nil)
	_ transport.Endpointer = (*Server)(nil)
)

// New listens and returns a server that serves once it is started.
func New(c Config) (*Server, error) {
	if c.Logger == nil {
		c.Logger = slog.Default()
	}
	l := c.Listener
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", c.Address); err != nil {
			return nil, fmt.Errorf("listen on %s: %w", c.Address, err)
		}
	}
	s := &Server{config: c, limits: c.Limits.withDefaults()}
	s.listener = newLimitListener(l, s.limits, c.TLS == nil)
	s.kratos = s.newKratos()
	return s, nil
}

// newKratos sets up the kratos server. Its own timeout would end streams after
// one second, so it is switched off. All requests are handled in a filter,
// because the router behind it redirects paths that it regards as unclean.
func (s *Server) newKratos() *kratos.Server {
	options := []kratos.ServerOption{
		kratos.Timeout(0),
		kratos.Listener(s.listener),
		// With the address kratos need not ask for the interfaces of the VM, which
		// some platforms refuse.
		kratos.Address(s.listener.Addr().String()),
		kratos.Filter(func(http.Handler) http.Handler { return http.HandlerFunc(s.serve) }),
	}
	if s.config.TLS != nil {
		options = append(options, kratos.TLSConfig(s.config.TLS))
	}
	k := kratos.NewServer(options...)
	// Above HeaderBytes this package answers with a code; twice that is refused
	// by net/http while it reads.
	k.MaxHeaderBytes = 2 * s.limits.HeaderBytes
	k.ReadHeaderTimeout = s.limits.HeaderTimeout
	k.IdleTimeout = s.limits.IdleTimeout
	k.ErrorLog = slog.NewLogLogger(s.config.Logger.Handler(), slog.LevelDebug)
	k.Protocols = new(http.Protocols)
	k.Protocols.SetHTTP1(true)
	return k
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Endpoint implements transport.Endpointer.
func (s *Server) Endpoint() (*url.URL, error) { return s.kratos.Endpoint() }

// Start implements transport.Server and returns when the server was stopped.
// Requests outlive the end of ctx, so that Stop can let them finish.
func (s *Server) Start(ctx context.Context) error {
	return s.kratos.Start(context.WithoutCancel(ctx))
}

// Drain makes the server report not ready and close each connection after its
// present answer, while it still takes requests.
func (s *Server) Drain() { s.draining.Store(true) }

// Stop implements transport.Server. It stops accepting connections, waits for
// requests until the grace period or ctx ends, and then cuts the rest. A kratos
// application must have a StopTimeout above the grace period.
func (s *Server) Stop(ctx context.Context) error {
	s.Drain()
	ctx, cancel := context.WithTimeout(ctx, s.limits.Grace)
	defer cancel()
	err := s.kratos.Shutdown(ctx)
	// A server that was never started does not know its listener.
	_ = s.listener.Close()
	if err == nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	closeErr := s.kratos.Close()
	return errors.Join(fmt.Errorf("requests were cut after the grace period: %w", err), closeErr)
}

// Connections returns the number of open connections.
func (s *Server) Connections() int { return s.listener.open() }
