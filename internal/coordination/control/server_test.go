package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/fleet"
	"github.com/radishloom/radishloom/internal/state/wal"
	"github.com/radishloom/radishloom/internal/state/wal/faultfs"
)

// network is a Transport that connects the servers of one process by address.
type network struct {
	mu      sync.Mutex
	servers map[string]*Server
	// hangs is an address at which Join and Bootstrap calls get no answer.
	hangs string
	// delay is how long these calls take to arrive.
	delay time.Duration
}

var errUnreachable = errors.New("unreachable")

func (n *network) at(m *statev1.Member) *Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.servers[m.GetAddress()]
}

func (n *network) set(address string, s *Server) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[address] = s
}

// hang sets the address at which calls get no answer.
func (n *network) hang(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hangs = address
}

// arrive waits until a Join or Bootstrap call has arrived, or for its end if it gets no
// answer.
func (n *network) arrive(ctx context.Context, to *statev1.Member) error {
	n.mu.Lock()
	hangs := to.GetAddress() == n.hangs
	n.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(n.delay)
	return nil
}

func (n *network) Send(to *statev1.Member, messages []*statev1.Message) {
	if s := n.at(to); s != nil {
		s.Step(messages)
	}
}

func (n *network) Propose(ctx context.Context, to *statev1.Member, r *peerv1.ProposeRequest) (*peerv1.ProposeResponse, error) {
	if s := n.at(to); s != nil {
		return s.Propose(ctx, r)
	}
	return nil, errUnreachable
}

func (n *network) Sync(ctx context.Context, to *statev1.Member, r *peerv1.SyncRequest) (*peerv1.SyncResponse, error) {
	if s := n.at(to); s != nil {
		return s.Sync(ctx, r)
	}
	return nil, errUnreachable
}

func (n *network) Join(ctx context.Context, to *statev1.Member, r *peerv1.JoinRequest) (*peerv1.JoinResponse, error) {
	if err := n.arrive(ctx, to); err != nil {
		return nil, err
	}
	if s := n.at(to); s != nil {
		return s.Join(ctx, r)
	}
	return nil, errUnreachable
}

func (n *network) Bootstrap(ctx context.Context, to *statev1.Member, r *peerv1.BootstrapRequest) (*peerv1.BootstrapResponse, error) {
	if err := n.arrive(ctx, to); err != nil {
		return nil, err
	}
	if s := n.at(to); s != nil {
		return s.Bootstrap(ctx, r)
	}
	return nil, errUnreachable
}

// runningServer is a server whose Run method was started.
type runningServer struct {
	*Server
	disk   *faultfs.FS
	cancel context.CancelFunc
	ended  chan error
}

func (n *network) start(t *testing.T, i, count int, disk *faultfs.FS) *runningServer {
	t.Helper()
	var peers []*statev1.Member
	for k := range count {
		peers = append(peers, &statev1.Member{Vm: fmt.Sprint("vm", k), Address: fmt.Sprint("10.0.0.", k+1, ":1")})
	}
	r := n.run(t, Config{Dir: "data", FS: disk, Member: peers[i], Peers: peers, Bootstrap: true, Transport: n})
	r.disk = disk
	return r
}

// run starts a server with the configuration.
func (n *network) run(t *testing.T, c Config) *runningServer {
	t.Helper()
	s, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	s.loop.snapshotEntries = 4
	n.set(c.Member.GetAddress(), s)
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningServer{Server: s, cancel: cancel, ended: make(chan error, 1)}
	go func() {
		r.ended <- s.Run(ctx)
		n.set(c.Member.GetAddress(), nil)
	}()
	t.Cleanup(cancel)
	return r
}

func newDisk() *faultfs.FS { return faultfs.New(func(int) int { return 0 }) }

// eventually waits until f returns true. It fails the test after 20 s, which is
// far longer than a correct server needs.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 1000 {
		if f() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("condition not reached in time: %s", what)
}

