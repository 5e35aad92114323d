package directory

import (
	"context"
	"log/slog"
	"sync"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
)

const (
	// followHold is how long the leader may hold a Follow call open. It bounds the age
	// of the levels of customers, and of the reports of entries at the leader.
	followHold = 300 * time.Millisecond
	// followInterval is the shortest time between two Follow calls.
	followInterval = 50 * time.Millisecond
	// freshWait is how long a Watch call waits for a control VM to be up to date
	// before it is refused. While there is no leader, it bounds how often entries try
	// one control VM after the other.
	freshWait = 300 * time.Millisecond
	// leaderTimeout bounds the question who leads, which waits while a disk stalls.
	leaderTimeout = 200 * time.Millisecond
	// maxCatalogLag is how long a control VM may take to apply a catalog that the
	// leader has applied, before it counts as out of date.
	maxCatalogLag = 500 * time.Millisecond
)

// Follower calls the leader.
type Follower interface {
	Follow(ctx context.Context, address string, r *peerv1.FollowRequest) (*peerv1.FollowResponse, error)
}

// RelayConfig configures a Relay.
type RelayConfig struct {
	Leadership Leadership
	Follower   Follower
	// VM names this control VM, Address is where others call it.
	VM, Address string
	Log         *slog.Logger
}

// Relay serves the entries that watch this control VM, from a copy of the leader's
// state. It is safe for concurrent use.
type Relay struct {
	cfg   RelayConfig
	local *Server
	start time.Time

	mu struct {
		sync.Mutex
		state *relayState
		// leader is the leader's address as last known.
		leader string
		// catalogLags is set while the leader has a newer catalog than this VM, since
		// catalogLagSince.
		catalogLags     bool
		catalogLagSince time.Duration
		fresh           bool          // as of the last log line
		changed         chan struct{} // closed and replaced when there is news for entries
	}
}

// NewRelay returns a Relay; Run starts it. local is this VM's Server, which answers
// while this VM leads.
func NewRelay(c RelayConfig, local *Server) *Relay {
	r := &Relay{cfg: c, local: local, start: time.Now()}
	r.mu.state = newRelayState()
	r.mu.changed = make(chan struct{})
	return r
}

func (r *Relay) now() time.Duration { return time.Since(r.start) }

// Run follows the leader until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		r.follow(ctx)
		r.logFreshness()
		pause := time.NewTimer(followInterval - time.Since(started))
		select {
		case <-ctx.Done():
		case <-pause.C:
		}
		pause.Stop()
	}
}

// follow makes one call to the leader and applies its answer.
func (r *Relay) follow(ctx context.Context) {
	address := r.findLeader(ctx)
	if address == "" {
		return
	}
	r.mu.Lock()
	report := r.mu.state.takeReport(r.now(), r.cfg.VM, followHold)
	r.mu.Unlock()
	sentAt := r.now()
	response, err := r.call(ctx, address, report)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || response.GetNotLeading() {
		r.mu.state.returnReport(report)
		return
	}
	wasFresh := r.freshLocked()
	changed, err := r.mu.state.apply(r.now(), sentAt, response)
	if err != nil {
		r.cfg.Log.Error("the leader's list of endpoints cannot be applied", "leader", address, "epoch", response.GetEpoch(), "error", err)
	}
	r.checkCatalogLocked()
	if changed || wasFresh != r.freshLocked() {
		close(r.mu.changed)
		r.mu.changed = make(chan struct{})
	}
}

func (r *Relay) call(ctx context.Context, address string, report *peerv1.FollowRequest) (*peerv1.FollowResponse, error) {
	if address == r.cfg.Address {
		return r.local.Follow(ctx, report)
	}
	return r.cfg.Follower.Follow(ctx, address, report)
}

// findLeader returns the address of the leader, or "" if none is known.
func (r *Relay) findLeader(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	leader, _, err := r.cfg.Leadership.Leader(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.mu.leader = leader
	}
	return r.mu.leader
}

// checkCatalogLocked records whether this VM lags behind the leader's catalog.
func (r *Relay) checkCatalogLocked() {
	version := r.mu.state.catalogVersion
	lags := version != 0 && !isClosed(r.cfg.Leadership.CatalogChanged(version-1))
	if lags && !r.mu.catalogLags {
		r.mu.catalogLagSince = r.now()
	}
	r.mu.catalogLags = lags
}

// freshLocked reports whether this VM is up to date with the leader.
func (r *Relay) freshLocked() bool {
	now := r.now()
	return r.mu.state.fresh(now) && (!r.mu.catalogLags || now-r.mu.catalogLagSince <= maxCatalogLag)
}

