package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/fleet"
	"github.com/radishloom/radishloom/internal/state/raft"
)

// Transport carries messages and calls to other control VMs. A call that the other
// side answered with a result code returns a *resultcode.Error. After any other
// error it is unknown whether the call was executed.
type Transport interface {
	// Send must not block. It may drop messages.
	Send(to *statev1.Member, messages []*statev1.Message)
	Propose(ctx context.Context, to *statev1.Member, r *peerv1.ProposeRequest) (*peerv1.ProposeResponse, error)
	Sync(ctx context.Context, to *statev1.Member, r *peerv1.SyncRequest) (*peerv1.SyncResponse, error)
	Join(ctx context.Context, to *statev1.Member, r *peerv1.JoinRequest) (*peerv1.JoinResponse, error)
	Bootstrap(ctx context.Context, to *statev1.Member, r *peerv1.BootstrapRequest) (*peerv1.BootstrapResponse, error)
}

const (
	inboxSize = 1024
	// maxInboxBatch limits the calls that are handled with one sync of the log.
	maxInboxBatch = 512
	// shutdownTicks is the number of ticks for which a leader that shuts down waits
	// for another member to lead.
	shutdownTicks = 2 * electionTicks
	// diskFullWait is how long a call waits for a leader while this member's disk is
	// full: the longest time in which the other members notice that they have none.
	diskFullWait = 2 * electionTicks * tickInterval
)

// Server is the control role of one daemon. Its methods are safe for concurrent
// use.
type Server struct {
	cfg     Config
	loop    *loop // only the event loop uses it after Run was called
	inbox   chan func()
	stopped chan struct{}
	changes *broadcast
	peers   atomic.Pointer[[]*statev1.Member]
	// joinAnswerer is the address that answered the last join request. Only
	// joinFleet uses it.
	joinAnswerer string
}

// New creates a server and opens its data folder. Run starts the server.
func New(c Config) (*Server, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	if c.Clock == nil {
		c.Clock = systemClock{start: time.Now()}
	}
	if c.Rand == nil {
		c.Rand = rand.IntN
	}
	if c.Metrics == nil {
		c.Metrics = noMetrics{}
	}
	l, err := newLoop(c)
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg:     c,
		loop:    l,
		inbox:   make(chan func(), inboxSize),
		stopped: make(chan struct{}),
		changes: newBroadcast(),
	}
	l.background = s.background
	s.SetPeers(c.Peers)
	return s, nil
}

// background runs work in its own goroutine and done in the event loop.
func (s *Server) background(work, done func()) {
	go func() {
		work()
		// post fails only when the server shuts down. The result of the work, a
		// snapshot, is not needed then.
		_ = s.post(context.Background(), done)
	}()
}

// Run runs the server until ctx ends, and then transfers leadership and closes the
// log. It returns an error if the log can no longer be relied on; the daemon must
// then exit.
func (s *Server) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var joining sync.WaitGroup
	joining.Go(func() { s.joinFleet(background) })
	joining.Go(func() { s.bootstrapFleet(background) })
	err := s.runLoop(ctx)
	cancel()
	close(s.stopped)
	joining.Wait()
	return errors.Join(err, s.loop.log.Close())
}

func (s *Server) runLoop(ctx context.Context) error {
	ticks := time.NewTicker(tickInterval)
	defer ticks.Stop()
	batch := time.NewTimer(syncWindow)
	defer batch.Stop()
	stopping, ticksLeft := ctx.Done(), 0
	for {
		select {
		case f := <-s.inbox:
			f()
			s.drainInbox()
		case <-batch.C:
		case <-ticks.C:
			s.loop.tick()
			if stopping == nil {
				ticksLeft--
			}
		case <-stopping:
			stopping = nil
			ticksLeft = s.beginShutdown()
		}
		if err := s.loop.handleAllReady(); err != nil {
			return err
		}
		if wait, ok := s.loop.syncDelay(); ok {
			batch.Reset(wait)
		}
		s.publishChanges()
		if stopping == nil && (ticksLeft <= 0 || s.loop.status.Role != raft.Leader) {
			return nil
		}
	}
}

