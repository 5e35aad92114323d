package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-kratos/kratos/v2"
	kratostransport "github.com/go-kratos/kratos/v2/transport"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/control"
	"github.com/radishloom/radishloom/internal/coordination/entry"
	"github.com/radishloom/radishloom/internal/coordination/placement"
	"github.com/radishloom/radishloom/internal/coordination/replica"
	"github.com/radishloom/radishloom/internal/protocol/adminrpc"
	"github.com/radishloom/radishloom/internal/protocol/enginehttp"
	"github.com/radishloom/radishloom/internal/protocol/inference"
	"github.com/radishloom/radishloom/internal/protocol/peerrpc"
	"github.com/radishloom/radishloom/internal/protocol/servicehttp"
	"github.com/radishloom/radishloom/internal/settings"
	"github.com/radishloom/radishloom/internal/state/config"
	"github.com/radishloom/radishloom/internal/state/wal"
	"github.com/radishloom/radishloom/internal/telemetry"
	"github.com/radishloom/radishloom/internal/transport/httpclient"
	"github.com/radishloom/radishloom/internal/transport/httpserver"
	"github.com/radishloom/radishloom/internal/transport/membudget"
)

const (
	// drainDelay is how long a VM that shuts down reports not ready while it still
	// accepts requests, so that the load balancer's checks notice first.
	drainDelay = 2 * time.Second
	// shutdownMargin is the time for the rest of the shutdown after the grace period.
	shutdownMargin = 10 * time.Second
	// headerTimeout limits the time in which a caller sends the headers of a request.
	headerTimeout = 5 * time.Second
	// connectionsPerRequest allows for idle connections of callers in addition to
	// those with an open request.
	connectionsPerRequest = 2
	// gaugeInterval is how often gauges are refreshed.
	gaugeInterval = time.Second
)

// Daemon is one radishloomd process.
type Daemon struct {
	settings *settings.Settings
	version  string
	log      *slog.Logger
	metrics  *telemetry.Metrics
	// memory bounds what the callers of all servers hold together. connections is the
	// limit of the server for callers and, with the control role, also of the server for
	// other daemons; otherConnections is that of each further server.
	memory                        *membudget.Budget
	connections, otherConnections int

	transport       *peerrpc.Transport
	controlClient   *peerrpc.ControlClient
	control         *control.Server // nil without the control role
	replica         *replica.Replica
	entry           *entry.Server
	client          *httpclient.Client
	placement       *placement.Owner   // nil without the control role
	placementClient *httpclient.Client // nil without the control role

	peerServer    *httpserver.Server // nil without the control role
	callerServer  *httpserver.Server
	adminServer   *httpserver.Server
	metricsServer *httpserver.Server // nil without a metrics address

	// fatal receives the error of a component that failed before the shutdown.
	fatal chan error
}