// logFreshness logs when this VM became or ceased to be up to date.
func (r *Relay) logFreshness() {
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh := r.freshLocked()
	if fresh == r.mu.fresh {
		return
	}
	r.mu.fresh = fresh
	s := r.mu.state
	r.cfg.Log.Info("up to date with the leader", "fresh", fresh, "leader", r.mu.leader, "age_ms", (r.now() - s.confirmedAt).Milliseconds(),
		"epoch", s.list.epoch, "version", s.list.version, "leader_catalog", s.catalogVersion, "entries", len(s.entries))
}

// Watch records the report of an entry and answers once there is a change for the
// entry, at the latest after the hold time. An entry is sent elsewhere if this VM is
// not up to date with the leader.
func (r *Relay) Watch(ctx context.Context, in *peerv1.WatchRequest) (*peerv1.WatchResponse, error) {
	r.mu.Lock()
	r.mu.state.record(r.now(), in)
	r.mu.Unlock()
	hold := time.NewTimer(time.Duration(in.GetHoldMs()) * time.Millisecond)
	defer hold.Stop()
	freshTimer := time.NewTimer(freshWait)
	defer freshTimer.Stop()
	for {
		r.mu.Lock()
		fresh, changed := r.freshLocked(), r.mu.changed
		hasChanges := r.mu.state.hasChanges(in)
		r.mu.Unlock()
		catalogChanged := r.cfg.Leadership.CatalogChanged(in.GetCatalogVersion())
		if !fresh {
			select {
			case <-changed:
				continue
			case <-freshTimer.C:
			case <-ctx.Done():
			}
			return r.redirect(ctx, in.GetEntry().GetVm())
		}
		if hasChanges || isClosed(catalogChanged) {
			return r.response(ctx, in)
		}
		select {
		case <-changed:
		case <-catalogChanged:
		case <-hold.C:
			return r.response(ctx, in)
		case <-ctx.Done():
			return nil, notLeading()
		}
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// response returns the response to an entry, or sends it elsewhere.
func (r *Relay) response(ctx context.Context, in *peerv1.WatchRequest) (*peerv1.WatchResponse, error) {
	c, members, err := r.cfg.Leadership.Catalog(ctx)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.freshLocked() {
		r.mu.state.remove(in.GetEntry().GetVm())
		return &peerv1.WatchResponse{NotLeading: true, Members: members}, nil
	}
	out, err := r.mu.state.respond(r.now(), in)
	if err != nil {
		return nil, err
	}
	out.Members, out.Leader = members, r.mu.leader
	if c.GetVersion() > in.GetCatalogVersion() {
		out.Catalog = c
	}
	return out, nil
}

// redirect returns the address of the leader, if one is known, to an entry that this
// VM cannot serve, and forgets the entry. The entry may have no other way to find the control VMs, since its
// settings name only some of them.
func (r *Relay) redirect(ctx context.Context, entry string) (*peerv1.WatchResponse, error) {
	r.mu.Lock()
	r.mu.state.remove(entry)
	r.mu.Unlock()
	leader, members, err := r.cfg.Leadership.Leader(ctx)
	if err != nil {
		return nil, err
	}
	if leader == r.cfg.Address {
		leader = ""
	}
	return &peerv1.WatchResponse{NotLeading: true, Leader: leader, Members: members}, nil
}

// Service is the directory of one control VM: entries watch its relay, and while it
// leads, its server takes the calls for the leader.
type Service struct {
	Relay  *Relay
	Leader *Server
}

// Watch answers an entry.
func (s Service) Watch(ctx context.Context, r *peerv1.WatchRequest) (*peerv1.WatchResponse, error) {
	return s.Relay.Watch(ctx, r)
}

// Follow answers another control VM.
func (s Service) Follow(ctx context.Context, r *peerv1.FollowRequest) (*peerv1.FollowResponse, error) {
	return s.Leader.Follow(ctx, r)
}

// Report records the evidence of an entry.
func (s Service) Report(ctx context.Context, r *peerv1.EvidenceReport) (*peerv1.EvidenceResponse, error) {
	return s.Leader.Report(ctx, r)
}

// Load handles the request of an entry for a model or adapter.
func (s Service) Load(ctx context.Context, r *peerv1.LoadRequest) (*peerv1.LoadResponse, error) {
	return s.Leader.Load(ctx, r)
}

// Streams records at which software versions streams began, and answers for others.
func (s Service) Streams(ctx context.Context, r *peerv1.StreamsRequest) (*peerv1.StreamsResponse, error) {
	return s.Leader.Streams(ctx, r)
}
