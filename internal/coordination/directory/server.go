package directory

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

// Constants of the leader's work.
const (
	// workInterval is the pause between looks at what is due.
	workInterval = 100 * time.Millisecond
	// listInterval is the pause between calls of the platform's list. Leaving
	// endpoints have to be known everywhere within its draining time of seconds.
	listInterval = 900 * time.Millisecond
	// reportInterval is the pause between reports of one engine.
	reportInterval = time.Second
	// callLimit bounds one call to the platform or an engine.
	callLimit = time.Second
	// loadNews is how often changed loads alone are handed on; loadNewsLarge is
	// the same with more entries than ExchangeLimit.
	loadNews      = 700 * time.Millisecond
	loadNewsLarge = 2500 * time.Millisecond
	// ExchangeLimit is the number of entries up to which each tells all others
	// what it sends. Beyond it they tell those of their own data centre.
	ExchangeLimit = 16
)

// Leadership is what the directory needs of the control role.
type Leadership interface {
	// Leading returns the term in which this VM leads.
	Leading(ctx context.Context) (term uint64, leading bool)
	// Confirm returns the fencing token once a quorum has confirmed that this VM
	// leads now.
	Confirm(ctx context.Context) (fence uint64, err error)
	// Catalog returns the newest applied catalog, which is nil before the first,
	// and the control VMs.
	Catalog(ctx context.Context) (*statev1.Catalog, []*statev1.Member, error)
	// Leader returns the address of the present leader, or "", and the control
	// VMs.
	Leader(ctx context.Context) (string, []*statev1.Member, error)
	// CatalogChanged is closed when a catalog newer than the version is applied.
	CatalogChanged(version uint64) <-chan struct{}
}

// Config holds what a Server needs.
type Config struct {
	Leadership Leadership
	Platform   Platform
	// Decode decodes a catalog's document.
	Decode func(document []byte) (*catalog.Catalog, error)
	// Holder names this VM in orders.
	Holder string
	// OrderLease is how long orders of an earlier leader exclude this one's.
	OrderLease time.Duration
	Metrics    Metrics
	Log        *slog.Logger
}

// Metrics receives counts; calls must not block.
type Metrics interface {
	// ModelMove counts an accepted order by its kind.
	ModelMove(kind string)
}

// Server is the directory of one control VM. It is safe for concurrent use.
type Server struct {
	cfg   Config
	start time.Time

	mu struct {
		sync.Mutex
		term    uint64 // zero while another VM leads
		since   time.Duration
		planner *Planner
		shares  *Shares
		list    []Endpoint
		listed  bool
		version uint64
		changed chan struct{} // closed and replaced with each version
		// published is what entries are told, with the version of each change; an
		// entry older than complete gets the whole list.
		published map[string]*published
		complete  uint64
		index     *catalog.Index
		news      time.Duration // when loads were last handed on
		dirty     bool          // loads changed since
		nextList  time.Duration
		listing   bool
		asking    map[string]time.Duration // engine -> when its report is due
	}
}

// published is an endpoint as entries are told of it.
type published struct {
	message *peerv1.DirectoryEndpoint
	version uint64
}

// New returns a Server; Run starts it.
func New(c Config) *Server {
	s := &Server{cfg: c, start: time.Now()}
	s.mu.changed = make(chan struct{})
	s.mu.published = map[string]*published{}
	return s
}

func (s *Server) now() time.Duration { return time.Since(s.start) }

// Run works while this VM leads, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	tick := time.NewTicker(workInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.work(ctx)
		}
	}
}

func (s *Server) work(ctx context.Context) {
	term, leading := s.cfg.Leadership.Leading(ctx)
	if !leading {
		term = 0
	}
	s.setTerm(term)
	if term == 0 {
		return
	}
	s.updateCatalog(ctx)
	s.startList(ctx)
	s.startReports(ctx)
	for _, d := range s.plan() {
		go func() { _, _ = s.send(ctx, d) }() // the outcome is logged and planned with
	}
	s.publishLoads()
}

