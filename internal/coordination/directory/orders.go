package directory

import (
	"context"
	"math"
	"slices"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

// mayOrderLocked reports whether this VM may send orders: it leads, it knows the
// endpoints and the catalog, and the order lease of an earlier leader has expired.
func (s *Server) mayOrderLocked() bool {
	return s.mu.term != 0 && s.mu.listed && s.mu.index != nil && s.now()-s.mu.termStart >= s.cfg.OrderLease+orderMargin
}

// orderMargin is added to the order lease for differences between clocks.
const orderMargin = 300 * time.Millisecond

func (s *Server) plan() []Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayOrderLocked() || s.now() < s.mu.nextPlan {
		return nil
	}
	started := s.now()
	defer func() {
		took := s.now() - started
		s.mu.nextPlan = s.now() + time.Duration(float64(took)/planTimeFraction) - workInterval
	}()
	var out []Decision
	for i := range s.mu.index.Catalog().Services {
		service := &s.mu.index.Catalog().Services[i]
		if service.Engine == nil {
			continue
		}
		before := s.drainingCountLocked()
		out = append(out, s.mu.planner.Plan(s.now(), service)...)
		if s.drainingCountLocked() != before {
			s.schedulePublishLocked()
		}
	}
	for _, start := range s.mu.planner.TakeReplicaStarts() {
		s.cfg.Log.Info("adding a replica", "model", start.Model, "endpoint", start.Engine, "version", start.SoftwareVersion, "requested_version", start.RequestedVersion, "evicted", start.Evicted, "copies", start.Replicas, "local", start.Local,
			"demand", round2(start.Demand), "expected", round2(start.Expected), "pool_load", round2(start.PoolLoad), "report_age_ms", start.ReportAge.Milliseconds())
	}
	return out
}

// round2 rounds to two decimals for a log line.
func round2(x float64) float64 { return math.Round(x*100) / 100 }

func (s *Server) drainingCountLocked() int {
	n := 0
	for _, e := range s.mu.planner.engines {
		n += len(e.draining)
	}
	return n
}

// send confirms the leadership, sends one order and records its outcome.
func (s *Server) send(ctx context.Context, d Decision) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	out, err := s.order(ctx, &d)
	s.cfg.Log.Info("order to an engine", "endpoint", d.Engine.ID, "operation", d.Order.Operation.String(), "model", d.Order.Model,
		"adapter", d.Order.Adapter, "expected", d.Order.ExpectedSequence, "fence", d.Order.Fence, "outcome", out.String(), "error", errorText(err))
	if out == Accepted || out == AlreadyDone {
		s.cfg.Metrics.EngineOrder(d.Order.kind())
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
	s.mu.planner.RecordOutcome(s.now(), d, out, err == nil, service)
	if err == nil && d.Order.Adapter != "" {
		s.schedulePublishLocked()
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
	fence, err := s.cfg.Leadership.ConfirmOwnership(ctx)
	if err != nil {
		return 0, err
	}
	d.Order.Holder, d.Order.Fence = s.cfg.Holder, fence
	return s.cfg.Platform.Order(ctx, d.Engine, d.Order)
}

// Load handles the request of an entry for a model or adapter that is not resident on any
// engine of a software version, which is empty for any version. It fails with NoEndpoint
// if no engine of the version can be used.
func (s *Server) Load(ctx context.Context, r *peerv1.LoadRequest) (*peerv1.LoadResponse, error) {
	s.mu.Lock()
	if s.mu.term == 0 {
		s.mu.Unlock()
		return nil, notLeading()
	}
	if r.GetAdapter() == "" {
		defer s.mu.Unlock()
		return s.requestModelLocked(r.GetModel(), r.GetSoftwareVersion())
	}
	err := s.checkVersionLocked(r.GetModel(), r.GetSoftwareVersion())
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return s.loadAdapter(ctx, r.GetModel(), r.GetAdapter(), r.GetSoftwareVersion())
}

// requestModelLocked records the request for a model at a software version and returns
// when it should be ready.
func (s *Server) requestModelLocked(model, version string) (*peerv1.LoadResponse, error) {
	if err := s.checkVersionLocked(model, version); err != nil {
		return nil, err
	}
	s.mu.planner.RequestModel(s.now(), model, version)
	service := s.serviceOfLocked(model)
	if service == nil {
		return &peerv1.LoadResponse{}, nil
	}
	ready := s.mu.planner.EstimateReady(s.now(), service, model, version)
	ready += max(0, s.cfg.OrderLease+orderMargin-(s.now()-s.mu.termStart))
	return &peerv1.LoadResponse{ReadyMs: uint32(ready.Milliseconds())}, nil
}

// checkVersionLocked returns NoEndpoint if no engine of a software version, which is empty
// for any version, can be used. Until this leader knows the endpoints and the catalog, any
// may have the version.
func (s *Server) checkVersionLocked(model, version string) error {
	service := s.serviceOfLocked(model)
	if version == "" || !s.mu.listed || service == nil || s.mu.planner.VersionUsable(service, version) {
		return nil
	}
	return resultcode.New(resultcode.NoEndpoint, "no engine of software version %q can load model %q", version, model)
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

// maxAdapterOrders bounds the orders for one adapter: an unload and a load, and one
// more pair after a conflict.
const maxAdapterOrders = 4

func (s *Server) loadAdapter(ctx context.Context, model, adapter, version string) (*peerv1.LoadResponse, error) {
	for range maxAdapterOrders {
		d, loadedOn := s.planAdapter(model, adapter, version)
		if loadedOn != "" {
			return &peerv1.LoadResponse{Endpoint: loadedOn}, nil
		}
		if d == nil {
			return nil, resultcode.New(adapterRefusal(version), "no engine can load adapter %q of model %q now", adapter, model)
		}
		out, err := s.send(ctx, *d)
		if err != nil {
			return nil, err
		}
		if d.Order.Operation == Load && (out == Accepted || out == AlreadyDone) {
			return &peerv1.LoadResponse{Endpoint: d.Engine.ID, ReadyMs: uint32(adapterLoadTime.Milliseconds())}, nil
		}
	}
	return nil, resultcode.New(adapterRefusal(version), "adapter %q of model %q was not loaded: its orders were refused or conflicted with others", adapter, model)
}

// adapterRefusal is the code of a load of an adapter that may succeed later. A request for
// a software version is refused at once on NoEndpoint.
func adapterRefusal(version string) resultcode.Code {
	if version == "" {
		return resultcode.NoEndpoint
	}
	return resultcode.ModelLoading
}

func (s *Server) planAdapter(model, adapter, version string) (*Decision, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayOrderLocked() {
		return nil, ""
	}
	service := s.serviceOfLocked(model)
	if service == nil {
		return nil, ""
	}
	d, loadedOn := s.mu.planner.PlanAdapter(s.now(), service, model, adapter, version)
	if d != nil {
		s.mu.planner.RecordSent(*d)
	}
	return d, loadedOn
}
