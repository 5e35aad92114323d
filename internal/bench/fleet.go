package bench

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/control"
	"github.com/radishloom/radishloom/internal/coordination/entry"
	coordreplica "github.com/radishloom/radishloom/internal/coordination/replica"
	"github.com/radishloom/radishloom/internal/protocol/enginehttp"
	"github.com/radishloom/radishloom/internal/protocol/inference"
	"github.com/radishloom/radishloom/internal/protocol/servicehttp"
	standinengine "github.com/radishloom/radishloom/internal/standin/engine"
	standinservice "github.com/radishloom/radishloom/internal/standin/service"
	"github.com/radishloom/radishloom/internal/state/config"
	"github.com/radishloom/radishloom/internal/state/wal"
	"github.com/radishloom/radishloom/internal/transport/httpclient"
	"github.com/radishloom/radishloom/internal/transport/httpserver"
)

const (
	startTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

var errUnreachable = errors.New("control server unreachable")

// soloTransport is the peer transport of the single control server, which has no
// peers.
type soloTransport struct{}

func (soloTransport) Send(*statev1.Member, []*statev1.Message) {}

func (soloTransport) Propose(context.Context, *statev1.Member, *peerv1.ProposeRequest) (*peerv1.ProposeResponse, error) {
	return nil, errUnreachable
}

func (soloTransport) Sync(context.Context, *statev1.Member, *peerv1.SyncRequest) (*peerv1.SyncResponse, error) {
	return nil, errUnreachable
}

func (soloTransport) Join(context.Context, *statev1.Member, *peerv1.JoinRequest) (*peerv1.JoinResponse, error) {
	return nil, errUnreachable
}

func (soloTransport) Bootstrap(context.Context, *statev1.Member, *peerv1.BootstrapRequest) (*peerv1.BootstrapResponse, error) {
	return nil, errUnreachable
}

// inProcessClient calls the control server in this process. Messages are copied,
// as they are when sent over a connection.
type inProcessClient struct {
	control *control.Server
	lost    atomic.Bool
}

// Propose implements replica.ControlClient.
func (d *inProcessClient) Propose(ctx context.Context, c *statev1.Command) (*statev1.Result, error) {
	if d.lost.Load() {
		return nil, errUnreachable
	}
	resp, err := d.control.Propose(ctx, &peerv1.ProposeRequest{Command: proto.CloneOf(c)})
	return proto.CloneOf(resp.GetResult()), err
}

// Sync implements replica.ControlClient.
func (d *inProcessClient) Sync(ctx context.Context, r *peerv1.SyncRequest) (*peerv1.SyncResponse, error) {
	if d.lost.Load() {
		return nil, errUnreachable
	}
	resp, err := d.control.Sync(ctx, proto.CloneOf(r))
	return proto.CloneOf(resp), err
}

// vm is one entry VM.
type vm struct {
	address       string
	entry         *entry.Server
	controlClient *inProcessClient
	client        *httpclient.Client
	server        *httpserver.Server
	cancel        context.CancelFunc
	stopped       chan struct{}
	lost          atomic.Bool
}

// fleet is a complete deployment that runs in this process.
type fleet struct {
	d        Deployment
	engines  []*standinengine.Engine
	services []*standinservice.Service
	vms      []*vm
	keys     []string
	control  *control.Server
	cleanups []func() // in start order; run in reverse
}

// startFleet returns once every entry is ready. The caller must close the fleet
// even after an error.
func startFleet(d Deployment, t traffic, p *probe, seed uint64, baseline entry.Baseline) (*fleet, error) {
	f := &fleet{d: d}
	for _, step := range []func() error{
		f.startControl, f.startEngines, f.startServices,
		func() error { return f.configure(t.rate, baseline) },
	} {
		if err := step(); err != nil {
			return f, err
		}
	}
	for i := range entryCount {
		v, err := startVM(vmConfig{
			name: fmt.Sprintf("vm-%d", i), dataCentre: d.dataCentre(i), control: f.control,
			probe: p, seed: seed + uint64(i), baseline: baseline,
		})
		if err != nil {
			return f, err
		}
		f.vms = append(f.vms, v)
	}
	return f, await("entries not ready", func() bool {
		for _, v := range f.vms {
			if !v.entry.Ready() {
				return false
			}
		}
		return true
	})
}

func await(what string, done func() bool) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("timed out after 20 s: %s", what)
}

func (f *fleet) close() {
	for _, v := range f.vms {
		v.close()
	}
	for i := len(f.cleanups) - 1; i >= 0; i-- {
		f.cleanups[i]()
	}
}

func (f *fleet) startControl() error {
	dir, err := os.MkdirTemp("", "radishloom-bench")
	if err != nil {
		return err
	}
	f.cleanups = append(f.cleanups, func() { _ = os.RemoveAll(dir) })
	member := &statev1.Member{Vm: "control", Address: "127.0.0.1:1"}
	f.control, err = control.New(control.Config{
		Dir: dir, FS: wal.OS{}, Member: member, Peers: []*statev1.Member{member}, Bootstrap: true, Transport: soloTransport{},
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = f.control.Run(ctx) }()
	f.cleanups = append(f.cleanups, func() { cancel(); <-ended })
	return nil
}

// apply commits a configuration as soon as the control server has a leader.
func (f *fleet) apply(document *statev1.Config) error {
	command := &statev1.Command{RequestId: "bench", Author: "bench", Op: &statev1.Command_ConfigChange{
		ConfigChange: &statev1.ConfigChange{Replace: document},
	}}
	calls := &inProcessClient{control: f.control}
	var refused error
	err := await("control server has no leader", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		result, err := calls.Propose(ctx, command)
		if err == nil && result.GetCode() != 0 {
			refused = fmt.Errorf("configuration refused: %v", result)
		}
		return err == nil
	})
	return errors.Join(err, refused)
}