func (s *Server) setTerm(term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.term == term {
		return
	}
	s.cfg.Log.Info("directory term", "term", term, "before", s.mu.term)
	s.mu.term = term
	s.mu.since = s.now()
	s.mu.planner = NewPlanner(s.now())
	s.mu.shares = NewShares()
	s.mu.list, s.mu.listed = nil, false
	s.mu.nextList, s.mu.listing = 0, false
	s.mu.asking = map[string]time.Duration{}
	s.bumpLocked()
	s.mu.complete = s.mu.version
}

// bumpLocked makes a new version of what entries are told.
func (s *Server) bumpLocked() { s.publishLocked(false) }

// publishLocked finds what changed since the last version. Loads change all the
// time and are renewed only if withLoads is set.
func (s *Server) publishLocked(withLoads bool) {
	s.mu.version++
	if withLoads {
		s.mu.dirty = false
		s.mu.news = s.now()
	}
	present := make(map[string]bool, len(s.mu.list))
	for _, e := range s.mu.list {
		present[e.ID] = true
		old := s.mu.published[e.ID]
		message := s.describeLocked(e)
		if old != nil && !withLoads {
			message.Running, message.Waiting, message.KvUsed = old.message.GetRunning(), old.message.GetWaiting(), old.message.GetKvUsed()
		}
		if old == nil || !proto.Equal(old.message, message) {
			s.mu.published[e.ID] = &published{message: message, version: s.mu.version}
		}
	}
	for id := range s.mu.published {
		if !present[id] {
			// A partial list cannot tell of an endpoint that is gone.
			delete(s.mu.published, id)
			s.mu.complete = s.mu.version
		}
	}
	close(s.mu.changed)
	s.mu.changed = make(chan struct{})
}

func (s *Server) updateCatalog(ctx context.Context) {
	c, _, err := s.cfg.Leadership.Catalog(ctx)
	if err != nil || c == nil {
		return
	}
	s.mu.Lock()
	current := s.mu.index
	s.mu.Unlock()
	if current != nil && current.Version() == c.GetVersion() {
		return
	}
	decoded, err := s.cfg.Decode(c.GetDocument())
	if err != nil {
		s.cfg.Log.Error("committed catalog cannot be decoded", "version", c.GetVersion(), "error", err)
		return
	}
	s.mu.Lock()
	s.mu.index = catalog.NewIndex(decoded)
	s.mu.Unlock()
}

// startList asks for the list when that is due.
func (s *Server) startList(ctx context.Context) {
	s.mu.Lock()
	due := !s.mu.listing && s.now() >= s.mu.nextList
	term := s.mu.term
	if due {
		s.mu.listing = true
		s.mu.nextList = s.now() + listInterval
	}
	s.mu.Unlock()
	if !due {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, callLimit)
		defer cancel()
		list, err := s.cfg.Platform.List(ctx)
		if err != nil {
			s.cfg.Log.Warn("list not read", "error", err)
		}
		s.setList(term, list, err)
	}()
}

