package daemon

import (
	"context"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/control"
	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/coordination/placement"
	"github.com/radishloom/radishloom/internal/protocol/enginehttp"
	"github.com/radishloom/radishloom/internal/state/fleet"
	"github.com/radishloom/radishloom/internal/telemetry"
	"github.com/radishloom/radishloom/internal/transport/httpclient"
)

// placementControl gives the owner of placement the control role of this VM.
type placementControl struct{ server *control.Server }

var _ placement.Control = placementControl{}

// Propose implements placement.Control. A command that counts as forwarded is
// not forwarded again, so only this VM commits it.
func (c placementControl) Propose(ctx context.Context, cmd *statev1.Command) (*statev1.Result, error) {
	r, err := c.server.Propose(ctx, &peerv1.ProposeRequest{Command: cmd, Forwarded: true})
	return r.GetResult(), err
}

// Read implements placement.Control.
func (c placementControl) Read(ctx context.Context, f func(m *fleet.Machine)) error {
	return c.server.Read(ctx, false, f)
}

// SetResidency implements placement.Control.
func (c placementControl) SetResidency(ctx context.Context, list []*peerv1.EndpointResidency) error {
	return c.server.SetResidency(ctx, list)
}

// Leading implements placement.Control.
func (c placementControl) Leading(ctx context.Context) (uint64, bool) { return c.server.Leading(ctx) }

// buildPlacement builds the owner of placement. It has its own connections, so
// that polls and orders do not wait behind requests.
func (d *Daemon) buildPlacement() error {
	if d.control == nil {
		return nil
	}
	d.orders = httpclient.New(httpclient.Options{})
	platform, err := platformList(d.orders, d.settings.PlatformListURL)
	if err != nil {
		return err
	}
	d.placement = placement.NewOwner(placement.Config{
		Member:      d.control.MemberID(),
		Control:     placementControl{d.control},
		Engine:      enginehttp.New(d.orders),
		Platform:    platform,
		Logger:      d.log,
		OnOrderDone: d.countMove,
	})
	return nil
}

func (d *Daemon) countMove(kind engine.OrderKind) {
	name := telemetry.MoveLoadModel
	if kind == engine.UnloadModel {
		name = telemetry.MoveUnloadModel
	}
	d.metrics.ModelMove(name)
}

// takeDemand passes what entries report to placement, once it is built.
func (d *Daemon) takeDemand(session *statev1.Session, demand []*peerv1.ModelDemand) {
	if d.placement != nil {
		d.placement.ObserveDemand(session, demand)
	}
}

// runPlacement runs the owner of placement until ctx ends.
func (d *Daemon) runPlacement(ctx context.Context) {
	if d.placement == nil {
		return
	}
	d.must("placement", d.placement.Run(ctx))
	d.orders.Close()
}
