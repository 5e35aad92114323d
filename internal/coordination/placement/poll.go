package placement

import (
	"cmp"
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/engine"
)

const (
	// pollsPerSecond bounds the polls of a large fleet: a poll round over 890
	// engines takes 4.5 s, at about 100 KB/s on the leading VM.
	pollsPerSecond   = 200
	maxParallelPolls = 32
	pollTimeout      = time.Second
	// pollInterval is the time between two polls of an engine, if pollsPerSecond
	// allows it.
	pollInterval         = time.Second
	pollLoopPause        = 50 * time.Millisecond
	platformListInterval = 2 * time.Second
	minLostTime          = 5 * time.Second
	// lostPollRounds is how many poll rounds an engine may miss before it counts
	// as lost.
	lostPollRounds = 3
)

// poller holds the engines to poll and their latest reports.
type poller struct {
	mu         sync.Mutex
	targets    []*statev1.Endpoint
	openOrders map[string]bool // engines with open orders, which are polled first
	lastPolled map[string]time.Duration
	reports    map[string]Report
	leaving    map[string]bool // VMs that the platform lists as leaving, by address or host
}

func newPoller() *poller {
	return &poller{lastPolled: map[string]time.Duration{}, reports: map[string]Report{}, leaving: map[string]bool{}}
}

// reset discards the reports, which may be stale when this VM leads again.
func (p *poller) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets = nil
	clear(p.lastPolled)
	clear(p.reports)
}

// update sets the engines to poll from the configuration. It returns the time in
// milliseconds without a report after which an engine counts as lost.
func (p *poller) update(v *View) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets = p.targets[:0:0]
	p.openOrders = make(map[string]bool)
	for _, e := range v.Config.GetEndpoints() {
		if e.GetKind() != statev1.EndpointKind_ENDPOINT_KIND_ENGINE {
			continue
		}
		p.targets = append(p.targets, e)
		if len(v.Ledger.Engines[e.GetName()].Orders) > 0 {
			p.openOrders[e.GetName()] = true
		}
	}
	maps.DeleteFunc(p.reports, func(name string, _ Report) bool {
		_, known := v.Ledger.Engines[name]
		return !known
	})
	round := max(pollInterval, time.Duration(len(p.targets))*time.Second/pollsPerSecond)
	return uint64(max(minLostTime, lostPollRounds*round).Milliseconds())
}

// latest returns the latest reports and the endpoints that the platform lists as
// leaving.
func (p *poller) latest() (map[string]Report, map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	leaving := make(map[string]bool)
	for _, e := range p.targets {
		host, _, err := net.SplitHostPort(e.GetAddress())
		if p.leaving[e.GetAddress()] || err == nil && p.leaving[host] {
			leaving[e.GetName()] = true
		}
	}
	return maps.Clone(p.reports), leaving
}

// due returns the engines that are due for a poll, those with open orders first,
// and marks them as polled.
func (p *poller) due(now time.Duration) []*statev1.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*statev1.Endpoint
	for _, e := range p.targets {
		if at, ok := p.lastPolled[e.GetName()]; !ok || now-at >= pollInterval {
			out = append(out, e)
		}
	}
	rank := func(e *statev1.Endpoint) time.Duration {
		if p.openOrders[e.GetName()] {
			return -1
		}
		return p.lastPolled[e.GetName()]
	}
	slices.SortStableFunc(out, func(a, b *statev1.Endpoint) int { return cmp.Compare(rank(a), rank(b)) })
	out = out[:min(len(out), maxParallelPolls)]
	for _, e := range out {
		p.lastPolled[e.GetName()] = now
	}
	return out
}

func (p *poller) addReport(name string, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.RequestedMs > p.reports[name].RequestedMs {
		p.reports[name] = r
	}
}

// pollLoop polls the engines while this VM owns placement.
func (o *Owner) pollLoop(ctx context.Context) error {
	g := errgroup.Group{}
	g.SetLimit(maxParallelPolls)
	defer func() { _ = g.Wait() }()
	for {
		for _, e := range o.poller.due(o.cfg.Now()) {
			if o.pollLimiter.Wait(ctx) != nil {
				return nil
			}
			g.Go(func() error {
				o.pollEngine(ctx, e)
				return nil
			})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pollLoopPause):
		}
	}
}

func (o *Owner) pollEngine(ctx context.Context, e *statev1.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	token := o.currentToken()
	requestedMs := o.fleetNow()
	load, err := o.cfg.Engine.Load(ctx, engine.Target{Name: e.GetName(), Address: e.GetAddress()})
	if err != nil || requestedMs == 0 || token == 0 || token != o.currentToken() {
		return
	}
	o.poller.addReport(e.GetName(), Report{RequestedMs: requestedMs, Resident: load.Resident, Leaving: load.Leaving})
}

// residents returns a report's models in the form and order of the ledger.
func residents(r Report) []*statev1.ResidentModel {
	out := make([]*statev1.ResidentModel, 0, len(r.Resident))
	for _, m := range r.Resident {
		out = append(out, &statev1.ResidentModel{Model: m.Model, Version: m.Version, MemoryMb: m.MemoryMB})
	}
	slices.SortFunc(out, func(a, b *statev1.ResidentModel) int {
		return cmp.Or(cmp.Compare(a.GetModel(), b.GetModel()), cmp.Compare(a.GetVersion(), b.GetVersion()))
	})
	return out
}

// platformLoop reads the platform's list. After a failure, the last list stays in
// force.
func (o *Owner) platformLoop(ctx context.Context) error {
	for o.cfg.Platform != nil {
		if o.currentToken() != 0 {
			o.readPlatform(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(platformListInterval):
		}
	}
	return nil
}

func (o *Owner) readPlatform(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformListInterval)
	defer cancel()
	list, err := o.cfg.Platform.List(ctx)
	if err != nil {
		return
	}
	leaving := make(map[string]bool, len(list))
	for _, vm := range list {
		leaving[vm.Address] = vm.Leaving
	}
	o.poller.mu.Lock()
	defer o.poller.mu.Unlock()
	o.poller.leaving = leaving
}