func (s *Server) setList(term uint64, list []Endpoint, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.term != term || term == 0 {
		return
	}
	s.mu.listing = false
	if err != nil {
		return
	}
	slices.SortFunc(list, func(a, b Endpoint) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	changed := !s.mu.listed || !slices.EqualFunc(list, s.mu.list, sameEndpoint)
	s.mu.listed = true
	s.noteChanges(list)
	s.mu.list = list
	s.mu.planner.SetEndpoints(list)
	if changed {
		s.bumpLocked()
	}
}

// noteChanges logs endpoints that came, leave or went.
func (s *Server) noteChanges(list []Endpoint) {
	old := map[string]Endpoint{}
	for _, e := range s.mu.list {
		old[e.ID] = e
	}
	for _, e := range list {
		before, known := old[e.ID]
		delete(old, e.ID)
		switch {
		case !known:
			s.cfg.Log.Info("endpoint listed", "endpoint", e.ID, "service", e.Service, "address", e.Address, "leaving", e.Leaving)
		case e.Leaving && !before.Leaving:
			s.cfg.Log.Info("endpoint leaves", "endpoint", e.ID, "service", e.Service)
		}
	}
	for id, e := range old {
		s.cfg.Log.Info("endpoint gone", "endpoint", id, "service", e.Service)
	}
}

func sameEndpoint(a, b Endpoint) bool {
	return a.ID == b.ID && a.Address == b.Address && a.Leaving == b.Leaving && a.Service == b.Service && a.Slots == b.Slots
}

// startReports asks each engine whose report is due.
func (s *Server) startReports(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.mu.index == nil {
		return
	}
	for i, e := range s.mu.list {
		service := s.mu.index.Service(e.Service)
		if service == nil || service.Engine == nil || e.Leaving {
			continue
		}
		due, known := s.mu.asking[e.ID]
		if !known {
			// Spread the first reports, so that they do not all come at once.
			due = now + time.Duration(i%4)*workInterval
			s.mu.asking[e.ID] = due
		}
		if now < due {
			continue
		}
		s.mu.asking[e.ID] = now + reportInterval
		go s.ask(ctx, s.mu.term, e, now)
	}
}

func (s *Server) ask(ctx context.Context, term uint64, e Endpoint, asked time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	r, err := s.cfg.Platform.Report(ctx, e)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.term != term {
		return
	}
	if err != nil {
		s.cfg.Log.Info("report not read", "endpoint", e.ID, "error", err)
		return
	}
	before := s.residencyLocked(e.ID)
	s.mu.planner.Reported(s.now(), asked, e.ID, r)
	s.mu.dirty = true
	if !slices.EqualFunc(before, s.residencyLocked(e.ID), sameResident) {
		s.bumpLocked()
	}
}

func sameResident(a, b Resident) bool {
	return a.Model == b.Model && slices.Equal(a.Adapters, b.Adapters)
}

func (s *Server) residencyLocked(id string) []Resident {
	if e := s.mu.planner.engines[id]; e != nil {
		return e.report.Models
	}
	return nil
}

// publishLoads hands changed loads on, now and then.
func (s *Server) publishLoads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	interval := loadNews
	if s.mu.shares.Entries() > ExchangeLimit {
		interval = loadNewsLarge
	}
	if s.mu.dirty && s.now()-s.mu.news >= interval {
		s.publishLocked(true)
	}
}

// mayOrder says whether the lease of an earlier leader's orders is over.
func (s *Server) mayOrderLocked() bool {
	return s.mu.term != 0 && s.mu.listed && s.mu.index != nil && s.now()-s.mu.since >= s.cfg.OrderLease+orderMargin
}

// orderMargin is added to the lease for differences between clocks.
const orderMargin = 300 * time.Millisecond

func (s *Server) plan() []Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayOrderLocked() {
		return nil
	}
	var out []Decision
	for i := range s.mu.index.Catalog().Services {
		service := &s.mu.index.Catalog().Services[i]
		if service.Engine == nil {
			continue
		}
		closing := s.closingLocked()
		out = append(out, s.mu.planner.Plan(s.now(), service)...)
		if s.closingLocked() != closing {
			s.bumpLocked()
		}
	}
	return out
}

func (s *Server) closingLocked() int {
	n := 0
	for _, e := range s.mu.planner.engines {
		n += len(e.closing)
	}
	return n
}

