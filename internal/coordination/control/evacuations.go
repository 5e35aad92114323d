package control

import (
	"context"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/fleet"
	"github.com/radishloom/radishloom/internal/state/raft"
)

// SetEvacuation proposes to begin or end the evacuation of a data centre. It returns the
// version of the evacuations once the order is committed. An order that is resent is
// acknowledged again.
func (s *Server) SetEvacuation(ctx context.Context, requestID, author, dataCentre string, evacuated bool) (version uint64, err error) {
	if err := fleet.CheckDataCentre(dataCentre); err != nil {
		return 0, err
	}
	resp, err := s.Propose(ctx, &peerv1.ProposeRequest{Command: &statev1.Command{
		RequestId: requestID, Author: author,
		Op: &statev1.Command_SetEvacuation{SetEvacuation: &statev1.SetEvacuation{DataCentre: dataCentre, Evacuated: evacuated}},
	}})
	if err != nil {
		return 0, err
	}
	if code := resultcode.Code(resp.GetResult().GetCode()); code != resultcode.OK {
		return 0, resultcode.New(code, "%s", resp.GetResult().GetMessage())
	}
	return resp.GetResult().GetEvacuationsVersion(), nil
}

// evacuations are the records of all data centres at a version.
type evacuations struct {
	version uint64
	records []*statev1.EvacuationRecord
}

// Evacuations returns the evacuations that this member has applied, and their version. A
// leader has applied all that was committed in earlier terms.
func (s *Server) Evacuations(ctx context.Context) (version uint64, records []*statev1.EvacuationRecord, err error) {
	found, err := callLoop(ctx, s, noLeader("the evacuations were not read before the deadline"), func(done func(evacuations, error)) {
		version, records := s.loop.machine.Evacuations()
		done(evacuations{version, records}, nil)
	})
	return found.version, found.records, err
}

// FleetTime returns the fleet time of the last command that this member has applied, in
// milliseconds.
func (s *Server) FleetTime(ctx context.Context) (uint64, error) {
	return callLoop(ctx, s, noLeader("the fleet time was not read before the deadline"), func(done func(uint64, error)) {
		done(s.loop.machine.FleetTime(), nil)
	})
}

// ReadEvacuations returns the evacuations as of the last order that was acknowledged.
func (s *Server) ReadEvacuations(ctx context.Context) (version uint64, records []*statev1.EvacuationRecord, err error) {
	err = s.Read(ctx, true, func(m *fleet.Machine) { version, records = m.Evacuations() })
	return version, records, err
}

// reportEvacuatedCount reports the number of evacuated data centres if it may have changed.
func (l *loop) reportEvacuatedCount() {
	version, records := l.machine.Evacuations()
	if version != l.reportedEvacuations {
		l.reportedEvacuations = version
		l.cfg.Metrics.EvacuatedDataCentres(len(evacuatedDataCentres(records)))
	}
}

// reportEvacuationOrder reports an order that changed the evacuations, given their
// version before it. Only the leader does: other members apply the order as well, and
// every member applies it again after a restart.
func (l *loop) reportEvacuationOrder(c *statev1.Command, before uint64) {
	order, version := c.GetSetEvacuation(), l.machine.EvacuationsVersion()
	if order != nil && version != before && l.core.Status().Role == raft.Leader {
		l.cfg.Metrics.EvacuationChanged(order.GetDataCentre(), order.GetEvacuated(), c.GetAuthor(), version)
	}
}

// evacuatedDataCentres returns the names of the data centres that are evacuated.
func evacuatedDataCentres(records []*statev1.EvacuationRecord) []string {
	var out []string
	for _, r := range records {
		if r.GetEvacuated() {
			out = append(out, r.GetDataCentre())
		}
	}
	return out
}
