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

// Transport carries messages and calls to other control VMs. Errors of calls
// that the other side answered with a code are *resultcode.Error; any other
// error leaves open whether the call was handled.
type Transport interface {
	// Send does not block; it may drop messages.
	Send(to *statev1.Member, messages []*statev1.Message)
	Propose(ctx context.Context, to *statev1.Member, r *peerv1.ProposeRequest) (*peerv1.ProposeResponse, error)
	Sync(ctx context.Context, to *statev1.Member, r *peerv1.SyncRequest) (*peerv1.SyncResponse, error)
	Join(ctx context.Context, to *statev1.Member, r *peerv1.JoinRequest) (*peerv1.JoinResponse, error)
}

const (
	inboxSize = 1024
	// drainLimit bounds the events that are handled with one sync of the log.
	drainLimit = 512
	// shutdownTicks is how long a stopping leader waits for its successor.
	shutdownTicks = 2 * electionTicks
)

// Server is the control role of one daemon. Its methods are safe for concurrent
// use.
type Server struct {
	cfg     Config
	loop    *loop // used by the event loop only, once Run was called
	inbox   chan func()
	stopped chan struct{}
	changes *broadcast
	peers   atomic.Pointer[[]*statev1.Member]
}

// New opens the data folder. Run starts the server.
func New(c Config) (*Server, error) {
	if err := c.check(); err != nil {
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
		// A server that stops needs no snapshot any more.
		_ = s.post(context.Background(), done)
	}()
}

// Run drives the server until ctx ends, and then hands leadership over and
// closes the log. It returns an error if the log can no longer be relied on; the
// process must then stop.
func (s *Server) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var joining sync.WaitGroup
	joining.Go(func() { s.joinFleet(background) })
	err := s.drive(ctx)
	cancel()
	close(s.stopped)
	joining.Wait()
	return errors.Join(err, s.loop.log.Close())
}

func (s *Server) drive(ctx context.Context) error {
	ticks := time.NewTicker(tickInterval)
	defer ticks.Stop()
	batch := time.NewTimer(syncWindow)
	defer batch.Stop()
	stopping, left := ctx.Done(), 0
	for {
		select {
		case f := <-s.inbox:
			f()
			s.drain()
		case <-batch.C:
		case <-ticks.C:
			s.loop.tick()
			if stopping == nil {
				left--
			}
		case <-stopping:
			stopping = nil
			left = s.beginStop()
		}
		if err := s.loop.process(); err != nil {
			return err
		}
		if wait, ok := s.loop.untilSync(); ok {
			batch.Reset(wait)
		}
		s.publish()
		if stopping == nil && (left <= 0 || s.loop.status.Role != raft.Leader) {
			return nil
		}
	}
}

// drain handles what has arrived meanwhile, so that it shares one sync.
func (s *Server) drain() {
	for range drainLimit {
		select {
		case f := <-s.inbox:
			f()
		default:
			return
		}
	}
}

// beginStop hands leadership over and returns how many ticks to wait for it.
func (s *Server) beginStop() int {
	if err := s.loop.core.TransferLeadership(0); err != nil {
		return 0
	}
	return shutdownTicks
}

// publish wakes waiting calls when something that they wait for has changed.
func (s *Server) publish() {
	s.changes.update(view{
		config:    s.loop.machine.Config().GetVersion(),
		suspects:  s.loop.machine.SuspectsVersion(),
		residency: s.loop.residency.version,
		leader:    s.loop.status.Leader,
		catalog:   s.loop.machine.Catalog().GetVersion(),
	})
}

// post brings a function into the event loop. An error says that it will not
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
		return noLeader("this control VM is overloaded")
	}
}

// answer is what a call into the loop returns.
type answer[T any] struct {
	value T
	err   error
}

// ask runs a call in the event loop and waits for its answer. Once the call is
// in the loop, giving up returns lost.
func ask[T any](ctx context.Context, s *Server, lost error, call func(done func(T, error))) (T, error) {
	answers := make(chan answer[T], 1)
	var none T
	err := s.post(ctx, func() {
		call(func(v T, err error) { answers <- answer[T]{v, err} })
	})
	if err != nil {
		return none, err
	}
	select {
	case a := <-answers:
		return a.value, a.err
	case <-ctx.Done():
		return none, lost
	case <-s.stopped:
		return none, lost
	}
}

