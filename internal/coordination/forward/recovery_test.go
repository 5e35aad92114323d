package forward

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/directory"
	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/coordination/pool"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/catalog"
	"github.com/radishloom/radishloom/internal/virtualtime"
)

const (
	// recoveryTime is the time after which requests must be served again once all VMs
	// are back, by the users' smallest bound.
	recoveryTime = 12 * time.Second
	// electionTime is the longest time until a leader is elected, see docs/design.md.
	electionTime = 2400 * time.Millisecond

	// rareModel is resident on the last engine only, absentModel on none.
	rareModel   = "rare"
	absentModel = "absent"

	recoveryEngines  = 3000
	recoveryModels   = 470
	recoveryEntries  = 12
	recoveryControls = 3
	networkDelay     = 3 * time.Millisecond
	pageSize         = 50
	// pageTime is how long a leader takes for a page of the platform's list while
	// everything else starts again, too.
	pageTime = 55 * time.Millisecond
	// callsEnd exceeds the time-out of every call in progress.
	callsEnd = 5 * time.Second
)

// restartedFleet is a platform with engines that kept running while every process of
// the system was restarted. It implements directory.Platform and exchange.Client.
type restartedFleet struct {
	mu      sync.Mutex
	engines map[string]*fleetEngine
	ids     []string
}

// fleetEngine is the state of one engine. loading is a model whose load ends at
// readyAt.
type fleetEngine struct {
	endpoint directory.Endpoint
	report   directory.Report
	loading  string
	readyAt  time.Time
}

func newRestartedFleet() *restartedFleet {
	f := &restartedFleet{engines: map[string]*fleetEngine{}}
	for i := range recoveryEngines {
		id := fmt.Sprintf("e%04d", i)
		model := fmt.Sprintf("m%d", i%recoveryModels)
		if i == recoveryEngines-1 {
			model = rareModel
		}
		resident := []directory.Resident{{Model: model}}
		f.ids = append(f.ids, id)
		f.engines[id] = &fleetEngine{
			endpoint: directory.Endpoint{ID: id, Service: "models", Address: id + ":1", DataCentre: "dc", Slots: 12, Models: resident},
			report:   directory.Report{Models: resident, Started: 1, KVTotal: 60_000},
		}
	}
	return f
}

// settle ends a load whose time has come. It requires mu.
func (e *fleetEngine) settle() {
	if e.loading != "" && !time.Now().Before(e.readyAt) {
		e.report.Models = append(slices.Clone(e.report.Models), directory.Resident{Model: e.loading})
		e.loading, e.report.Busy = "", false
	}
}

