package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/bootstrap"
	"github.com/radishloom/radishloom/internal/state/raft"
	"github.com/radishloom/radishloom/internal/state/wal"
)

// openBootstrap takes over the record of an earlier start, or begins one if this VM is a
// seed of a first start.
func (l *loop) openBootstrap(recovered *wal.Recovered) error {
	l.bootstrap = recovered.Bootstrap
	empty := recovered.HardState == nil && recovered.Snapshot == nil && len(recovered.Entries) == 0
	if l.bootstrap == nil && empty && l.cfg.Bootstrap {
		if err := l.beginRecord(); err != nil {
			return err
		}
	}
	return l.installDecided()
}

func (l *loop) beginRecord() error {
	seeds := bootstrap.Seeds(l.cfg.Peers)
	if len(seeds) == 0 {
		seeds = []string{l.member.GetAddress()}
	}
	if !slices.Contains(seeds, l.member.GetAddress()) {
		return nil
	}
	return l.saveBootstrap(bootstrap.NewRecord(seeds))
}

func (l *loop) saveBootstrap(r *statev1.BootstrapRecord) error {
	if err := l.log.SaveBootstrap(r); err != nil {
		return fmt.Errorf("save the bootstrap record: %w", err)
	}
	l.bootstrap = r
	if r.GetDecided() {
		l.cfg.Metrics.Bootstrapped(r.GetMembership())
	}
	return nil
}

// installDecided starts from the decided first membership if this VM belongs to it and
// its log is empty.
func (l *loop) installDecided() error {
	m := l.bootstrap.GetMembership()
	if !l.bootstrap.GetDecided() || l.core.Status().LastIndex != 0 || findMember(m, l.member.GetId()) == nil {
		return nil
	}
	return l.install(m)
}

// install starts a fleet with its first membership. The core is restarted from disk, since
// it may have saved a vote before.
func (l *loop) install(m *statev1.Membership) error {
	data, err := l.machine.Snapshot()
	if err != nil {
		return err
	}
	s, err := raft.Bootstrap(m.GetMembers(), data)
	if err != nil {
		return err
	}
	if err := l.log.SaveSnapshot(s); err != nil {
		return fmt.Errorf("save the initial snapshot: %w", err)
	}
	if _, err := l.restart(); err != nil {
		return err
	}
	return l.restore(s)
}

// beginBootstrap starts an attempt to agree on the first membership, whose ballot this
// seed has promised.
func (l *loop) beginBootstrap() (*bootstrap.Proposer, *peerv1.BootstrapRequest, error) {
	p, request := bootstrap.NewProposer(l.bootstrap, l.member.GetId())
	_, err := l.acceptBootstrap(request)
	return p, request, err
}

// acceptBootstrap handles a request of a seed. An error that is not a full disk stops the
// daemon, since the state of the record on disk is unknown then.
func (l *loop) acceptBootstrap(r *peerv1.BootstrapRequest) (*peerv1.BootstrapResponse, error) {
	next, granted, err := bootstrap.Accept(l.bootstrap, r)
	if err != nil {
		return nil, resultcode.Wrap(resultcode.MembershipRefused, err, "control VM %s does not agree on a first membership", l.member.GetVm())
	}
	if next != l.bootstrap {
		err = l.saveBootstrap(next)
	}
	if errors.Is(err, wal.ErrDiskFull) {
		return nil, l.diskFullError()
	}
	if err == nil {
		err = l.installDecided()
	}
	if err != nil {
		l.fatal = err
		return nil, err
	}
	return &peerv1.BootstrapResponse{Member: l.member, Granted: granted, Record: l.bootstrap}, nil
}

// mayBootstrap reports whether this VM still has to agree on a first membership.
func (l *loop) mayBootstrap() bool {
	return l.bootstrap != nil && !l.bootstrap.GetDecided() && l.core.Status().LastIndex == 0
}

// Bootstrap handles a request of a seed that makes an attempt to agree on the first
// membership of a fleet. An error with the code MembershipRefused means that this VM is
// no seed of the same first start.
func (s *Server) Bootstrap(ctx context.Context, r *peerv1.BootstrapRequest) (*peerv1.BootstrapResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return callLoop(ctx, s, noLeader("the bootstrap request was not handled before the time-out"), func(done func(*peerv1.BootstrapResponse, error)) {
		done(s.loop.acceptBootstrap(r))
	})
}

// bootstrapFleet makes attempts to agree on the first membership until one is decided or
// this VM has joined a fleet. It does nothing at a VM that is no seed of a first start.
func (s *Server) bootstrapFleet(ctx context.Context) {
	seeds := s.bootstrapSeeds(ctx)
	started := s.cfg.Clock.Now()
	wait := time.Duration(slices.Index(seeds, s.cfg.Member.GetAddress())) * bootstrapTakeover
	refusals := map[string]string{}
	for len(seeds) > 0 && s.pause(ctx, wait) {
		if !s.mayBootstrap(ctx) {
			return
		}
		a := bootstrapAttempt{Server: s, seeds: seeds, refusals: refusals, responses: make(chan seedResponse), informed: map[string]bool{}}
		a.run(ctx, s.cfg.Clock.Now()-started >= bootstrapPatience)
		wait = bootstrapInterval + rand.N(bootstrapInterval)
	}
}

