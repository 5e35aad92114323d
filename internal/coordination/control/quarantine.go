package control

import (
	"context"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// PutQuarantine proposes what is under quarantine, as the leader of a term decided it.
// It returns nil once that is committed, or overtaken by a leader of a later term.
func (s *Server) PutQuarantine(ctx context.Context, q *statev1.PutQuarantine) error {
	command := &statev1.Command{Op: &statev1.Command_PutQuarantine{PutQuarantine: q}}
	return s.proposeCommand(ctx, command)
}

// Quarantine returns what this member has applied as being under quarantine.
func (s *Server) Quarantine(ctx context.Context) ([]*statev1.QuarantinedTrait, error) {
	return callLoop(ctx, s, noLeader("the quarantine was not read before the deadline"), func(done func([]*statev1.QuarantinedTrait, error)) {
		done(s.loop.machine.Quarantine(), nil)
	})
}

// proposeCommand proposes a command and returns the error that its result stands for.
func (s *Server) proposeCommand(ctx context.Context, c *statev1.Command) error {
	resp, err := s.Propose(ctx, &peerv1.ProposeRequest{Command: c})
	if err != nil {
		return err
	}
	if code := resultcode.Code(resp.GetResult().GetCode()); code != resultcode.OK {
		return resultcode.New(code, "%s", resp.GetResult().GetMessage())
	}
	return nil
}