func (f *restartedFleet) ListPage(ctx context.Context, token string) (directory.Page, error) {
	select {
	case <-time.After(pageTime):
	case <-ctx.Done():
		return directory.Page{}, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	first := 0
	if token != "" {
		first, _ = strconv.Atoi(token)
	}
	var out directory.Page
	for _, id := range f.ids[first:min(first+pageSize, len(f.ids))] {
		e := f.engines[id]
		e.settle()
		listed := e.endpoint
		listed.Models = e.report.Models
		out.Endpoints = append(out.Endpoints, listed)
	}
	if first += pageSize; first < len(f.ids) {
		out.Next = strconv.Itoa(first)
	}
	return out, nil
}

func (f *restartedFleet) Report(_ context.Context, to directory.Endpoint) (directory.Report, error) {
	time.Sleep(2 * networkDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[to.ID]
	e.settle()
	return e.report, nil
}

func (f *restartedFleet) Order(_ context.Context, to directory.Endpoint, o directory.Order) (directory.Outcome, error) {
	time.Sleep(2 * networkDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[to.ID]
	e.settle()
	if o.ExpectedSequence != e.report.Sequence || e.loading != "" {
		return directory.Conflict, nil
	}
	e.report.Sequence++
	models := slices.Clone(e.report.Models)
	at := slices.IndexFunc(models, func(r directory.Resident) bool { return r.Model == o.Model })
	switch {
	case o.Adapter != "" && at >= 0 && o.Operation == directory.Load:
		models[at].Adapters = append(slices.Clone(models[at].Adapters), o.Adapter)
	case o.Adapter == "" && at < 0 && o.Operation == directory.Load:
		e.loading, e.readyAt, e.report.Busy = o.Model, time.Now().Add(1200*time.Millisecond), true
	case o.Adapter == "" && at >= 0 && o.Operation == directory.Unload:
		models = slices.Delete(models, at, at+1)
	}
	e.report.Models = models
	return directory.Accepted, nil
}

// Do answers a request with a complete stream if the engine has the model and the
// adapter.
func (f *restartedFleet) Do(_ context.Context, r *exchange.Request) (*exchange.Response, error) {
	time.Sleep(20 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[r.Header.Get("Endpoint")]
	e.settle()
	model, adapter, _ := strings.Cut(string(r.Body), "/")
	status := http.StatusMisdirectedRequest
	for _, m := range e.report.Models {
		if m.Model == model && (adapter == "" || slices.Contains(m.Adapters, adapter)) {
			status = http.StatusOK
		}
	}
	body := &testBody{Reader: strings.NewReader("id: 1\n\n")}
	return &exchange.Response{Status: status, Header: http.Header{"Seal": {"s"}}, ContentLength: -1, Body: body}, nil
}

// elected is the control role of a VM after the election: the VM c0 leads.
type elected struct {
	leads   bool
	at      time.Time // of the election
	catalog *statev1.Catalog
	members []*statev1.Member
}

func (e *elected) Leading(context.Context) (uint64, bool) {
	return 7, e.leads && !time.Now().Before(e.at)
}

func (e *elected) ConfirmOwnership(context.Context) (uint64, error) {
	time.Sleep(2 * networkDelay)
	return 7, nil
}

func (e *elected) StreamRoutesChanged(context.Context) (uint64, time.Duration, error) {
	return 0, 0, nil
}

func (e *elected) Catalog(context.Context) (*statev1.Catalog, []*statev1.Member, error) {
	return e.catalog, e.members, nil
}

func (e *elected) Leader(context.Context) (string, []*statev1.Member, error) {
	if time.Now().Before(e.at) {
		return "", e.members, nil
	}
	return "c0", e.members, nil
}

func (e *elected) Quarantine(context.Context) ([]*statev1.QuarantinedTrait, error) { return nil, nil }

func (e *elected) PutQuarantine(context.Context, *statev1.PutQuarantine) error { return nil }

func (e *elected) CatalogChanged(version uint64) <-chan struct{} {
	c := make(chan struct{})
	if e.catalog.GetVersion() > version {
		close(c)
	}
	return c
}

// inProcess carries the calls between daemons. It implements DirectoryClient and
// directory.Follower.
type inProcess map[string]directory.Service

func (p inProcess) Watch(ctx context.Context, address string, r *peerv1.WatchRequest) (*peerv1.WatchResponse, error) {
	time.Sleep(networkDelay)
	defer time.Sleep(networkDelay)
	return p[address].Watch(ctx, r)
}

func (p inProcess) Follow(ctx context.Context, address string, r *peerv1.FollowRequest) (*peerv1.FollowResponse, error) {
	time.Sleep(networkDelay)
	defer time.Sleep(networkDelay)
	return p[address].Follow(ctx, r)
}

func (p inProcess) Load(ctx context.Context, address string, r *peerv1.LoadRequest) (*peerv1.LoadResponse, error) {
	time.Sleep(networkDelay)
	defer time.Sleep(networkDelay)
	return p[address].Load(ctx, r)
}

func (p inProcess) Report(ctx context.Context, address string, r *peerv1.EvidenceReport) (*peerv1.EvidenceResponse, error) {
	time.Sleep(networkDelay)
	defer time.Sleep(networkDelay)
	return p[address].Report(ctx, r)
}

func (p inProcess) Streams(ctx context.Context, address string, r *peerv1.StreamsRequest) (*peerv1.StreamsResponse, error) {
	time.Sleep(networkDelay)
	defer time.Sleep(networkDelay)
	return p[address].Streams(ctx, r)
}

type noOrderMetrics struct{}

func (noOrderMetrics) EngineOrder(string)   {}
func (noOrderMetrics) WarmingEndpoints(int) {}
func (noOrderMetrics) RecordedStreams(int)  {}
func (noOrderMetrics) StreamAnswer(string)  {}

func recoveryCatalog() *catalog.Catalog {
	c := testCatalog()
	engine := &catalog.Engine{Slots: 12, MemoryMB: 200_000, AdapterSlots: 8, LoadsPerSecond: 36}
	names := []string{rareModel, absentModel}
	for i := range recoveryModels {
		names = append(names, fmt.Sprintf("m%d", i))
	}
	for _, name := range names {
		engine.Models = append(engine.Models, catalog.Model{
			Name: name, MemoryMB: 70_000, AdapterMB: 60,
			LoadTime: 1200 * time.Millisecond, DiskLoadTime: 800 * time.Millisecond, WarmLoadTime: 600 * time.Millisecond,
		})
	}
	c.Services[1].Engine = engine
	c.Customers[0].Rate, c.Customers[0].Burst = 1e6, 1e6
	return c
}

// startFleet starts all processes at the same moment and returns the entries.
func startFleet(ctx context.Context, f *restartedFleet) []*Server {
	decoded := recoveryCatalog()
	decode := func([]byte) (*catalog.Catalog, error) { return decoded, nil }
	log := slog.New(slog.DiscardHandler)
	var members []*statev1.Member
	for i := range recoveryControls {
		members = append(members, &statev1.Member{Vm: fmt.Sprintf("c%d", i), Address: fmt.Sprintf("c%d", i), DataCentre: "dc"})
	}
	calls := inProcess{}
	for i, m := range members {
		role := &elected{leads: i == 0, at: time.Now().Add(electionTime), catalog: &statev1.Catalog{Version: decoded.Version}, members: members}
		leader := directory.New(directory.Config{
			Leadership: role, Quarantine: role, Platform: f, Decode: decode, Holder: m.GetVm(), OrderLease: 3 * time.Second, Metrics: noOrderMetrics{}, Log: log,
		})
		relay := directory.NewRelay(directory.RelayConfig{Leadership: role, Follower: calls, VM: m.GetVm(), Address: m.GetAddress(), Log: log}, leader)
		calls[m.GetAddress()] = directory.Service{Relay: relay, Leader: leader}
		go leader.Run(ctx)
		go relay.Run(ctx)
	}
	var entries []*Server
	byAddress := map[string]*Server{}
	for i := range recoveryEntries {
		name := fmt.Sprintf("entry%d", i)
		w := NewWatcher(WatcherConfig{Directory: calls, Session: &statev1.Session{Vm: name, DataCentre: "dc"}, Decode: decode, Log: log, DatagramAddress: name})
		w.SetSeeds([]string{"c1", "c2"})
		s := New(Config{
			Codec: testCodec{}, Client: f, Loader: w, Metrics: noMetrics{}, Log: log, DataCentre: "dc",
			Self: pool.Sender{Address: name, Incarnation: uint64(i + 1)},
			Send: func(to string, m *peerv1.PlaceMessage) {
				time.AfterFunc(networkDelay, func() { byAddress[to].Receive(m) })
			},
			RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 58,
		})
		byAddress[name] = s
		entries = append(entries, s)
		go w.Run(ctx, s)
		go s.Run(ctx)
	}
	return entries
}

// firstServed sends requests for a model, or MODEL/ADAPTER, to an entry until one is
// served. It returns the time since the start and the code of the last refusal.
func firstServed(ctx context.Context, s *Server, model string) (time.Duration, string) {
	started := time.Now()
	refusal := ""
	for ctx.Err() == nil {
		r := httptest.NewRequest(http.MethodPost, "/stream/x", io.NopCloser(strings.NewReader(model)))
		r.Host = "h"
		r.Header = http.Header{"Id": {"a"}, "Key": {"k"}, "Model": {model}}
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r.WithContext(ctx))
		if w.Code == http.StatusOK {
			break
		}
		refusal = w.Header().Get(resultcode.Header)
		time.Sleep(300 * time.Millisecond)
	}
	return time.Since(started), refusal
}

// Guards against service that stays away after every process was restarted, because
// what the new leader has to learn before it can serve a request grows with the
// number of engines.
func TestServiceReturnsAfterAllProcessesRestart(t *testing.T) {
	for _, test := range []struct{ name, model, adapter string }{
		{"resident model", "m0", ""},
		{"adapter of a model on one engine", rareModel, "a1"},
		{"model that is resident nowhere", absentModel, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer time.Sleep(callsEnd)
				defer cancel()
				entries := startFleet(ctx, newRestartedFleet())
				waiting, stop := context.WithTimeout(ctx, 5*recoveryTime)
				defer stop()
				name := test.model
				if test.adapter != "" {
					name += "/" + test.adapter
				}
				took, refusal := firstServed(waiting, entries[len(entries)-1], name)
				t.Logf("%s: first request served %v after the restart; last refusal: %s", name, took, refusal)
				if took > recoveryTime {
					t.Errorf("first request for %s served after %v, want at most %v; last refusal: %s", name, took, recoveryTime, refusal)
				}
			})
		})
	}
}
