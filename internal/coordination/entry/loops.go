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
	// residencyInterval is how often changes of residency are taken over, which
	// carry no version.
	residencyInterval = time.Second
	demandInterval    = time.Second
	sweepInterval     = 10 * time.Second
	// A report is about 500 bytes both ways. In a large fleet three polls a
	// second stay under the 2 KB/s of control overhead that a VM may cause; a
	// small fleet can afford fresher reports.
	pollsPerSecond      = 10
	pollsPerSecondLarge = 3
	largeFleet          = 50
	// maxPolled is the number of endpoints that one entry asks for reports.
	maxPolled   = 64
	minPoll     = time.Second
	pollTimeout = time.Second
	pollers     = 4
	// The list has about 40 bytes for each endpoint: 20 ms each keeps it under
	// 2 KB/s.
	listInterval    = 2 * time.Second
	listPerEndpoint = 20 * time.Millisecond
)

// Run drives the loops that all requests share, until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	loop := func(f func(context.Context)) {
		g.Go(func() error {
			f(ctx)
			return nil
		})
	}
	loop(s.tokens.run)
	for range finishers {
		loop(s.finisher.run)
	}
	loop(func(ctx context.Context) { every(ctx, tickInterval, s.schedule.tick) })
	loop(func(ctx context.Context) { every(ctx, configInterval, s.refresh) })
	loop(func(ctx context.Context) { every(ctx, demandInterval, s.sendDemand) })
	loop(func(ctx context.Context) { every(ctx, sweepInterval, s.sweep) })
	loop(s.pollReports)
	if s.config.Platform != nil {
		loop(s.pollPlatform)
	}
	return g.Wait()
}

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

func (s *Server) sweep() {
	s.retries.mu.Lock()
	defer s.retries.mu.Unlock()
	s.retries.decider.Sweep(s.now())
}

// refresh takes over what changed in the replica.
func (s *Server) refresh() {
	index := s.replica.Index()
	if index == nil {
		return
	}
	if s.keysChecked != index.Version() {
		s.endWithdrawn(index)
		s.keysChecked = index.Version()
	}
	if s.configured.Load() != index.Version() || s.now()-s.refreshed >= residencyInterval {
		s.reconfigure()
		s.refreshed = s.now()
	}
	suspects := s.replica.Suspects()
	s.suspects.mu.Lock()
	s.suspects.tracker.SetSuspects(suspects)
	s.suspects.mu.Unlock()
}

// reconfigure gives the scheduler the endpoints and what they hold now.
func (s *Server) reconfigure() {
	index := s.replica.Index()
	residency := s.replica.Residency()
	var specs []routing.Spec
	for _, e := range index.Config().GetEndpoints() {
		spec := routing.Spec{
			Name: e.Name, Address: e.Address, Slots: int(e.Slots),
			Remote: e.DataCentre != s.config.DataCentre,
		}
		if e.Kind == statev1.EndpointKind_ENDPOINT_KIND_SERVICE {
			spec.Groups = []string{"service:" + e.Pool}
		} else {
			spec.Groups = s.readyGroups(e, residency)
		}
		specs = append(specs, spec)
	}
	var levels []admission.ReservedShare
	for _, p := range index.Config().GetProfiles() {
		levels = append(levels, admission.ReservedShare{Priority: p.Priority, SharePercent: int(p.ReservedSharePercent)})
	}
	loads := int(index.Config().GetPlatform().GetAdapterLoadsInFlight())
	s.schedule.configure(specs, s.replica.LiveEntries(), loads, levels)
	s.configured.Store(index.Version())
}

// readyGroups are the models that an engine can serve: as the control role
// says, or, until it has said anything, as the engine itself reports.
func (s *Server) readyGroups(e *statev1.Endpoint, residency map[string]*peerv1.EndpointResidency) []string {
	// The control role lists pinned models only while the engine holds them: one
	// that has just restarted does not.
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

// demand collects what was seen of each model, and what engines reported.
type demand struct {
	mu       sync.Mutex
	models   map[string]*modelDemand
	reported map[string][]string // models by endpoint
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

func (d *demand) report(endpoint string, l *engine.Load) {
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

func (s *Server) sendDemand() {
	taken := s.demand.take()
	waiting := s.schedule.waiting()
	for group := range waiting {
		if model := group[len(modelGroup("")):]; taken[model] == nil {
			taken[model] = &modelDemand{}
		}
	}
	for model, m := range taken {
		s.replica.Demand(&peerv1.ModelDemand{
			Model: model, Requests: m.requests, Tokens: m.tokens, Waiting: uint32(waiting[modelGroup(model)]),
		})
	}
}

// polled returns the endpoints that this entry asks for reports: all of a
// small fleet, else those with the highest hash of VM and endpoint, so that
// the entries of a large fleet share the endpoints evenly.
func (s *Server) polled(index *config.Index) []*statev1.Endpoint {
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

// pollReports asks one endpoint after the other for its load.
func (s *Server) pollReports(ctx context.Context) {
	slots := make(chan struct{}, pollers)
	var endpoints []*statev1.Endpoint
	var chosenFrom *config.Index
	for turn := 0; ; turn++ {
		// Sorting 890 endpoints for each poll took half of an idle entry's time.
		if index := s.replica.Index(); index != chosenFrom {
			endpoints = s.polled(index)
			chosenFrom = index
		}
		select {
		case <-time.After(s.pollPause(len(endpoints))):
		case <-ctx.Done():
			return
		}
		if len(endpoints) == 0 {
			continue
		}
		e := endpoints[turn%len(endpoints)]
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		go func() {
			defer func() { <-slots }()
			s.pollOne(ctx, e)
		}()
	}
}

// pollPause is the jittered time between two polls.
func (s *Server) pollPause(endpoints int) time.Duration {
	rate := pollsPerSecond
	if s.replica.LiveEntries() > largeFleet {
		rate = pollsPerSecondLarge
	}
	pause := time.Second / time.Duration(rate)
	if endpoints > 0 {
		pause = max(pause, minPoll/time.Duration(endpoints))
	}
	return s.jitter(pause)
}

// jitter varies a time by a tenth, so that entries do not act in step.
func (s *Server) jitter(d time.Duration) time.Duration {
	return d*9/10 + time.Duration(s.random(int(d/5)+1))
}

func (s *Server) pollOne(ctx context.Context, e *statev1.Endpoint) {
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
	s.demand.report(e.Name, load)
	events, err := s.config.Engine.CacheEvents(ctx, to, s.schedule.cacheSeq(e.Name))
	if err != nil {
		events = nil
	}
	s.schedule.report(e.Name, load, events)
}

// pollPlatform reads the platform's list. After a failure the last list stays.
func (s *Server) pollPlatform(ctx context.Context) {
	for {
		index := s.replica.Index()
		endpoints := 0
		if index != nil {
			endpoints = len(index.Config().GetEndpoints())
			if s.configured.Load() < index.Version() {
				s.reconfigure()
			}
			s.readPlatform(ctx, index)
		}
		select {
		case <-time.After(s.jitter(listInterval + time.Duration(endpoints)*listPerEndpoint)):
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) readPlatform(ctx context.Context, index *config.Index) {
	ctx, cancel := context.WithTimeout(ctx, listInterval)
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