func (r *runningServer) voters(t *testing.T) int {
	t.Helper()
	m, err := r.Members(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, x := range m.GetMembership().GetMembers() {
		if !x.GetLearner() {
			n++
		}
	}
	return n
}

func (r *runningServer) hasLeader(t *testing.T) bool {
	t.Helper()
	m, err := r.Members(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return m.GetLeader() != 0
}

func customerChange(id string, base uint64) *peerv1.ProposeRequest {
	return &peerv1.ProposeRequest{Command: &statev1.Command{RequestId: id, Op: &statev1.Command_ConfigChange{ConfigChange: &statev1.ConfigChange{
		BaseVersion: base,
		Upserts:     &statev1.Config{Customers: []*statev1.Customer{{Name: id, RateTokensPerSecond: 10, BurstTokens: 1000}}},
	}}}}
}

func entrySync(seq, want uint64) *statev1.EntrySync {
	e := &statev1.EntrySync{Session: &statev1.Session{Vm: "entry", Incarnation: "1"}, Seq: seq}
	if want != 0 {
		e.Usage = []*statev1.TokenUsage{{Customer: "a", Want: want}}
	}
	return e
}

func propose(t *testing.T, s *runningServer, r *peerv1.ProposeRequest, version uint64) {
	t.Helper()
	eventually(t, "the change is answered", func() bool {
		got, err := s.Propose(t.Context(), r)
		if err != nil {
			return false // unconfirmed or no leader: the same request is repeated
		}
		if got.GetResult().GetCode() != 0 || got.GetResult().GetConfigVersion() != version {
			t.Fatalf("change %s got %v, want version %d", r.GetCommand().GetRequestId(), got, version)
		}
		return true
	})
}

// Guards against calls that work only at the leader, syncs that miss a change or a
// grant, a shutdown that leaves the fleet without a leader, and a VM that cannot
// join again after its disk was lost.
func TestServersOfOneFleet(t *testing.T) {
	n := &network{servers: map[string]*Server{}}
	var servers []*runningServer
	for i := range 3 {
		servers = append(servers, n.start(t, i, 3, newDisk()))
	}
	eventually(t, "three voters", func() bool {
		return servers[0].voters(t) == 3 && servers[1].voters(t) == 3 && servers[2].voters(t) == 3
	})
	for i, s := range servers {
		propose(t, s, customerChange(string(rune('a'+i)), uint64(i)), uint64(i+1))
		propose(t, servers[(i+1)%3], customerChange(string(rune('a'+i)), uint64(i)), uint64(i+1))
	}
	checkSyncs(t, servers[1], servers[2])

	leader := 0
	eventually(t, "a leader", func() bool {
		for i, s := range servers {
			if _, leading := s.Leading(t.Context()); leading {
				leader = i
				return true
			}
		}
		return false
	})
	old := servers[leader]
	old.cancel()
	if err := <-old.ended; err != nil {
		t.Fatalf("shutdown: %v", err)
	}
	rest := servers[(leader+1)%3]
	propose(t, rest, customerChange("a", 0), 1)
	propose(t, rest, customerChange("d", 3), 4)

	again := n.start(t, leader, 3, newDisk())
	eventually(t, "the new member replaces the old one", func() bool {
		m, err := rest.Members(t.Context())
		members := m.GetMembership()
		return err == nil && findMember(members, again.MemberID()) != nil && findMember(members, old.MemberID()) == nil && rest.voters(t) == 3
	})
	eventually(t, "a confirmed read at the new member", func() bool {
		var version uint64
		err := again.Read(t.Context(), true, func(m *fleet.Machine) { version = m.Config().GetVersion() })
		return err == nil && version == 4
	})
	if _, err := rest.RemoveMember(t.Context(), 12345); err != nil {
		t.Fatalf("removal of a member that does not exist: %v", err)
	}
	checkRemoveLeader(t, again, rest)
}

// checkRemoveLeader removes the leader by a call to a member that does not lead.
func checkRemoveLeader(t *testing.T, a, b *runningServer) {
	t.Helper()
	m, err := a.Members(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	leader, by := m.GetLeader(), a
	if leader == a.MemberID() {
		by = b
	}
	left, err := by.RemoveMember(t.Context(), leader)
	if err != nil || findMember(left, leader) != nil || len(left.GetMembers()) != 2 {
		t.Fatalf("members after the removal of the leader: %v, %v", left, err)
	}
}

// sync repeats a Sync call until it succeeds, since there may be no leader.
func (r *runningServer) sync(t *testing.T, q *peerv1.SyncRequest) (got *peerv1.SyncResponse) {
	t.Helper()
	eventually(t, "the sync is answered", func() bool {
		var err error
		got, err = r.Sync(t.Context(), q)
		return err == nil
	})
	return got
}

// checkSyncs calls Sync at two members, of which at least one does not lead.
func checkSyncs(t *testing.T, a, b *runningServer) {
	t.Helper()
	for _, s := range []*runningServer{a, b} {
		r := s.sync(t, &peerv1.SyncRequest{Entry: entrySync(0, 0), HoldMs: 1000})
		if r.GetDelta().GetFull() == nil || r.GetConfigVersion() != 3 || r.GetLiveEntries() != 1 {
			t.Fatalf("first sync: %v", r)
		}
	}
	for _, s := range []*runningServer{a, b} {
		r := s.sync(t, &peerv1.SyncRequest{Entry: entrySync(1, 300), ConfigVersion: 3, HoldMs: 1000})
		if grants := r.GetEntry().GetGrants(); len(grants) != 1 || grants[0].GetGranted() != 300 || r.GetDelta() != nil {
			t.Fatalf("sync that requests tokens: %v", r)
		}
	}
	eventually(t, "an entry ahead of the fleet is refused", func() bool {
		_, err := a.Sync(t.Context(), &peerv1.SyncRequest{ConfigVersion: 9})
		if err == nil {
			t.Fatal("an entry ahead of the fleet was answered")
		}
		return resultcode.Of(err) == resultcode.NoFreshState
	})
	if r := b.sync(t, &peerv1.SyncRequest{ConfigVersion: 2}); len(r.GetDelta().GetUpserts().GetCustomers()) != 1 {
		t.Fatalf("sync without an entry part: %v", r)
	}
}

// Guards against a server that continues after a failed sync of its log.
func TestFailedSyncStopsTheServer(t *testing.T) {
	n := &network{servers: map[string]*Server{}}
	s := n.start(t, 0, 1, newDisk())
	propose(t, s, customerChange("a", 0), 1)
	s.disk.FailSync(0)
	if r, err := s.Propose(t.Context(), customerChange("b", 1)); err == nil {
		t.Fatalf("the change after the failed sync got %v", r)
	}
	if err := <-s.ended; !errors.Is(err, wal.ErrSync) {
		t.Fatalf("Run returned %v", err)
	}
	s.disk.Crash()
	again := n.start(t, 0, 1, s.disk)
	propose(t, again, customerChange("a", 0), 1)
	propose(t, again, customerChange("b", 1), 2)
}
