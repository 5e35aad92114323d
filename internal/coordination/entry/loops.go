package entry

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/admission"
	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/coordination/routing"
	"github.com/radishloom/radishloom/internal/state/config"
)

const (
	tickInterval   = 25 * time.Millisecond
	configInterval = 100 * time.Millisecond
	// residencyInterval is how often the scheduler is updated with the residency,
	// which has no version that would show a change.
	residencyInterval        = time.Second
	demandInterval           = time.Second
	retryBudgetSweepInterval = 10 * time.Second
	// A poll transfers about 500 bytes in both directions. In a large fleet, three
	// polls per second stay below the limit of 2 KB/s for the control traffic of a
	// VM. A small fleet can afford fresher reports.
	pollsPerSecond      = 10
	pollsPerSecondLarge = 3
	// largeFleetEntries is the number of live entries above which
	// pollsPerSecondLarge applies.
	largeFleetEntries = 50
	// maxPolled bounds the endpoints that one entry polls for load reports.
	maxPolled          = 64
	minPollInterval    = time.Second
	pollTimeout        = time.Second
	maxConcurrentPolls = 4
	// The platform's list of VMs, which shows those that are leaving, has about 40
	// bytes per endpoint, so 20 ms per endpoint keeps the traffic below 2 KB/s.
	platformListInterval            = 2 * time.Second
	platformListIntervalPerEndpoint = 20 * time.Millisecond
)

// Run runs the background loops that all requests share until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	loop := func(f func(context.Context)) {
		g.Go(func() error {
			f(ctx)
			return nil
		})
	}
	loop(s.tokens.run)
	for range finisherCount {
		loop(s.finisher.run)
	}
	loop(func(ctx context.Context) { every(ctx, tickInterval, s.schedule.tick) })
	loop(func(ctx context.Context) { every(ctx, configInterval, s.refresh) })
	loop(func(ctx context.Context) { every(ctx, demandInterval, s.sendDemand) })
	loop(func(ctx context.Context) { every(ctx, retryBudgetSweepInterval, s.sweepRetryBudgets) })
	loop(s.pollReports)
	if s.config.Platform != nil {
		loop(s.pollPlatform)
	}
	return g.Wait()
}

// every calls f once per interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// sweepRetryBudgets removes unused retry budgets.
func (s *Server) sweepRetryBudgets() {
	s.retries.mu.Lock()
	defer s.retries.mu.Unlock()
	s.retries.decider.Sweep(s.now())
}

// refresh applies changes in the replica.
func (s *Server) refresh() {
	index := s.replica.Index()
	if index == nil {
		return
	}
	if s.keysCheckedVersion != index.Version() {
		s.cancelWithdrawn(index)
		s.keysCheckedVersion = index.Version()
	}
	evacuations, _ := s.replica.Evacuations()
	if s.configuredVersion.Load() != index.Version() || s.configuredEvacuations.Load() != evacuations || s.now()-s.lastReconfigure >= residencyInterval {
		s.reconfigure()
		s.lastReconfigure = s.now()
	}
	suspects := s.replica.Suspects()
	s.suspects.mu.Lock()
	s.suspects.tracker.SetSuspects(suspects)
	s.suspects.mu.Unlock()
}

