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
	lifetime = LifetimeMs * time.Millisecond
	// sendMargin is left of the lifetime for the way to the engine.
	sendMargin = time.Second
	// answerTimeout bounds the wait for an engine that carries out an order.
	answerTimeout = 10 * time.Minute
)

// issue commits orders and sends those that were committed. It returns when
// all are committed, so that the next plan counts them.
func (o *Owner) issue(ctx context.Context, orders []Order) {
	token := o.currentToken()
	g := errgroup.Group{}
	g.SetLimit(parallelCommits)
	for _, order := range orders {
		g.Go(func() error {
			o.issueOne(ctx, token, order)
			return nil
		})
	}
	_ = g.Wait()
}

func (o *Owner) issueOne(ctx context.Context, token uint64, order Order) {
	// The lifetime runs from here, which is before the ledger's start.
	started := o.cfg.Now()
	r := o.propose(ctx, &statev1.Command{Op: &statev1.Command_OrderIssue{OrderIssue: &statev1.OrderIssue{
		FencingToken: token, Endpoint: order.Endpoint, Kind: order.Kind,
		Model: order.Model, Version: order.Version, MemoryMb: order.MemoryMB, LifetimeMs: LifetimeMs,
	}}})
	if r == nil {
		return // if it is committed later, the ledger counts it until it is over
	}
	o.cfg.Logger.Info("placement: order issued", "order", r.GetIndex(), "endpoint", order.Endpoint,
		"kind", order.Kind.String(), "model", order.Model, "version", order.Version)
	o.sends.Go(func() { o.send(ctx, token, r.GetIndex(), started, order) })
}

// send sends an order once and records the engine's answer. Without an answer
// the order stays open until a report shows its effect.
func (o *Owner) send(ctx context.Context, token, id uint64, started time.Duration, order Order) {
	select {
	case o.slots <- struct{}{}:
		defer func() { <-o.slots }()
	case <-ctx.Done():
		return
	}
	outcome := statev1.OrderOutcome_ORDER_OUTCOME_REFUSED
	left := lifetime - sendMargin - (o.cfg.Now() - started)
	address, ok := o.address(ctx, order.Endpoint)
	if left > 0 && ok && o.currentToken() == token {
		ctx, cancel := context.WithTimeout(ctx, answerTimeout)
		defer cancel()
		err := o.cfg.Engine.Order(ctx, engine.Target{Name: order.Endpoint, Address: address}, engine.Order{
			ID: id, FencingToken: token, Lifetime: left, Kind: kindOf(order.Kind),
			Model: order.Model, Version: order.Version, MemoryMB: order.MemoryMB,
		})
		switch {
		case err == nil:
			outcome = statev1.OrderOutcome_ORDER_OUTCOME_DONE
			if o.cfg.Moved != nil {
				o.cfg.Moved(kindOf(order.Kind))
			}
		case resultcode.Of(err).Info().Run != resultcode.NotRun:
			o.cfg.Logger.Warn("placement: no answer to an order", "order", id, "endpoint", order.Endpoint, "error", err)
			return
		default:
			o.cfg.Logger.Warn("placement: order not carried out", "order", id, "endpoint", order.Endpoint, "error", err)
		}
	}
	o.resolve(ctx, token, id, order.Endpoint, outcome)
}

func (o *Owner) resolve(ctx context.Context, token, id uint64, endpoint string, outcome statev1.OrderOutcome) {
	o.mu.Lock()
	if o.token == token {
		o.changed[endpoint] = o.fleet.now(o.cfg.Now())
	}
	o.mu.Unlock()
	o.propose(ctx, &statev1.Command{Op: &statev1.Command_OrderResolve{
		OrderResolve: &statev1.OrderResolve{OrderId: id, Outcome: outcome},
	}})
}

func (o *Owner) address(ctx context.Context, endpoint string) (address string, ok bool) {
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

func kindOf(k statev1.OrderKind) engine.OrderKind {
	if k == statev1.OrderKind_ORDER_KIND_UNLOAD_MODEL {
		return engine.UnloadModel
	}
	return engine.LoadModel
}
