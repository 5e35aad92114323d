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

// mayOrderLocked says whether the lease of an earlier leader's orders is over.
func (s *Server) mayOrderLocked() bool {
	return s.mu.term != 0 && s.mu.listed && s.mu.index != nil && s.now()-s.mu.since >= s.cfg.OrderLease+orderMargin
}

// orderMargin is added to the lease for differences between clocks.
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
		s.mu.nextPlan = s.now() + time.Duration(float64(took)/planPart) - workInterval
	}()
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
	for _, m := range s.mu.planner.TakeMoves() {
		s.cfg.Log.Info("copy begun", "model", m.Model, "endpoint", m.Engine, "evicted", m.Evicted, "copies", m.Copies, "local", m.Local,
			"demand", round2(m.Demand), "expected", round2(m.Expected), "pool_load", round2(m.PoolLoad), "report_age_ms", m.ReportAge.Milliseconds())
	}
	return out
}

// round2 keeps two decimals for a log line.
func round2(x float64) float64 { return math.Round(x*100) / 100 }

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
		"adapter", d.Order.Adapter, "expected", d.Order.ExpectedSequence, "fence", d.Order.Fence, "outcome", out.String(), "error", errorText(err))
	if out == Accepted || out == AlreadyDone {
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
	fence, err := s.cfg.Leadership.ConfirmOwnership(ctx)
	if err != nil {
		return 0, err
	}
	d.Order.Holder, d.Order.Fence = s.cfg.Holder, fence
	return s.cfg.Platform.Order(ctx, d.Engine, d.Order)
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
		if d.Order.Operation == Load && (out == Accepted || out == AlreadyDone) {
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