// send confirms the leadership and sends one order.
func (s *Server) send(ctx context.Context, d Decision) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	out, err := s.order(ctx, &d)
	s.cfg.Log.Info("order", "endpoint", d.Engine.ID, "operation", d.Order.Operation.String(), "model", d.Order.Model,
		"adapter", d.Order.Adapter, "expected", d.Order.Expected, "fence", d.Order.Fence, "outcome", out.String(), "error", errorText(err))
	if out == Accepted || out == Holds {
		s.cfg.Metrics.ModelMove(d.Order.kind())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.planner == nil || s.mu.index == nil {
		return out, err
	}
	service := s.mu.index.Service(d.Engine.Service)
	if service == nil || service.Engine == nil {
		return out, err
	}
	s.mu.planner.Answered(s.now(), d, out, err == nil, service)
	if err == nil && d.Order.Adapter != "" {
		s.bumpLocked()
	}
	return out, err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (s *Server) order(ctx context.Context, d *Decision) (Outcome, error) {
	fence, err := s.cfg.Leadership.Confirm(ctx)
	if err != nil {
		return 0, err
	}
	d.Order.Holder, d.Order.Fence = s.cfg.Holder, fence
	return s.cfg.Platform.Order(ctx, d.Engine, d.Order)
}

func notLeading() error {
	return resultcode.New(resultcode.NoLeader, "this control VM does not lead")
}

// elsewhere tells an entry who leads. The entry may know no other way: its
// settings name some of the control VMs only.
func (s *Server) elsewhere(ctx context.Context) (*peerv1.WatchResponse, error) {
	leader, members, err := s.cfg.Leadership.Leader(ctx)
	if err != nil {
		return nil, err
	}
	return &peerv1.WatchResponse{NotLeading: true, Leader: leader, Members: members}, nil
}

// Watch answers an entry once there is something new for it.
func (s *Server) Watch(ctx context.Context, r *peerv1.WatchRequest) (*peerv1.WatchResponse, error) {
	if !s.report(r) {
		return s.elsewhere(ctx)
	}
	hold := time.NewTimer(time.Duration(r.GetHoldMs()) * time.Millisecond)
	defer hold.Stop()
	for {
		s.mu.Lock()
		term, version, changed, listed := s.mu.term, s.mu.version, s.mu.changed, s.mu.listed
		s.mu.Unlock()
		if term == 0 {
			return s.elsewhere(ctx)
		}
		catalogChanged := s.cfg.Leadership.CatalogChanged(r.GetCatalogVersion())
		news := listed && (r.GetEpoch() != term || r.GetEndpointsVersion() != version)
		select {
		case <-catalogChanged:
			news = true
		default:
		}
		if news {
			return s.answer(ctx, r)
		}
		select {
		case <-changed:
		case <-catalogChanged:
		case <-hold.C:
			return s.answer(ctx, r)
		case <-ctx.Done():
			return nil, notLeading()
		}
	}
}

// report takes over what an entry says; false means that another VM leads.
func (s *Server) report(r *peerv1.WatchRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.term == 0 {
		return false
	}
	entry, now := r.GetEntry().GetVm(), s.now()
	usage := make(map[string]Usage, len(r.GetUsage()))
	for _, u := range r.GetUsage() {
		usage[u.GetCustomer()] = Usage{Asked: float64(u.GetTokens()), Spent: float64(u.GetSpent())}
	}
	s.mu.shares.Report(now, entry, usage)
	s.mu.shares.SetAddress(entry, r.GetEntry().GetDataCentre(), r.GetLoadAddress())
	named := make(map[string]bool, len(r.GetDemand()))
	for _, d := range r.GetDemand() {
		named[d.GetModel()] = true
		s.mu.planner.Asked(now, entry, d.GetModel(), int(d.GetRequests()), int(d.GetTokens()), int(d.GetWaiting()))
	}
	s.mu.planner.Silent(entry, named)
	return true
}

func (s *Server) answer(ctx context.Context, r *peerv1.WatchRequest) (*peerv1.WatchResponse, error) {
	c, members, err := s.cfg.Leadership.Catalog(ctx)
	if err != nil {
		return nil, err
	}
	out := &peerv1.WatchResponse{Members: members}
	if c.GetVersion() > r.GetCatalogVersion() {
		out.Catalog = c
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.term == 0 {
		return nil, notLeading()
	}
	out.LiveEntries = uint32(s.mu.shares.Entries())
	if peers, version := s.mu.shares.Addresses(r.GetEntry().GetDataCentre(), ExchangeLimit); version+s.mu.term<<32 != r.GetPeersVersion() {
		out.Peers, out.PeersVersion = peers, version+s.mu.term<<32
	}
	if s.mu.index != nil {
		customers := s.mu.index.Catalog().Customers
		for name, share := range s.mu.shares.For(s.now(), r.GetEntry().GetVm(), customers) {
			out.Shares = append(out.Shares, &peerv1.CustomerShare{Customer: name, Millionths: uint32(share.Part * 1e6), Level: int64(share.Level)})
		}
	}
	if !s.mu.listed {
		return out, nil
	}
	out.Epoch, out.EndpointsVersion = s.mu.term, s.mu.version
	if r.GetEpoch() != s.mu.term || r.GetEndpointsVersion() != s.mu.version {
		out.Partial = r.GetEpoch() == s.mu.term && r.GetEndpointsVersion() >= s.mu.complete
		out.Endpoints = s.sinceLocked(r.GetEndpointsVersion(), out.GetPartial())
	}
	return out, nil
}

// sinceLocked returns what changed after a version, or everything.
func (s *Server) sinceLocked(version uint64, partial bool) []*peerv1.DirectoryEndpoint {
	var out []*peerv1.DirectoryEndpoint
	for _, e := range s.mu.list {
		if p := s.mu.published[e.ID]; p != nil && (!partial || p.version > version) {
			out = append(out, p.message)
		}
	}
	return out
}

func (s *Server) describeLocked(e Endpoint) *peerv1.DirectoryEndpoint {
	out := &peerv1.DirectoryEndpoint{
		Id: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre,
		Slots: uint32(e.Slots), Leaving: e.Leaving,
	}
	p := s.mu.planner.engines[e.ID]
	if p == nil {
		return out
	}
	out.Leaving = out.Leaving || p.report.Leaving
	out.Running, out.Waiting = uint32(p.report.Running), uint32(p.report.Waiting)
	out.KvUsed, out.KvTotal = uint64(p.report.KVUsed), uint64(p.report.KVTotal)
	for _, m := range p.report.Models {
		_, closing := p.closing[m.Model]
		out.Models = append(out.Models, &peerv1.ResidentSet{Model: m.Model, Adapters: m.Adapters, Closing: closing})
	}
	return out
}

// Load brings a model or adapter that an entry needs closer.
func (s *Server) Load(ctx context.Context, r *peerv1.LoadRequest) (*peerv1.LoadResponse, error) {
	s.mu.Lock()
	if s.mu.term == 0 {
		s.mu.Unlock()
		return nil, notLeading()
	}
	if r.GetAdapter() == "" {
		defer s.mu.Unlock()
		return s.wantModelLocked(r.GetModel()), nil
	}
	s.mu.Unlock()
	return s.loadAdapter(ctx, r.GetModel(), r.GetAdapter())
}

// wantModelLocked notes the need for a model and says when it should be met.
func (s *Server) wantModelLocked(model string) *peerv1.LoadResponse {
	s.mu.planner.WantModel(s.now(), model)
	service := s.serviceOfLocked(model)
	if service == nil {
		return &peerv1.LoadResponse{}
	}
	ready := s.mu.planner.ReadyIn(s.now(), service, model)
	ready += max(0, s.cfg.OrderLease+orderMargin-(s.now()-s.mu.since))
	return &peerv1.LoadResponse{ReadyMs: uint32(ready.Milliseconds())}
}

// serviceOfLocked returns the service whose engines run a model, or nil.
func (s *Server) serviceOfLocked(model string) *catalog.Service {
	if s.mu.index == nil {
		return nil
	}
	for i := range s.mu.index.Catalog().Services {
		service := &s.mu.index.Catalog().Services[i]
		if service.Engine != nil && slices.ContainsFunc(service.Engine.Models, func(m catalog.Model) bool { return m.Name == model }) {
			return service
		}
	}
	return nil
}

// adapterSteps bounds the orders for one adapter: an unload and a load, and one
// more pair after a conflict.
const adapterSteps = 4

func (s *Server) loadAdapter(ctx context.Context, model, adapter string) (*peerv1.LoadResponse, error) {
	for range adapterSteps {
		d, present := s.planAdapter(model, adapter)
		if present != "" {
			return &peerv1.LoadResponse{Endpoint: present}, nil
		}
		if d == nil {
			return nil, resultcode.New(resultcode.NoEndpoint, "no engine can take adapter %q of %q now", adapter, model)
		}
		out, err := s.send(ctx, *d)
		if err != nil {
			return nil, err
		}
		if d.Order.Operation == Load && (out == Accepted || out == Holds) {
			return &peerv1.LoadResponse{Endpoint: d.Engine.ID, ReadyMs: uint32(adapterReady.Milliseconds())}, nil
		}
	}
	return nil, resultcode.New(resultcode.NoEndpoint, "the orders for adapter %q of %q conflict with others", adapter, model)
}

func (s *Server) planAdapter(model, adapter string) (*Decision, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayOrderLocked() {
		return nil, ""
	}
	service := s.serviceOfLocked(model)
	if service == nil {
		return nil, ""
	}
	d, present := s.mu.planner.PlanAdapter(s.now(), service, model, adapter)
	if d != nil {
		s.mu.planner.Sent(*d)
	}
	return d, present
}