// Step takes messages of other members. It drops them if the loop is busy: the
// protocol repeats what matters.
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

// Propose commits and applies one command. The error NoLeader says that nothing
// was proposed, and ChangeUnconfirmed that the command may still be applied.
func (s *Server) Propose(ctx context.Context, r *peerv1.ProposeRequest) (*peerv1.ProposeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		result, err := ask(ctx, s, unconfirmed("the result did not arrive in time"), func(done func(*statev1.Result, error)) {
			s.loop.submit(r.GetCommand(), done)
		})
		if err == nil {
			return &peerv1.ProposeResponse{Result: result}, nil
		}
		to, again, err := s.elsewhere(ctx, err, r.GetForwarded())
		switch {
		case again:
			continue
		case to == nil:
			return nil, err
		}
		answer, err := s.cfg.Transport.Propose(ctx, to, &peerv1.ProposeRequest{Command: r.GetCommand(), Forwarded: true})
		return answer, remote(err)
	}
}

// elsewhere decides what follows from an error of the loop: a leader to forward
// the call to, another try because a leader is known now, or the error for the
// caller. A forwarded call is not forwarded again.
func (s *Server) elsewhere(ctx context.Context, err error, forwarded bool) (to *statev1.Member, again bool, _ error) {
	var other *notLeaderError
	if !errors.As(err, &other) {
		return nil, false, err
	}
	if forwarded {
		return nil, false, noLeader("the call was forwarded to a member that does not lead")
	}
	if other.leader != 0 {
		to, err := s.lookup(ctx, other.leader)
		return to, false, err
	}
	if s.changes.wait(ctx, s.stopped, func(v view) bool { return v.leader != 0 }) {
		return nil, true, nil
	}
	return nil, false, noLeader("no leader is known")
}

func (s *Server) lookup(ctx context.Context, id uint64) (*statev1.Member, error) {
	m, err := ask(ctx, s, noLeader("no leader is known"), func(done func(*statev1.Member, error)) {
		done(s.loop.lookup(id), nil)
	})
	if err == nil && (m == nil || id == s.loop.member.GetId()) {
		return nil, noLeader("the address of the leader is not known")
	}
	return m, err
}

// remote returns the error of a forwarded call. Without a code from the other
// side, its outcome is unknown.
func remote(err error) error {
	var coded *resultcode.Error
	if err == nil || errors.As(err, &coded) {
		return err
	}
	return resultcode.Wrap(resultcode.ChangeUnconfirmed, err, "the leader's answer was lost")
}

// Read calls f with the machine, in the event loop: f must be short and keep
// nothing but what the machine declares immutable. With confirm, the machine
// holds everything that was committed when Read was called.
func (s *Server) Read(ctx context.Context, confirm bool, f func(m *fleet.Machine)) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := ask(ctx, s, noLeader("the read was not confirmed in time"), func(done func(struct{}, error)) {
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

// Members returns the membership as this member knows it.
func (s *Server) Members(ctx context.Context) (*peerv1.MembersResponse, error) {
	return ask(ctx, s, noLeader("the membership was not read in time"), func(done func(*peerv1.MembersResponse, error)) {
		st := s.loop.core.Status()
		done(&peerv1.MembersResponse{
			Membership: st.Membership,
			Leader:     st.Leader,
			Term:       st.Term,
			Commit:     st.Commit,
			Applied:    s.loop.applied,
		}, nil)
	})
}

// MemberID returns the identifier from the data folder.
func (s *Server) MemberID() uint64 { return s.loop.member.GetId() }

// Leading reports whether this member leads and has applied everything of
// earlier leaders, and its term.
func (s *Server) Leading(ctx context.Context) (term uint64, leading bool) {
	term, err := ask(ctx, s, noLeader("not answered in time"), func(done func(uint64, error)) {
		if !s.loop.leading() {
			done(0, &notLeaderError{})
			return
		}
		done(s.loop.status.Term, nil)
	})
	return term, err == nil
}

// SetResidency publishes which models can be used on which endpoints. Only the
// leader's placement calls it.
func (s *Server) SetResidency(ctx context.Context, list []*peerv1.EndpointResidency) error {
	return s.post(ctx, func() {
		s.loop.residency.set(s.loop.status.Term, list)
	})
}

// String names the member in logs.
func (s *Server) String() string {
	return fmt.Sprintf("control %s (%016x)", s.cfg.Member.GetVm(), s.loop.member.GetId())
}