// bootstrapSeeds returns the seeds of the first start, or none at a VM that is not one of
// them.
func (s *Server) bootstrapSeeds(ctx context.Context) []string {
	seeds, err := callLoop(ctx, s, noLeader("stopped"), func(done func([]string, error)) {
		done(s.loop.bootstrap.GetSeeds(), nil)
	})
	if err != nil {
		return nil
	}
	return seeds
}

func (s *Server) mayBootstrap(ctx context.Context) bool {
	may, err := callLoop(ctx, s, noLeader("stopped"), func(done func(bool, error)) {
		done(s.loop.mayBootstrap(), nil)
	})
	return err == nil && may
}

// bootstrapAttempt is one attempt of a seed to agree on the first membership.
type bootstrapAttempt struct {
	*Server
	seeds []string
	// refusals has the last refusal of each seed, so that each is reported once.
	refusals  map[string]string
	responses chan seedResponse
	awaited   int // number of responses
	calls     sync.WaitGroup
	// informed are the seeds that have recorded the decision.
	informed map[string]bool
}

// seedResponse is the response of a seed to a request.
type seedResponse struct {
	address  string
	request  *peerv1.BootstrapRequest
	response *peerv1.BootstrapResponse
	err      error
}

// run makes the attempt, until no response is awaited. With partial, the promises of a
// majority are enough after bootstrapGrace.
func (a *bootstrapAttempt) run(ctx context.Context, partial bool) {
	defer a.calls.Wait()
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	p, request := a.begin(ctx)
	if p == nil {
		return
	}
	a.send(ctx, request)
	grace, waiting := time.After(bootstrapGrace), partial
	for a.awaited > 0 || waiting {
		var next *peerv1.BootstrapRequest
		select {
		case r := <-a.responses:
			a.awaited--
			next = a.receive(ctx, p, r)
		case <-grace:
			waiting = false
		case <-ctx.Done():
			return
		}
		if next == nil && partial && !waiting {
			next = p.Proceed()
		}
		if next != nil {
			a.send(ctx, next)
		}
	}
}

// begin returns the attempt and its first request; no attempt if this seed could not
// promise its ballot.
func (a *bootstrapAttempt) begin(ctx context.Context) (*bootstrap.Proposer, *peerv1.BootstrapRequest) {
	var request *peerv1.BootstrapRequest
	p, err := callLoop(ctx, a.Server, noLeader("stopped"), func(done func(*bootstrap.Proposer, error)) {
		p, r, err := a.loop.beginBootstrap()
		request = r
		done(p, err)
	})
	if err != nil {
		return nil, nil
	}
	return p, request
}

// receive passes the response of a seed to the attempt and returns the next request.
func (a *bootstrapAttempt) receive(ctx context.Context, p *bootstrap.Proposer, r seedResponse) *peerv1.BootstrapRequest {
	if r.err == nil {
		a.elect(ctx, r)
		return p.Receive(r.address, r.request, r.response)
	}
	if text := r.err.Error(); resultcode.Of(r.err) == resultcode.MembershipRefused && a.refusals[r.address] != text {
		a.refusals[r.address] = text
		_ = a.post(ctx, func() { a.cfg.Metrics.BootstrapRefused(r.address, r.err) })
	}
	return nil
}

// elect makes this member the candidate of the first election once a majority of the seeds
// has recorded the decision: an election timeout has nothing to wait for.
func (a *bootstrapAttempt) elect(ctx context.Context, r seedResponse) {
	if !r.request.GetDecided() || !r.response.GetRecord().GetDecided() || a.informed[r.address] {
		return
	}
	a.informed[r.address] = true
	if len(a.informed) == len(a.seeds)/2+1 {
		_ = a.post(ctx, func() { a.loop.core.Campaign() })
	}
}

// send sends a request to all seeds.
func (a *bootstrapAttempt) send(ctx context.Context, r *peerv1.BootstrapRequest) {
	a.awaited += len(a.seeds)
	for _, address := range a.seeds {
		a.calls.Go(func() {
			resp, err := a.call(ctx, address, r)
			select {
			case a.responses <- seedResponse{address, r, resp, err}:
			case <-ctx.Done():
			}
		})
	}
}

func (a *bootstrapAttempt) call(ctx context.Context, address string, r *peerv1.BootstrapRequest) (*peerv1.BootstrapResponse, error) {
	if address == a.cfg.Member.GetAddress() {
		return a.Bootstrap(ctx, r)
	}
	return a.cfg.Transport.Bootstrap(ctx, &statev1.Member{Address: address}, r)
}
