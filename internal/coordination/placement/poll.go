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
	// pollsPerSecond bounds the polls of a large fleet: 890 engines take 4.5 s a
	// round, at about 100 KB/s on the VM that leads.
	pollsPerSecond = 200
	parallelPolls  = 32
	pollTimeout    = time.Second
	// pollInterval is the time between two polls of an engine, if the rate allows.
	pollInterval  = time.Second
	pollPause     = 50 * time.Millisecond
	listInterval  = 2 * time.Second
	leastLostTime = 5 * time.Second
	// lostRounds is how many rounds an engine may miss before it counts as lost.
	lostRounds = 3
)

// poller keeps the engines to poll and their latest reports.
type poller struct {
	mu      sync.Mutex
	targets []*statev1.Endpoint
	open    map[string]bool // engines with open orders, which are polled first
	polled  map[string]time.Duration
	reports map[string]Report
	listed  map[string]bool // leaving, by address or host
}

func newPoller() *poller {
	return &poller{polled: map[string]time.Duration{}, reports: map[string]Report{}, listed: map[string]bool{}}
}

// reset forgets reports, which may be old when this VM leads again.
func (p *poller) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets = nil
	clear(p.polled)
	clear(p.reports)
}

// update takes over the configured engines and returns the time in milliseconds
// without a report after which one counts as lost.
func (p *poller) update(v *View) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets = p.targets[:0:0]
	p.open = make(map[string]bool)
	for _, e := range v.Config.GetEndpoints() {
		if e.GetKind() != statev1.EndpointKind_ENDPOINT_KIND_ENGINE {
			continue
		}
		p.targets = append(p.targets, e)
		if len(v.Ledger.Engines[e.GetName()].Orders) > 0 {
			p.open[e.GetName()] = true
		}
	}
	maps.DeleteFunc(p.reports, func(name string, _ Report) bool {
		_, known := v.Ledger.Engines[name]
		return !known
	})
	round := max(pollInterval, time.Duration(len(p.targets))*time.Second/pollsPerSecond)
	return uint64(max(leastLostTime, lostRounds*round).Milliseconds())
}

// latest returns the latest reports and the endpoints that the list says are
// leaving.
func (p *poller) latest() (map[string]Report, map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	leaving := make(map[string]bool)
	for _, e := range p.targets {
		host, _, err := net.SplitHostPort(e.GetAddress())
		if p.listed[e.GetAddress()] || err == nil && p.listed[host] {
			leaving[e.GetName()] = true
		}
	}
	return maps.Clone(p.reports), leaving
}

// due marks the engines that are due for a poll as polled and returns them,
// those with open orders first.
func (p *poller) due(now time.Duration) []*statev1.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*statev1.Endpoint
	for _, e := range p.targets {
		if at, ok := p.polled[e.GetName()]; !ok || now-at >= pollInterval {
			out = append(out, e)
		}
	}
	rank := func(e *statev1.Endpoint) time.Duration {
		if p.open[e.GetName()] {
			return -1
		}
		return p.polled[e.GetName()]
	}
	slices.SortStableFunc(out, func(a, b *statev1.Endpoint) int { return cmp.Compare(rank(a), rank(b)) })
	out = out[:min(len(out), parallelPolls)]
	for _, e := range out {
		p.polled[e.GetName()] = now
	}
	return out
}

func (p *poller) add(name string, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.AskedMs > p.reports[name].AskedMs {
		p.reports[name] = r
	}
}

// pollLoop asks engines for their reports while this VM owns placement.
func (o *Owner) pollLoop(ctx context.Context) error {
	g := errgroup.Group{}
	g.SetLimit(parallelPolls)
	defer func() { _ = g.Wait() }()
	for {
		for _, e := range o.polls.due(o.cfg.Now()) {
			if o.limit.Wait(ctx) != nil {
				return nil
			}
			g.Go(func() error {
				o.pollOne(ctx, e)
				return nil
			})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pollPause):
		}
	}
}

func (o *Owner) pollOne(ctx context.Context, e *statev1.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	token := o.currentToken()
	asked := o.fleetNow()
	load, err := o.cfg.Engine.Load(ctx, engine.Target{Name: e.GetName(), Address: e.GetAddress()})
	if err != nil || asked == 0 || token == 0 || token != o.currentToken() {
		return
	}
	o.polls.add(e.GetName(), Report{AskedMs: asked, Resident: load.Resident, Leaving: load.Leaving})
}

// residents lists a report's models as the ledger does.
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

// platformLoop reads the platform's list. After a failure the last list stays.
func (o *Owner) platformLoop(ctx context.Context) error {
	for o.cfg.Platform != nil {
		if o.currentToken() != 0 {
			o.readPlatform(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(listInterval):
		}
	}
	return nil
}

func (o *Owner) readPlatform(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	list, err := o.cfg.Platform.List(ctx)
	if err != nil {
		return
	}
	listed := make(map[string]bool, len(list))
	for _, vm := range list {
		listed[vm.Address] = vm.Leaving
	}
	o.polls.mu.Lock()
	defer o.polls.mu.Unlock()
	o.polls.listed = listed
}
