package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	kratoslog "github.com/go-kratos/kratos/v2/log"
	"github.com/go-kratos/kratos/v2/transport"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/protocol/peerrpc"
	"github.com/radishloom/radishloom/internal/telemetry"
	"github.com/radishloom/radishloom/internal/transport/httpclient"
	"github.com/radishloom/radishloom/internal/transport/httpserver"
	"github.com/radishloom/radishloom/platform"
)

const (
	// settingsInterval is how often the settings file is read again, since it may
	// change without a signal.
	settingsInterval = 2 * time.Second
	// stopMargin is kept from the platform's grace period for everything after the
	// last request.
	stopMargin = 700 * time.Millisecond
	// userTimeout and keepAlive bound how long a silent connection stays open.
	userTimeout = 2 * time.Second
	keepAlive   = time.Second
	// idleConnections bounds the unused connections to one endpoint.
	idleConnections = 24
	// idleTime is how long an unused connection is kept if the endpoint does not
	// say how long it keeps it.
	idleTime = 4 * time.Second
	// connectTime bounds one connection attempt inside the fleet's networks.
	connectTime = 400 * time.Millisecond
)

// Run runs the role that the settings describe until a stop signal.
func Run(ctx context.Context, s *platform.Settings, log *slog.Logger) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	kratoslog.SetLogger(telemetry.KratosLogger{Logger: log})
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return err
	}
	log.Info("start", "ip", s.IP, "entry", s.CallerAddress != "", "control", s.ControlAddress != "", "seeds", s.Seeds, "bootstrap", s.Bootstrap)
	defer log.Info("stop")
	if s.ControlAddress != "" {
		return runControl(ctx, s, metrics, log)
	}
	return runEntry(ctx, s, metrics, log)
}

// newClient returns the client for endpoints and the platform.
func newClient() *httpclient.Client {
	return httpclient.New(httpclient.Options{
		ConnectTimeout: connectTime, KeepAlive: keepAlive, UserTimeout: userTimeout,
		IdleConnTimeout: idleTime, MaxIdlePerEndpoint: idleConnections,
	})
}

func newTransport() *peerrpc.Transport {
	dialer := httpclient.NewDialer(httpclient.Options{ConnectTimeout: connectTime, KeepAlive: keepAlive, UserTimeout: userTimeout})
	return peerrpc.NewTransport(peerrpc.Options{Dial: dialer.DialContext})
}

func peersOf(s *platform.Settings) []*statev1.Member {
	out := make([]*statev1.Member, 0, len(s.Seeds))
	for _, ip := range s.Seeds {
		out = append(out, &statev1.Member{Address: s.PeerAddress(ip)})
	}
	return out
}

// serve starts a server in the background; an error other than its end goes to
// failed.
func serve(ctx context.Context, server transport.Server, failed chan<- error) {
	go func() {
		if err := server.Start(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
			select {
			case failed <- err:
			default:
			}
		}
	}()
}

// newServer returns a server whose handler gets every path.
func newServer(address string, handler http.Handler, limits httpserver.Limits, log *slog.Logger) (*httpserver.Server, error) {
	return httpserver.New(httpserver.Config{Address: address, Handler: handler, Limits: limits, DisableHealthChecks: true, Logger: log})
}

// newMetricsServer serves the counters on the metrics port of the VM.
func newMetricsServer(s *platform.Settings, m *telemetry.Metrics, log *slog.Logger) (*httpserver.Server, error) {
	address := net.JoinHostPort(s.IP, fmt.Sprint(s.MetricsPort))
	return newServer(address, m.Handler(), httpserver.Limits{OpenConnections: 16}, log)
}

// watchSettings calls changed with the present settings after SIGHUP and when
// the file changes without a signal. Settings that cannot be read change
// nothing.
func watchSettings(ctx context.Context, current *platform.Settings, log *slog.Logger, changed func(*platform.Settings)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(settingsInterval)
	defer tick.Stop()
	seeds := fmt.Sprint(current.Seeds)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tick.C:
		}
		next, err := platform.LoadSettings()
		if err != nil {
			log.Warn("settings not read; the former ones stay in force", "error", err)
			continue
		}
		if now := fmt.Sprint(next.Seeds); now != seeds {
			seeds = now
			log.Info("settings changed", "seeds", next.Seeds)
			changed(next)
		}
	}
}