// New builds a daemon from validated settings and opens its listeners.
func New(s *settings.Settings, version string, log *slog.Logger) (*Daemon, error) {
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, version: version, log: log, metrics: metrics, fatal: make(chan error, 1)}
	d.setBounds()
	for _, build := range []func() error{d.buildControl, d.buildPlacement, d.buildEntry, d.buildAdmin, d.buildMetricsServer} {
		if err := build(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// setBounds sets the bounds on what callers hold.
func (d *Daemon) setBounds() {
	descriptors := membudget.Descriptors()
	if n := d.settings.Limits.FileDescriptors; n > 0 {
		descriptors = min(descriptors, n)
	}
	mainServers := 1
	if d.settings.Control != nil {
		mainServers = 2 // for callers and for other daemons
	}
	d.memory = membudget.ForProcess(d.settings.Limits.MemoryBytes)
	d.connections, d.otherConnections = d.memory.Connections(descriptors, httpserver.ConnBytes, mainServers)
}

func (d *Daemon) buildControl() error {
	secure, serverTLS, err := peerTLS(d.settings.Peer.TLS, d.log)
	if err != nil {
		return err
	}
	d.transport = peerrpc.NewTransport(peerrpc.Options{Secure: secure})
	if d.settings.Control == nil {
		d.controlClient = peerrpc.NewControlClient(d.transport, nil, d.settings.ControlVMs)
		return nil
	}
	d.control, err = control.New(d.controlConfig())
	if err != nil {
		return fmt.Errorf("start the control role: %w", err)
	}
	addresses := moveToFront(d.settings.Control.Address, d.settings.ControlVMs)
	d.controlClient = peerrpc.NewControlClient(d.transport, d.control, addresses)
	d.peerServer, err = httpserver.New(httpserver.Config{
		Address: d.settings.Peer.Address,
		TLS:     serverTLS,
		Handler: peerrpc.NewHandler(d.control),
		Logger:  d.log,
		Limits:  httpserver.Limits{OpenConnections: d.connections}, Memory: d.memory, Metrics: d.metrics,
	})
	return err
}

func (d *Daemon) controlConfig() control.Config {
	c := d.settings.Control
	member := &statev1.Member{Vm: d.settings.VM, DataCentre: d.settings.DataCentre, Address: c.Address}
	cfg := control.Config{
		Dir:           c.DataFolder,
		FS:            wal.OS{},
		Member:        member,
		Bootstrap:     c.Bootstrap,
		MinVoters:     len(c.BootstrapMembers),
		Transport:     d.transport,
		ObserveDemand: d.observeDemand,
		Metrics: telemetry.ControlMetrics{
			Metrics: d.metrics, Log: d.log, Self: func() uint64 { return d.control.MemberID() },
		},
	}
	for _, m := range c.BootstrapMembers {
		cfg.Peers = append(cfg.Peers, &statev1.Member{Vm: m.VM, DataCentre: m.DataCentre, Address: m.Address})
	}
	if len(cfg.Peers) == 0 {
		for _, a := range d.settings.ControlVMs {
			cfg.Peers = append(cfg.Peers, &statev1.Member{Address: a})
		}
	}
	return cfg
}

// moveToFront returns the addresses with first at the front.
func moveToFront(first string, addresses []string) []string {
	out := []string{first}
	for _, a := range addresses {
		if a != first {
			out = append(out, a)
		}
	}
	return out
}

func (d *Daemon) buildEntry() error {
	d.client = httpclient.New(httpclient.Options{})
	d.replica = replica.New(replica.Config{
		VM:         d.settings.VM,
		DataCentre: d.settings.DataCentre,
		Control:    d.controlClient,
		Logger:     d.log,
		OnConfig:   d.setKnownNames,
		OnLease:    func(m replica.LeaseChange) { d.metrics.Leases(m.Granted, m.Returned, m.Free) },
	})
	platform, err := newPlatformList(d.client, d.settings.PlatformListURL)
	if err != nil {
		return err
	}
	d.entry, err = entry.New(entry.Config{
		VM:         d.settings.VM,
		DataCentre: d.settings.DataCentre,
		Engine:     enginehttp.New(d.client),
		Service:    servicehttp.New(d.client),
		Platform:   platform,
		Replica:    d.replica,
		Observer:   observer{metrics: d.metrics, log: d.log},
		Logger:     d.log,
		Seed:       rand.Uint64(),
		MaxOpen:    d.settings.Limits.OpenRequests,

		MaxOpenPerCustomer: d.settings.Limits.CustomerOpenRequests,
	})
	if err != nil {
		return err
	}
	serverTLS, err := listenerTLS(d.settings.Caller.TLS, d.log)
	if err != nil {
		return err
	}
	limits := d.settings.Limits
	d.callerServer, err = httpserver.New(httpserver.Config{
		Address: d.settings.Caller.Address,
		TLS:     serverTLS,
		Handler: d.callerHandler(),
		Limits: httpserver.Limits{
			HeaderBytes:     limits.HeaderBytes,
			HeaderTimeout:   min(headerTimeout, limits.TimeToSend),
			BodyTimeout:     limits.TimeToSend,
			WriteTimeout:    limits.TimeToRead,
			OpenConnections: min(d.connections, connectionsPerRequest*limits.OpenRequests),
			Grace:           d.settings.GracePeriod,
		},
		Ready:  d.entry.Ready,
		Logger: d.log,
		Memory: d.memory, Metrics: d.metrics,
	})
	return err
}

func (d *Daemon) callerHandler() http.Handler {
	return inference.New(inference.Options{
		Server:          d.entry,
		Routes:          d.routes,
		Fresh:           d.replica.Fresh,
		MaxBodyBytes:    d.settings.Limits.BodyBytes,
		BodyMemoryBytes: d.settings.Limits.BodyMemoryBytes,
		MaxOpenRequests: int64(d.settings.Limits.OpenRequests),
		Logger:          d.log,
	})
}

func (d *Daemon) routes() inference.Routes {
	if index := d.replica.Index(); index != nil {
		return index
	}
	return nil
}

func (d *Daemon) setKnownNames(index *config.Index) {
	var customers, profiles []string
	for _, c := range index.Config().GetCustomers() {
		customers = append(customers, c.GetName())
	}
	for _, p := range index.Config().GetProfiles() {
		profiles = append(profiles, p.GetName())
	}
	d.metrics.SetKnown(customers, profiles)
}

func (d *Daemon) buildAdmin() error {
	fleet := &adminFleet{
		vm:               d.settings.VM,
		version:          d.version,
		control:          d.control,
		controlClient:    d.controlClient,
		transport:        d.transport,
		controlAddresses: d.settings.ControlVMs,
		replica:          d.replica,
		entry:            d.entry,
	}
	var operators []adminrpc.Operator
	for _, o := range d.settings.Admin.Operators {
		operators = append(operators, adminrpc.Operator{Name: o.Name, TokenSHA256: o.TokenSHA256})
	}
	server := adminrpc.New(adminrpc.Options{VM: d.settings.VM, Fleet: fleet, Operators: operators, Log: d.log})
	serverTLS, err := listenerTLS(d.settings.Admin.TLS, d.log)
	if err != nil {
		return err
	}
	d.adminServer, err = httpserver.New(httpserver.Config{
		Address: d.settings.Admin.Address,
		TLS:     serverTLS,
		Handler: server.Handler(),
		Logger:  d.log,
		Limits:  httpserver.Limits{OpenConnections: d.otherConnections}, Memory: d.memory, Metrics: d.metrics,
	})
	return err
}

func (d *Daemon) buildMetricsServer() error {
	if d.settings.Metrics.Address == "" {
		return nil
	}
	var err error
	d.metricsServer, err = httpserver.New(httpserver.Config{
		Address: d.settings.Metrics.Address,
		Handler: d.metrics.Handler(),
		Ready:   d.entry.Ready,
		Logger:  d.log,
		Limits:  httpserver.Limits{OpenConnections: d.otherConnections}, Memory: d.memory, Metrics: d.metrics,
	})
	return err
}

// Run serves until ctx ends, a signal arrives or a component fails, and then shuts
// down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	// kratos.New sets kratos' global logger, so it comes before any server starts.
	app := d.newApp(ctx)
	loopCtx, stopLoops := context.WithCancel(context.Background())
	defer stopLoops()
	control := d.startControl()
	var loops sync.WaitGroup
	loops.Go(func() { d.reportFailure("replica", d.replica.Run(loopCtx)) })
	loops.Go(func() { d.reportFailure("entry", d.entry.Run(loopCtx)) })
	loops.Go(func() { d.refreshGauges(loopCtx) })
	loops.Go(func() { d.memory.Report(loopCtx, d.metrics.CallerMemory) })
	loops.Go(func() { d.runPlacement(loopCtx) })

	var failure error
	finished := make(chan struct{})
	go func() {
		select {
		case failure = <-d.fatal:
			d.log.Error("component failed, shutting down", "error", failure)
			_ = app.Stop()
		case <-finished:
		}
	}()
	err := app.Run()
	close(finished)
	stopLoops()
	loops.Wait()
	control.stop()
	d.transport.Close()
	d.client.Close()
	return errors.Join(failure, err, d.metrics.Shutdown(context.Background()))
}

func (d *Daemon) newApp(ctx context.Context) *kratos.App {
	servers := []kratostransport.Server{d.callerServer, d.adminServer}
	if d.metricsServer != nil {
		servers = append(servers, d.metricsServer)
	}
	return kratos.New(
		kratos.Name("radishloomd"),
		kratos.ID(d.settings.VM),
		kratos.Version(d.version),
		kratos.Context(ctx),
		kratos.Logger(telemetry.KratosLogger{Logger: d.log}),
		kratos.Server(servers...),
		kratos.StopTimeout(d.settings.GracePeriod+shutdownMargin),
		kratos.BeforeStop(d.drain),
	)
}

// drain reports not ready and waits until the load balancer's checks have noticed.
// Requests are still accepted meanwhile.
func (d *Daemon) drain(context.Context) error {
	d.log.Info("shutting down", "open_requests", d.entry.OpenRequests())
	delay := min(drainDelay, d.settings.GracePeriod)
	d.entry.BeginStop(delay, d.settings.GracePeriod)
	d.callerServer.Drain()
	time.Sleep(delay)
	return nil
}

// reportFailure reports the error of a component that should run until the shutdown.
func (d *Daemon) reportFailure(component string, err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	select {
	case d.fatal <- fmt.Errorf("%s: %w", component, err):
	default:
	}
}

// runningControl is the running control role. The zero value stands for a VM without
// the control role.
type runningControl struct {
	cancel     context.CancelFunc
	done       chan struct{}
	peerServer *httpserver.Server
}

func (d *Daemon) startControl() runningControl {
	if d.control == nil {
		return runningControl{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := runningControl{cancel: cancel, done: make(chan struct{}), peerServer: d.peerServer}
	go func() { d.reportFailure("listener for other daemons", d.peerServer.Start(ctx)) }()
	go func() {
		defer close(c.done)
		d.reportFailure("control role", d.control.Run(ctx))
	}()
	return c
}

// stop stops the control role, which transfers leadership first.
func (c runningControl) stop() {
	if c.cancel == nil {
		return
	}
	c.cancel()
	<-c.done
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.peerServer.Stop(ctx)
}

// refreshGauges updates the gauges of the metrics every gaugeInterval.
func (d *Daemon) refreshGauges(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.metrics.OpenRequests(d.entry.OpenRequests())
		if index := d.replica.Index(); index != nil {
			d.metrics.Freshness(index.Version(), d.replica.Fresh())
		}
	}
}
