package placement

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/fleet"
)

const (
	orderLifetime = OrderLifetimeMs * time.Millisecond
	// sendMargin is the part of the lifetime that is kept for the transfer to the
	// engine.
	sendMargin = time.Second
	// orderResponseTimeout bounds the wait for an engine to carry out an order.
	orderResponseTimeout = 10 * time.Minute
)

// issue commits orders and sends those that were committed. It does not wait for
// the engines, but returns only after all commits, so that the next plan takes
// the orders into account.
func (o *Owner) issue(ctx context.Context, orders []Order) {
	token := o.currentToken()
	g := errgroup.Group{}
	g.SetLimit(maxParallelCommits)
	for _, order := range orders {
		g.Go(func() error {
			o.issueOrder(ctx, token, order)
			return nil
		})
	}
	_ = g.Wait()
}

func (o *Owner) issueOrder(ctx context.Context, token uint64, order Order) {
	// The lifetime is counted from before the commit, so that the order expires
	// here no later than in the ledger.
	started := o.cfg.Now()
	r := o.propose(ctx, &statev1.Command{Op: &statev1.Command_OrderIssue{OrderIssue: &statev1.OrderIssue{
		FencingToken: token, Endpoint: order.Endpoint, Kind: order.Kind,
		Model: order.Model, Version: order.Version, MemoryMb: order.MemoryMB, LifetimeMs: OrderLifetimeMs,
	}}})
	if r == nil {
		return // if it is committed later, the ledger counts it until it expires
	}
	o.cfg.Logger.Info("placement: order issued", "order", r.GetIndex(), "endpoint", order.Endpoint,
		"kind", order.Kind.String(), "model", order.Model, "version", order.Version)
	o.sends.Go(func() { o.send(ctx, token, r.GetIndex(), started, order) })
}

// send sends an order once and records the engine's response. Without a response
// the order stays open until a later report closes it.
func (o *Owner) send(ctx context.Context, token, id uint64, started time.Duration, order Order) {
	select {
	case o.sendSlots <- struct{}{}:
		defer func() { <-o.sendSlots }()
	case <-ctx.Done():
		return
	}
	outcome := statev1.OrderOutcome_ORDER_OUTCOME_REFUSED
	remaining := orderLifetime - sendMargin - (o.cfg.Now() - started)
	address, ok := o.endpointAddress(ctx, order.Endpoint)
	if remaining > 0 && ok && o.currentToken() == token {
		ctx, cancel := context.WithTimeout(ctx, orderResponseTimeout)
		defer cancel()
		err := o.cfg.Engine.Order(ctx, engine.Target{Name: order.Endpoint, Address: address}, engine.Order{
			ID: id, FencingToken: token, Lifetime: remaining, Kind: engineOrderKind(order.Kind),
			Model: order.Model, Version: order.Version, MemoryMB: order.MemoryMB,
		})
		switch {
		case err == nil:
			outcome = statev1.OrderOutcome_ORDER_OUTCOME_DONE
			if o.cfg.OnOrderDone != nil {
				o.cfg.OnOrderDone(engineOrderKind(order.Kind))
			}
		case resultcode.Of(err).Info().Run != resultcode.NotRun:
			o.cfg.Logger.Warn("placement: engine did not respond to an order; it may have been carried out", "order", id, "endpoint", order.Endpoint, "error", err)
			return
		default:
			o.cfg.Logger.Warn("placement: engine did not carry out an order", "order", id, "endpoint", order.Endpoint, "error", err)
		}
	}
	o.recordOutcome(ctx, token, id, order.Endpoint, outcome)
}

func (o *Owner) recordOutcome(ctx context.Context, token, id uint64, endpoint string, outcome statev1.OrderOutcome) {
	o.mu.Lock()
	if o.token == token {
		o.answeredMs[endpoint] = o.clock.now(o.cfg.Now())
	}
	o.mu.Unlock()
	o.propose(ctx, &statev1.Command{Op: &statev1.Command_OrderResolve{
		OrderResolve: &statev1.OrderResolve{OrderId: id, Outcome: outcome},
	}})
}

func (o *Owner) endpointAddress(ctx context.Context, endpoint string) (address string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := o.cfg.Control.Read(ctx, func(m *fleet.Machine) {
		for _, e := range m.Config().GetEndpoints() {
			if e.GetName() == endpoint {
				address, ok = e.GetAddress(), true
			}
		}
	})
	return address, ok && err == nil
}

func engineOrderKind(k statev1.OrderKind) engine.OrderKind {
	if k == statev1.OrderKind_ORDER_KIND_UNLOAD_MODEL {
		return engine.UnloadModel
	}
	return engine.LoadModel
}