// reconfigure passes the configured endpoints and their ready models to the
// scheduler.
func (s *Server) reconfigure() {
	index := s.replica.Index()
	residency := s.replica.Residency()
	evacuations, evacuated := s.replica.Evacuations()
	var specs []routing.Spec
	for _, e := range index.Config().GetEndpoints() {
		spec := routing.Spec{
			Name: e.Name, Address: e.Address, Slots: int(e.Slots),
			Remote:    e.DataCentre != s.config.DataCentre,
			Engine:    e.Kind != statev1.EndpointKind_ENDPOINT_KIND_SERVICE,
			Evacuated: slices.Contains(evacuated, e.DataCentre),
		}
		if e.Kind == statev1.EndpointKind_ENDPOINT_KIND_SERVICE {
			spec.Groups = []string{"service:" + e.Pool}
		} else {
			spec.Groups = s.readyGroups(e, residency)
		}
		specs = append(specs, spec)
	}
	var shares []admission.ReservedShare
	for _, p := range index.Config().GetProfiles() {
		shares = append(shares, admission.ReservedShare{Priority: p.Priority, SharePercent: int(p.ReservedSharePercent)})
	}
	loads := int(index.Config().GetPlatform().GetAdapterLoadsInFlight())
	s.schedule.configure(specs, s.replica.LiveEntries(), loads, shares)
	s.configuredEvacuations.Store(evacuations)
	s.configuredVersion.Store(index.Version())
}

// readyGroups returns the groups of the models that an engine can serve. Until the
// control role has reported any residency, these are the pinned models and those
// that the engine itself reports as ready.
func (s *Server) readyGroups(e *statev1.Endpoint, residency map[string]*peerv1.EndpointResidency) []string {
	// Pinned models are not added here: an engine that has just restarted does not
	// hold them yet, and the control role lists them only while it does.
	models := residency[e.Name].GetReadyModels()
	if len(residency) == 0 {
		models = slices.Concat(e.PinnedModels, s.demand.reportedModels(e.Name))
		slices.Sort(models)
		models = slices.Compact(models)
	}
	groups := make([]string, len(models))
	for i, m := range models {
		groups[i] = modelGroup(m)
	}
	return groups
}

// demand collects the demand for each model since the last report to the control
// role, and the ready models that engines report.
type demand struct {
	mu       sync.Mutex
	models   map[string]*modelDemand
	reported map[string][]string // ready models by endpoint
}

type modelDemand struct {
	requests uint32
	tokens   uint64
}

func (d *demand) add(c *call, requests uint32, tokens uint64) {
	if !c.model() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.models[c.route.Model]
	if m == nil {
		m = &modelDemand{}
		d.models[c.route.Model] = m
	}
	m.requests += requests
	m.tokens += tokens
}

func (d *demand) take() map[string]*modelDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	taken := d.models
	d.models = make(map[string]*modelDemand)
	return taken
}

