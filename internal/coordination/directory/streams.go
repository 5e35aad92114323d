package directory

import (
	"context"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
)

// Streams records at which software versions streams began, and answers for others.
func (s *Server) Streams(_ context.Context, _ *peerv1.StreamsRequest) (*peerv1.StreamsResponse, error) {
	return nil, notLeading()
}
