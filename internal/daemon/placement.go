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

// placementControl gives the placement owner access to the control role of this VM.
type placementControl struct{ server *control.Server }

var _ placement.Control = placementControl{}

// Propose implements placement.Control. It marks the command as forwarded, so that it
// is not forwarded to another VM and only this VM can commit it.
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

// buildPlacement builds the placement owner. It has its own connections, so that
// polls and orders do not wait behind requests.
func (d *Daemon) buildPlacement() error {
	if d.control == nil {
		return nil
	}
	d.placementClient = httpclient.New(httpclient.Options{})
	platform, err := newPlatformList(d.placementClient, d.settings.PlatformListURL)
	if err != nil {
		return err
	}
	d.placement = placement.NewOwner(placement.Config{
		Member:      d.control.MemberID(),
		Control:     placementControl{d.control},
		Engine:      enginehttp.New(d.placementClient),
		Platform:    platform,
		Logger:      d.log,
		OnOrderDone: d.countModelMove,
	})
	return nil
}

func (d *Daemon) countModelMove(kind engine.OrderKind) {
	name := telemetry.OrderLoadModel
	if kind == engine.UnloadModel {
		name = telemetry.OrderUnloadModel
	}
	d.metrics.EngineOrder(name)
}

// observeDemand passes the demand that entries report to the placement owner, once it
// is built.
func (d *Daemon) observeDemand(session *statev1.Session, demand []*peerv1.ModelDemand) {
	if d.placement != nil {
		d.placement.ObserveDemand(session, demand)
	}
}

// runPlacement runs the placement owner until ctx ends.
func (d *Daemon) runPlacement(ctx context.Context) {
	if d.placement == nil {
		return
	}
	d.reportFailure("placement", d.placement.Run(ctx))
	d.placementClient.Close()
}
