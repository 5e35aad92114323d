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
	"github.com/radishloom/radishloom/internal/transport/membudget"
	"github.com/radishloom/radishloom/platform"
)

const (
	// settingsPollInterval is how often the settings file is read again, since it may
	// change without a signal.
	settingsPollInterval = 2 * time.Second
	// shutdownMargin is the part of the platform's grace period that is reserved for
	// the shutdown after the last request.
	shutdownMargin = 700 * time.Millisecond
	// userTimeout and keepAlive limit how long a TCP connection stays open whose peer
	// does not respond.
	userTimeout = 2 * time.Second
	keepAlive   = time.Second
	// maxIdlePerEndpoint is the largest number of idle connections to one endpoint.
	maxIdlePerEndpoint = 24
	// idleTimeout is how long an idle connection is kept if the endpoint does not
	// announce its own idle time-out.
	idleTimeout = 4 * time.Second
	// connectTimeout limits one connection attempt inside the fleet's networks.
	connectTimeout = 400 * time.Millisecond
)

// Run runs the role that the settings select until a stop signal arrives.
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
	b := newBounds(s, metrics)
	go b.memory.Report(ctx, metrics.CallerMemory)
	log.Info("bounds of callers", "memory_bytes", b.memory.Total(), "connections", b.connections)
	if s.ControlAddress != "" {
		return runControl(ctx, s, metrics, b, log)
	}
	return runEntry(ctx, s, metrics, b, log)
}

// newClient returns the HTTP client for endpoints and the platform.
func newClient() *httpclient.Client {
	return httpclient.New(httpclient.Options{
		ConnectTimeout: connectTimeout, KeepAlive: keepAlive, UserTimeout: userTimeout,
		IdleConnTimeout: idleTimeout, MaxIdlePerEndpoint: maxIdlePerEndpoint,
	})
}

func newTransport() *peerrpc.Transport {
	dialer := httpclient.NewDialer(httpclient.Options{ConnectTimeout: connectTimeout, KeepAlive: keepAlive, UserTimeout: userTimeout})
	return peerrpc.NewTransport(peerrpc.Options{Dial: dialer.DialContext})
}

func seedMembers(s *platform.Settings) []*statev1.Member {
	out := make([]*statev1.Member, 0, len(s.Seeds))
	for _, ip := range s.Seeds {
		out = append(out, &statev1.Member{Address: s.PeerAddress(ip)})
	}
	return out
}

// serve runs a server in the background. An error other than
// http.ErrServerClosed is sent to errs.
func serve(ctx context.Context, server transport.Server, errs chan<- error) {
	go func() {
		if err := server.Start(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
			select {
			case errs <- err:
			default:
			}
		}
	}()
}

// defaultMemoryBytes is the memory of a VM whose settings do not state it.
const defaultMemoryBytes = 256 << 20

// maxScrapeConnections bounds the connections for metrics and operators' views.
const maxScrapeConnections = 16

// bounds limits what callers hold at all servers of this process.
type bounds struct {
	memory *membudget.Budget
	// connections is the largest number of connections of the main server,
	// otherConnections that of each other server.
	connections, otherConnections int
	metrics                       *telemetry.Metrics
}

func newBounds(s *platform.Settings, metrics *telemetry.Metrics) bounds {
	memory, descriptors := s.MemoryBytes, membudget.Descriptors()
	if memory == 0 {
		memory = defaultMemoryBytes
	}
	if s.FileDescriptors > 0 {
		descriptors = min(descriptors, s.FileDescriptors)
	}
	b := bounds{memory: membudget.ForProcess(memory), metrics: metrics}
	b.connections, b.otherConnections = b.memory.Connections(descriptors, httpserver.ConnBytes, 1)
	return b
}

// newServer returns a server that passes requests for all paths to handler.
// limits.OpenConnections must be set; b.connections bounds it.
func (b bounds) newServer(address string, handler http.Handler, limits httpserver.Limits, log *slog.Logger) (*httpserver.Server, error) {
	limits.OpenConnections = min(limits.OpenConnections, b.connections)
	return httpserver.New(httpserver.Config{
		Address: address, Handler: handler, Limits: limits, Memory: b.memory, Metrics: b.metrics,
		DisableHealthChecks: true, Logger: log,
	})
}

// newMetricsServer returns the server for metrics scrapes and for view, which answers
// operators at path and below it: about the quarantine on control VMs, about decisions
// on entries.
func newMetricsServer(s *platform.Settings, b bounds, log *slog.Logger, path string, view http.Handler) (*httpserver.Server, error) {
	address := net.JoinHostPort(s.IP, fmt.Sprint(s.MetricsPort))
	mux := http.NewServeMux()
	mux.Handle("/", b.metrics.Handler())
	mux.Handle(path, view)
	mux.Handle(path+"/", view)
	return b.newServer(address, mux, httpserver.Limits{OpenConnections: min(maxScrapeConnections, b.otherConnections)}, log)
}

// watchSettings reads the settings after SIGHUP and every settingsPollInterval, and
// calls onChange if the seeds have changed. If the settings cannot be read, the
// previous ones stay in force.
func watchSettings(ctx context.Context, current *platform.Settings, log *slog.Logger, onChange func(*platform.Settings)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(settingsPollInterval)
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
			log.Warn("settings cannot be read, the previous ones stay in force", "error", err)
			continue
		}
		if newSeeds := fmt.Sprint(next.Seeds); newSeeds != seeds {
			seeds = newSeeds
			log.Info("settings changed", "seeds", next.Seeds)
			onChange(next)
		}
	}
}