func (d *demand) setReported(endpoint string, l *engine.Load) {
	var models []string
	for _, r := range l.Resident {
		if r.Ready {
			models = append(models, r.Model)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reported == nil {
		d.reported = make(map[string][]string)
	}
	d.reported[endpoint] = models
}

func (d *demand) reportedModels(endpoint string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reported[endpoint]
}

// sendDemand passes the collected demand and the number of waiting requests to the
// replica.
func (s *Server) sendDemand() {
	taken := s.demand.take()
	waiting := s.schedule.waiting()
	for group := range waiting {
		if model := group[len(modelGroup("")):]; taken[model] == nil {
			taken[model] = &modelDemand{}
		}
	}
	for model, m := range taken {
		s.replica.AddDemand(&peerv1.ModelDemand{
			Model: model, Requests: m.requests, Tokens: m.tokens, Waiting: uint32(waiting[modelGroup(model)]),
		})
	}
}

// polledEndpoints returns the endpoints that this entry polls for load reports. If
// there are more than maxPolled, these are the maxPolled ones with the highest hash
// of this entry's VM and the endpoint name (rendezvous hashing), so that the entries
// share the endpoints evenly.
func (s *Server) polledEndpoints(index *config.Index) []*statev1.Endpoint {
	endpoints := slices.Clone(index.Config().GetEndpoints())
	if len(endpoints) <= maxPolled {
		return endpoints
	}
	weight := make(map[string]uint64, len(endpoints))
	for _, e := range endpoints {
		weight[e.Name] = xxhash.Sum64String(s.config.VM + "\x00" + e.Name)
	}
	slices.SortFunc(endpoints, func(a, b *statev1.Endpoint) int { return cmp.Compare(weight[b.Name], weight[a.Name]) })
	return endpoints[:maxPolled]
}

// pollReports polls the load reports of the endpoints in turn until ctx ends.
func (s *Server) pollReports(ctx context.Context) {
	semaphore := make(chan struct{}, maxConcurrentPolls)
	var endpoints []*statev1.Endpoint
	var endpointsIndex *config.Index
	for turn := 0; ; turn++ {
		// The list is cached: sorting 890 endpoints for each poll took half of the CPU
		// time of an idle entry.
		if index := s.replica.Index(); index != endpointsIndex {
			endpoints = s.polledEndpoints(index)
			endpointsIndex = index
		}
		select {
		case <-time.After(s.pollInterval(len(endpoints))):
		case <-ctx.Done():
			return
		}
		if len(endpoints) == 0 {
			continue
		}
		e := endpoints[turn%len(endpoints)]
		select {
		case semaphore <- struct{}{}:
		case <-ctx.Done():
			return
		}
		go func() {
			defer func() { <-semaphore }()
			s.pollEndpoint(ctx, e)
		}()
	}
}

// pollInterval returns the time between two polls, with jitter.
func (s *Server) pollInterval(endpoints int) time.Duration {
	rate := pollsPerSecond
	if s.replica.LiveEntries() > largeFleetEntries {
		rate = pollsPerSecondLarge
	}
	interval := time.Second / time.Duration(rate)
	if endpoints > 0 {
		interval = max(interval, minPollInterval/time.Duration(endpoints))
	}
	return s.jitter(interval)
}

// jitter varies d by up to a tenth, so that the entries do not act at the same time.
func (s *Server) jitter(d time.Duration) time.Duration {
	return d*9/10 + time.Duration(s.random(int(d/5)+1))
}

// pollEndpoint requests the load report, and from engines also the cache events, of
// one endpoint.
func (s *Server) pollEndpoint(ctx context.Context, e *statev1.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	to := engine.Target{Name: e.Name, Address: e.Address}
	if e.Kind == statev1.EndpointKind_ENDPOINT_KIND_SERVICE {
		if load, err := s.config.Service.Load(ctx, to); err == nil {
			s.schedule.report(e.Name, load, nil)
		}
		return
	}
	load, err := s.config.Engine.Load(ctx, to)
	if err != nil {
		return
	}
	s.demand.setReported(e.Name, load)
	events, err := s.config.Engine.CacheEvents(ctx, to, s.schedule.cacheSeq(e.Name))
	if err != nil {
		events = nil
	}
	s.schedule.report(e.Name, load, events)
}

// pollPlatform polls the platform's list of VMs until ctx ends. After a failure, the
// last list stays in force.
func (s *Server) pollPlatform(ctx context.Context) {
	for {
		index := s.replica.Index()
		endpoints := 0
		if index != nil {
			endpoints = len(index.Config().GetEndpoints())
			if s.configuredVersion.Load() < index.Version() {
				s.reconfigure()
			}
			s.readPlatform(ctx, index)
		}
		select {
		case <-time.After(s.jitter(platformListInterval + time.Duration(endpoints)*platformListIntervalPerEndpoint)):
		case <-ctx.Done():
			return
		}
	}
}

// readPlatform marks the endpoints that the platform's list of VMs announces as
// leaving.
func (s *Server) readPlatform(ctx context.Context, index *config.Index) {
	ctx, cancel := context.WithTimeout(ctx, platformListInterval)
	defer cancel()
	list, err := s.config.Platform.List(ctx)
	if err != nil {
		return
	}
	leavingAt := make(map[string]bool, len(list))
	for _, vm := range list {
		leavingAt[vm.Address] = vm.Leaving
	}
	leaving := make(map[string]bool)
	for _, e := range index.Config().GetEndpoints() {
		host, _, err := net.SplitHostPort(e.Address)
		leaving[e.Name] = leavingAt[e.Address] || err == nil && leavingAt[host]
	}
	s.schedule.setLeaving(leaving)
}