// drainInbox handles the calls that have already arrived, so that they share one
// sync of the log.
func (s *Server) drainInbox() {
	for range maxInboxBatch {
		select {
		case f := <-s.inbox:
			f()
		default:
			return
		}
	}
}

// beginShutdown starts a transfer of leadership and returns how many ticks to wait
// for its end.
func (s *Server) beginShutdown() int {
	if err := s.loop.core.TransferLeadership(0); err != nil {
		return 0
	}
	return shutdownTicks
}

// publishChanges wakes the waiting calls if the watched state has changed.
func (s *Server) publishChanges() {
	s.loop.reportEvacuatedCount()
	s.changes.update(watchedState{
		config:    s.loop.machine.Config().GetVersion(),
		suspects:  s.loop.machine.SuspectsVersion(),
		residency: s.loop.residency.version,
		leader:    s.loop.status.Leader,
		catalog:   s.loop.machine.Catalog().GetVersion(),

		evacuations: s.loop.machine.EvacuationsVersion(),
	})
}

// post queues a function for the event loop. After an error the function will not
// run.
func (s *Server) post(ctx context.Context, f func()) error {
	select {
	case <-s.stopped:
		return noLeader("this control VM is shutting down")
	default:
	}
	select {
	case s.inbox <- f:
		return nil
	case <-s.stopped:
		return noLeader("this control VM is shutting down")
	case <-ctx.Done():
		return noLeader("this control VM is overloaded: its event loop did not accept the call before the deadline")
	}
}

// reply is the result of a call to the event loop.
type reply[T any] struct {
	value T
	err   error
}

// callLoop runs call in the event loop and waits for the reply. If ctx ends or the
// server stops after the call was queued, it returns the error lost.
func callLoop[T any](ctx context.Context, s *Server, lost error, call func(done func(T, error))) (T, error) {
	replies := make(chan reply[T], 1)
	var none T
	err := s.post(ctx, func() {
		call(func(v T, err error) { replies <- reply[T]{v, err} })
	})
	if err != nil {
		return none, err
	}
	select {
	case a := <-replies:
		return a.value, a.err
	case <-ctx.Done():
		return none, lost
	case <-s.stopped:
		return none, lost
	}
}

// Step passes messages of other members to the event loop. It drops them if the
// inbox is full, since the consensus protocol repeats lost messages.
func (s *Server) Step(messages []*statev1.Message) {
	f := func() {
		if err := s.loop.step(messages); err != nil {
			s.loop.fatal = err
		}
	}
	select {
	case s.inbox <- f:
	default:
	}
}

// Propose commits and applies one command. An error with the code NoLeader means
// that nothing was proposed, and ChangeUnconfirmed that the command may still be
// applied.
func (s *Server) Propose(ctx context.Context, r *peerv1.ProposeRequest) (*peerv1.ProposeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		result, err := callLoop(ctx, s, unconfirmed("the change was not confirmed before the time-out"), func(done func(*statev1.Result, error)) {
			s.loop.submit(r.GetCommand(), done)
		})
		if err == nil {
			return &peerv1.ProposeResponse{Result: result}, nil
		}
		to, retry, err := s.redirect(ctx, err, r.GetForwarded())
		switch {
		case retry:
			continue
		case to == nil:
			return nil, err
		}
		resp, err := s.cfg.Transport.Propose(ctx, to, &peerv1.ProposeRequest{Command: r.GetCommand(), Forwarded: true})
		return resp, forwardedError(err)
	}
}