func (f *fleet) startEngines() error {
	for _, held := range f.d.placeModels() {
		c := standinengine.Config{
			MemoryMB: modelsPerEngine * modelMemoryMB, Slots: engineSlots, TokenTime: tokenTime, BatchSlowdown: batchSlowdown,
			PromptTokenTime: promptTokenTime, AdapterLoadTime: f.d.AdapterLoad, ReportLag: reportLag, CacheLag: cacheLag,
			RestartAfter: restartDelay,
		}
		for _, m := range held {
			c.Resident = append(c.Resident, modelName(m))
			c.Models = append(c.Models, standinengine.Model{
				Name: modelName(m), Version: "1", MemoryMB: modelMemoryMB, Adapters: f.d.adaptersOf(m),
			})
		}
		e, err := standinengine.Start("127.0.0.1:0", c)
		if err != nil {
			return err
		}
		e.SetFaults(standinengine.Faults{CrashMark: poisonMark})
		f.engines = append(f.engines, e)
		f.cleanups = append(f.cleanups, e.Close)
	}
	return nil
}

func (f *fleet) startServices() error {
	for range f.d.Services {
		s, err := standinservice.Start("127.0.0.1:0", standinservice.Config{Slots: serviceSlots, RestartAfter: restartDelay})
		if err != nil {
			return err
		}
		s.SetFaults(standinservice.Faults{Delay: serviceDelay})
		f.services = append(f.services, s)
		f.cleanups = append(f.cleanups, s.Close)
	}
	return nil
}

func (f *fleet) configure(rate float64, baseline entry.Baseline) error {
	var keys []*statev1.Key
	for c := range customers() {
		secret, key, err := config.NewKey(fixedReader{byte(c + 1)}, customerName(c), "")
		if err != nil {
			return err
		}
		f.keys, keys = append(f.keys, secret), append(keys, key)
	}
	return f.apply(f.d.document(addresses(f.engines), addresses(f.services), keys, rate, baseline))
}

// fixedReader is a deterministic source of bytes for customers' keys, so that a
// run depends on its seed only. The keys are used only on this machine and need
// not be secret.
type fixedReader struct{ b byte }

// Read implements io.Reader.
func (k fixedReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = k.b
	}
	return len(p), nil
}

func addresses[T interface{ Addr() string }](servers []T) []string {
	var out []string
	for _, s := range servers {
		out = append(out, s.Addr())
	}
	return out
}

// vmConfig describes one entry VM.
type vmConfig struct {
	name, dataCentre string
	control          *control.Server
	probe            *probe // may be nil
	seed             uint64
	baseline         entry.Baseline
	maxOpen          int // zero means the default
}

func startVM(c vmConfig) (*vm, error) {
	v := &vm{controlClient: &inProcessClient{control: c.control}, client: httpclient.New(httpclient.Options{}), stopped: make(chan struct{})}
	quiet := slog.New(slog.DiscardHandler)
	state := coordreplica.New(coordreplica.Config{VM: c.name, DataCentre: c.dataCentre, Control: v.controlClient})
	options := entry.Config{
		VM: c.name, DataCentre: c.dataCentre, Engine: enginehttp.New(v.client), Service: servicehttp.New(v.client),
		Replica: state, Seed: c.seed, Baseline: c.baseline, MaxOpen: c.maxOpen,
	}
	if c.probe != nil {
		options.Engine, options.Replica = timedEngine{options.Engine, c.probe}, meteredReplica{state, c.probe}
	}
	var err error
	if v.entry, err = entry.New(options); err != nil {
		return nil, err
	}
	v.server, err = httpserver.New(httpserver.Config{
		Address: "127.0.0.1:0", Logger: quiet, Ready: v.entry.Ready,
		Limits: httpserver.Limits{OpenConnections: 2 * c.maxOpen},
		Handler: inference.New(inference.Options{
			Server: v.entry, Fresh: state.Fresh, Logger: quiet, MaxOpenRequests: int64(c.maxOpen),
			Routes: func() inference.Routes {
				if index := state.Index(); index != nil {
					return index
				}
				return nil
			},
		}),
	})
	if err != nil {
		return nil, err
	}
	v.address = v.server.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	go func() { _ = v.server.Start(ctx) }()
	go func() {
		defer close(v.stopped)
		done := make(chan struct{})
		go func() { defer close(done); _ = state.Run(ctx) }()
		_ = v.entry.Run(ctx)
		<-done
	}()
	return v, nil
}

// lose stops the VM without notifying the control role.
func (v *vm) lose() {
	v.lost.Store(true)
	v.controlClient.lost.Store(true)
	v.close()
}

func (v *vm) close() {
	at, cancel := context.WithCancel(context.Background())
	cancel()
	_ = v.server.Stop(at)
	v.cancel()
	<-v.stopped
	v.client.Close()
}
