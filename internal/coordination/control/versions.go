package control

import (
	"context"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// PutRecentVersions proposes the recent software versions of endpoints, as the leader of a
// term knows them. It returns nil once they are committed, and an error with the code
// FencingTokenOld if a leader of a later term has declared its own.
func (s *Server) PutRecentVersions(ctx context.Context, p *statev1.PutRecentVersions) error {
	return s.proposeCommand(ctx, &statev1.Command{Op: &statev1.Command_PutRecentVersions{PutRecentVersions: p}})
}

// RecentVersions returns the recent software versions that this member has applied.
func (s *Server) RecentVersions(ctx context.Context) ([]*statev1.ServiceVersions, error) {
	return callLoop(ctx, s, noLeader("the recent software versions were not read before the deadline"), func(done func([]*statev1.ServiceVersions, error)) {
		done(s.loop.machine.RecentVersions(), nil)
	})
}