// redirect decides how to continue after an error of the loop. It returns the
// leader to which the call must be forwarded, or true if the call must be retried
// here because a leader has become known, or the error for the caller. A
// forwarded call is not forwarded again. A member whose disk is full forgets its
// leader with each entry that it can't write, so the call waits for the leader.
func (s *Server) redirect(ctx context.Context, err error, forwarded bool) (to *statev1.Member, retry bool, _ error) {
	var other *notLeaderError
	if !errors.As(err, &other) {
		return nil, false, err
	}
	if forwarded && other.diskFull != nil {
		return nil, false, other.diskFull
	}
	if forwarded {
		return nil, false, noLeader("the call was forwarded to a control VM that is not the leader")
	}
	if other.leader != 0 {
		to, err := s.lookup(ctx, other.leader)
		return to, false, err
	}
	if other.diskFull == nil {
		return nil, s.waitForLeader(ctx), noLeader("no leader is known")
	}
	ctx, cancel := context.WithTimeout(ctx, diskFullWait)
	defer cancel()
	return nil, s.waitForLeader(ctx), other.diskFull
}

// waitForLeader reports whether a leader is known before ctx ends.
func (s *Server) waitForLeader(ctx context.Context) bool {
	return s.changes.wait(ctx, s.stopped, func(v watchedState) bool { return v.leader != 0 })
}

func (s *Server) lookup(ctx context.Context, id uint64) (*statev1.Member, error) {
	m, err := callLoop(ctx, s, noLeader("no leader is known"), func(done func(*statev1.Member, error)) {
		done(s.loop.lookup(id), nil)
	})
	if err == nil && (m == nil || id == s.loop.member.GetId()) {
		return nil, noLeader("the address of the leader is not known")
	}
	return m, err
}

// forwardedError converts the error of a forwarded call. Without a result code from
// the other side, the outcome of the call is unknown.
func forwardedError(err error) error {
	var coded *resultcode.Error
	if err == nil || errors.As(err, &coded) {
		return err
	}
	return resultcode.Wrap(resultcode.ChangeUnconfirmed, err, "forwarding the call to the leader failed without a result")
}

// Read calls f with the state machine. f runs in the event loop, so it must be
// short, and it may retain only data that the machine declares immutable. With
// confirm, the read is linearizable: the machine has applied everything that was
// committed when Read was called.
func (s *Server) Read(ctx context.Context, confirm bool, f func(m *fleet.Machine)) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := callLoop(ctx, s, noLeader("the read did not finish before the time-out"), func(done func(struct{}, error)) {
		run := func(err error) {
			if err == nil {
				f(s.loop.machine)
			}
			done(struct{}{}, err)
		}
		if !confirm {
			run(nil)
			return
		}
		s.loop.read(run)
	})
	return err
}

// Members returns the membership and the consensus state as this member knows
// them.
func (s *Server) Members(ctx context.Context) (*peerv1.MembersResponse, error) {
	return callLoop(ctx, s, noLeader("the membership was not read before the time-out"), func(done func(*peerv1.MembersResponse, error)) {
		st := s.loop.core.Status()
		done(&peerv1.MembersResponse{
			Membership: st.Membership,
			Leader:     st.Leader,
			Term:       st.Term,
			Commit:     st.Commit,
			Applied:    s.loop.applied,
			Quorum:     s.loop.quorumState(),
		}, nil)
	})
}

// MemberID returns the identifier of this member, which the data folder holds.
func (s *Server) MemberID() uint64 { return s.loop.member.GetId() }

// Leading reports whether this member leads and has applied all entries of earlier
// leaders. If so, it returns the term.
func (s *Server) Leading(ctx context.Context) (term uint64, leading bool) {
	term, err := callLoop(ctx, s, noLeader("the role was not read before the deadline"), func(done func(uint64, error)) {
		if !s.loop.leading() {
			done(0, &notLeaderError{})
			return
		}
		done(s.loop.status.Term, nil)
	})
	return term, err == nil
}

// SetResidency publishes the models that can be used on each endpoint. Only the
// placement of the leader calls it.
func (s *Server) SetResidency(ctx context.Context, list []*peerv1.EndpointResidency) error {
	return s.post(ctx, func() {
		s.loop.residency.publish(s.loop.status.Term, list)
	})
}

// String returns the name of the member for logs.
func (s *Server) String() string {
	return fmt.Sprintf("control %s (%016x)", s.cfg.Member.GetVm(), s.loop.member.GetId())
}
