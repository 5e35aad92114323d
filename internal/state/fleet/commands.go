package fleet

import (
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/order"
)

func (m *Machine) claimBegin(c *statev1.Command, b *statev1.ClaimBegin) *statev1.Result {
	if b.GetAttempt() == "" || b.GetKey().GetIdempotencyKey() == "" {
		return refuse(resultcode.BadRequest, "a claim needs an idempotency key and an attempt")
	}
	live := m.sessions.live[keyOf(b.GetSession())] != nil
	r := m.claims.Begin(b, c.GetWallTimeMs(), live)
	return &statev1.Result{Code: uint32(claimCode(r)), Claim: r}
}

// claimCode returns the code with which the request is refused, or OK if it may
// run or its stored answer is replayed.
func claimCode(r *statev1.ClaimResult) resultcode.Code {
	switch r.GetState() {
	case statev1.ClaimState_CLAIM_STATE_GRANTED:
		return resultcode.OK
	case statev1.ClaimState_CLAIM_STATE_RUNNING:
		return resultcode.ClaimRunning
	case statev1.ClaimState_CLAIM_STATE_DONE:
		if r.GetAnswer().GetTruncated() {
			return resultcode.ClaimAnswerTooBig
		}
		return resultcode.OK
	case statev1.ClaimState_CLAIM_STATE_MAY_HAVE_RUN:
		return resultcode.ClaimMayHaveRun
	case statev1.ClaimState_CLAIM_STATE_BODY_DIFFERS:
		return resultcode.ClaimBodyDiffers
	case statev1.ClaimState_CLAIM_STATE_FULL:
		return resultcode.ClaimsFull
	case statev1.ClaimState_CLAIM_STATE_EXPIRED:
		return resultcode.ClaimTooOld
	default:
		return resultcode.ClaimUnavailable
	}
}

func (m *Machine) claimFinish(f *statev1.ClaimFinish) *statev1.Result {
	if f.GetOutcome() == statev1.ClaimOutcome_CLAIM_OUTCOME_UNSPECIFIED {
		return refuse(resultcode.BadRequest, "the claim's outcome is not set")
	}
	if !m.claims.Finish(m.now, f) {
		return refuse(resultcode.ResourceUnknown, "attempt %q holds no claim", f.GetAttempt())
	}
	return &statev1.Result{}
}

func (m *Machine) endpoint(name string) *statev1.Endpoint {
	for _, e := range m.config.GetEndpoints() {
		if e.GetName() == name {
			return e
		}
	}
	return nil
}

func (m *Machine) model(name string) *statev1.Model {
	for _, model := range m.config.GetModels() {
		if model.GetName() == name {
			return model
		}
	}
	return nil
}

// PinnedModels returns the models that are always resident on an engine.
func (m *Machine) PinnedModels(e *statev1.Endpoint) []*statev1.ResidentModel {
	out := make([]*statev1.ResidentModel, 0, len(e.GetPinnedModels()))
	for _, name := range e.GetPinnedModels() {
		model := m.model(name)
		out = append(out, &statev1.ResidentModel{Model: name, Version: model.GetVersion(), MemoryMb: model.GetMemoryMb()})
	}
	return out
}

func (m *Machine) orderIssue(index uint64, o *statev1.OrderIssue) *statev1.Result {
	e := m.endpoint(o.GetEndpoint())
	if e.GetKind() != statev1.EndpointKind_ENDPOINT_KIND_ENGINE {
		return refuse(resultcode.ResourceUnknown, "engine %q does not exist", o.GetEndpoint())
	}
	if r := m.checkOrder(e, o); r != nil {
		return r
	}
	switch m.orders.Issue(m.now, index, o, e.GetMemoryMb(), m.PinnedModels(e)) {
	case order.Issued:
		return &statev1.Result{}
	case order.StaleToken:
		return refuse(resultcode.FencingTokenOld, "fencing token %d is not the present owner's", o.GetFencingToken())
	case order.Unobserved:
		return refuse(resultcode.MemoryOvercommitted, "engine %q has not reported what it holds", o.GetEndpoint())
	case order.TooManyOpen:
		return refuse(resultcode.MemoryOvercommitted, "engine %q has too many unresolved orders", o.GetEndpoint())
	default:
		return refuse(resultcode.MemoryOvercommitted, "engine %q has %d MB; the worst case with this order exceeds it", o.GetEndpoint(), e.GetMemoryMb())
	}
}

// checkOrder returns the refusal of an order that contradicts the configuration,
// or nil.
func (m *Machine) checkOrder(e *statev1.Endpoint, o *statev1.OrderIssue) *statev1.Result {
	switch o.GetKind() {
	case statev1.OrderKind_ORDER_KIND_LOAD_MODEL:
		model := m.model(o.GetModel())
		if model == nil {
			return refuse(resultcode.ResourceUnknown, "model %q does not exist", o.GetModel())
		}
		if o.GetMemoryMb() == 0 || (o.GetVersion() == model.GetVersion() && o.GetMemoryMb() < model.GetMemoryMb()) {
			return refuse(resultcode.BadRequest, "memory_mb is %d, the model needs %d", o.GetMemoryMb(), model.GetMemoryMb())
		}
	case statev1.OrderKind_ORDER_KIND_UNLOAD_MODEL:
		for _, name := range e.GetPinnedModels() {
			if name == o.GetModel() && o.GetVersion() == m.model(name).GetVersion() {
				return refuse(resultcode.BadRequest, "model %q is pinned to engine %q", name, e.GetName())
			}
		}
	case statev1.OrderKind_ORDER_KIND_LOAD_ADAPTER, statev1.OrderKind_ORDER_KIND_UNLOAD_ADAPTER, statev1.OrderKind_ORDER_KIND_SET_ROLE:
	default:
		return refuse(resultcode.BadRequest, "the order's kind is not set")
	}
	return nil
}

func (m *Machine) orderResolve(o *statev1.OrderResolve) *statev1.Result {
	if o.GetOutcome() == statev1.OrderOutcome_ORDER_OUTCOME_UNSPECIFIED {
		return refuse(resultcode.BadRequest, "the order's outcome is not set")
	}
	if !m.orders.Resolve(o.GetOrderId(), o.GetOutcome()) {
		return refuse(resultcode.ResourceUnknown, "order %d is not open", o.GetOrderId())
	}
	return &statev1.Result{}
}

func (m *Machine) endpointObserved(o *statev1.EndpointObserved) *statev1.Result {
	switch m.orders.Observe(o) {
	case order.Issued:
		return &statev1.Result{}
	case order.StaleToken:
		return refuse(resultcode.FencingTokenOld, "fencing token %d is not the present owner's", o.GetFencingToken())
	default:
		return refuse(resultcode.ResourceUnknown, "engine %q does not exist", o.GetEndpoint())
	}
}
