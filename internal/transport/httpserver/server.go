// Package httpserver runs kratos HTTP servers with limits on header size, time
// and open connections, with health checks and graceful shutdown.
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

	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/transport/membudget"
)

// Paths of the health checks. They are not passed to the handler.
const (
	PathHealthy = "/healthz"
	PathReady   = "/readyz"
)

// Limits bounds the resources that callers can use. Zero fields take the
// defaults.
type Limits struct {
	// HeaderBytes bounds the request line and the header together.
	HeaderBytes int
	// HeaderLines bounds the lines of a header, BlankLines the empty lines before a
	// request.
	HeaderLines, BlankLines int
	// HeaderTimeout bounds the time to receive the request line and the header,
	// BodyTimeout the time to receive the body. They begin with the first byte of the
	// request line and with the end of the header.
	HeaderTimeout, BodyTimeout time.Duration
	// BodyGrace is the time after which a body must have arrived at MinBodyRate on
	// average, in bytes per second. By default it is BodyTimeout, so that the rate has no
	// effect.
	BodyGrace   time.Duration
	MinBodyRate int
	// WriteTimeout bounds each write of a part of a response. The connection of a
	// caller that accepts no data for this time is closed.
	WriteTimeout time.Duration
	// IdleTimeout bounds the time between two requests on a connection.
	IdleTimeout time.Duration
	// OpenConnections bounds the number of open connections.
	OpenConnections int
	// Grace bounds the wait of Stop for in-flight requests.
	Grace time.Duration
}

const (
	defaultHeaderBytes = 32 << 10
	// minLineBytes is the size of the shortest header line, "a:" and its end. The default
	// of HeaderLines follows from it: no header within HeaderBytes has more lines.
	minLineBytes = 3
	// defaultBlankLines is what net/http accepts after a POST: four line ends.
	defaultBlankLines = 4
	// defaultMinBodyRate lets a body of 4 MiB, the largest in most deployments, take all
	// of defaultBodyTimeout.
	defaultMinBodyRate     = 128 << 10
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
	if l.HeaderLines <= 0 {
		l.HeaderLines = l.HeaderBytes/minLineBytes + 1
	}
	if l.BlankLines <= 0 {
		l.BlankLines = defaultBlankLines
	}
	if l.MinBodyRate <= 0 {
		l.MinBodyRate = defaultMinBodyRate
	}
	if l.OpenConnections <= 0 {
		l.OpenConnections = defaultOpenConnections
	}
	setDefault(&l.HeaderTimeout, defaultHeaderTimeout)
	setDefault(&l.BodyTimeout, defaultBodyTimeout)
	setDefault(&l.BodyGrace, l.BodyTimeout)
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

// Metrics counts what the server refuses itself. Its methods must not block.
type Metrics interface {
	Refusal(code resultcode.Code)
	// ConnectionClosed gets one of CloseReasons.
	ConnectionClosed(reason string)
}

// Config describes one server.
type Config struct {
	// Address is host:port. Listener, if set, is used instead.
	Address  string
	Listener net.Listener
	// TLS, if set, makes the server speak TLS only.
	TLS     *tls.Config
	Handler http.Handler
	Limits  Limits
	// Memory bounds what callers hold; nil means no bound. Servers of one process share
	// it.
	Memory *membudget.Budget
	// Metrics may be nil.
	Metrics Metrics
	// DisableHealthChecks passes requests for PathHealthy and PathReady to the
	// handler, for a server whose callers may use any path.
	DisableHealthChecks bool
	// Ready reports whether PathReady answers that the server is ready; nil means
	// always ready.
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

// New opens the listener and returns a server that serves after Start.
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
	s.listener = newLimitListener(l, s.limits, c)
	s.kratos = s.newKratos()
	return s, nil
}

// newKratos creates the kratos server. The kratos timeout is disabled because it
// would end streams after one second. All requests are handled in a filter
// because the kratos router redirects paths that are not in canonical form.
func (s *Server) newKratos() *kratos.Server {
	options := []kratos.ServerOption{
		kratos.Timeout(0),
		kratos.Listener(s.listener),
		// Without an address kratos lists the network interfaces of the VM, which some
		// platforms do not allow.
		kratos.Address(s.listener.Addr().String()),
		kratos.Filter(func(http.Handler) http.Handler { return http.HandlerFunc(s.serve) }),
	}
	k := kratos.NewServer(options...)
	// headGuard refuses a larger header before net/http does, and limits the time from
	// its first byte; net/http would count the time before the first request as well.
	k.MaxHeaderBytes = 2 * s.limits.HeaderBytes
	k.ReadHeaderTimeout = s.limits.IdleTimeout
	// headGuard needs to know the length of each request's body, so each goes to serve.
	k.DisableGeneralOptionsHandler = true
	k.IdleTimeout = s.limits.IdleTimeout
	k.ErrorLog = slog.NewLogLogger(s.config.Logger.Handler(), slog.LevelDebug)
	k.ConnContext = withConn
	k.ConnState = trackIdle
	k.Protocols = new(http.Protocols)
	k.Protocols.SetHTTP1(true)
	return k
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Endpoint implements transport.Endpointer.
func (s *Server) Endpoint() (*url.URL, error) {
	u, err := s.kratos.Endpoint()
	if err == nil && s.config.TLS != nil {
		u.Scheme = "https" // kratos does not know of the listener's TLS
	}
	return u, err
}

// Start implements transport.Server and returns when the server is stopped. The
// end of ctx does not cancel requests, so that Stop can let them finish.
func (s *Server) Start(ctx context.Context) error {
	return s.kratos.Start(context.WithoutCancel(ctx))
}

// Drain makes the server report "not ready" and close each connection after its
// current response. Requests are still accepted.
func (s *Server) Drain() { s.draining.Store(true) }

// Stop implements transport.Server. It stops accepting connections, waits for
// in-flight requests until the grace period or ctx ends, and then closes the
// remaining connections. Idle connections, and those that wait to be accepted, get a
// refusal before they are closed, for a request that may be on its way. A kratos
// application needs a StopTimeout longer than the grace period.
func (s *Server) Stop(ctx context.Context) error {
	s.Drain()
	ctx, cancel := context.WithTimeout(ctx, s.limits.Grace)
	defer cancel()
	s.listener.idle.begin()
	err := s.kratos.Shutdown(ctx)
	// Shutdown does not close the listener of a server that was never started.
	_ = s.listener.Close()
	s.listener.handshakes.Wait()
	if err == nil || errors.Is(err, net.ErrClosed) {
		s.listener.idle.end(ctx)
		return nil
	}
	closeErr := s.kratos.Close()
	s.listener.idle.end(ctx)
	return errors.Join(fmt.Errorf("requests still in flight after the grace period were aborted: %w", err), closeErr)
}

// Connections returns the number of open connections.
func (s *Server) Connections() int { return s.listener.open() }
