package forward

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/directory"
	"github.com/radishloom/radishloom/internal/coordination/pool"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

// Constants of the watch.
const (
	// leastHold is how long a call may be held open, with few entries. holdPerEntry
	// is the same for each entry where there are many, up to mostHold: calls that
	// bring nothing cost the leader as much as others.
	leastHold    = 400 * time.Millisecond
	holdPerEntry = 5 * time.Millisecond
	mostHold     = 1500 * time.Millisecond
	// watchPause follows a failed round over all control VMs.
	watchPause = 150 * time.Millisecond
	// watchGap is the least time between two calls, which bounds their cost when
	// the list changes all the time.
	watchGap = 60 * time.Millisecond
	// lostAfter is the time without an answer after which control counts as lost.
	lostAfter = 2 * time.Second
)

// DirectoryClient reaches the directory of a control VM.
type DirectoryClient interface {
	Watch(ctx context.Context, address string, r *peerv1.WatchRequest) (*peerv1.WatchResponse, error)
	Load(ctx context.Context, address string, r *peerv1.LoadRequest) (*peerv1.LoadResponse, error)
}

// Watcher keeps a Server up to date from the leading control VM.
type Watcher struct {
	Directory DirectoryClient
	Session   *statev1.Session
	// Decode decodes a catalog's document.
	Decode func(document []byte) (*catalog.Catalog, error)
	Log    *slog.Logger
	// DatagramAddress is where this entry takes datagrams of others.
	DatagramAddress string

	mu struct {
		sync.Mutex
		addresses []string
		seeds     []string
		current   int
	}
	epoch, version uint64
	peersVersion   uint64
	endpoints      map[string]pool.Endpoint // the list as of version
	entries        int                      // as of the last answer
	lastAnswer     time.Time
	lost           bool
}

// hold is how long a call may be held open.
func (w *Watcher) hold() time.Duration {
	return max(leastHold, min(mostHold, time.Duration(w.entries)*holdPerEntry))
}

// SetSeeds replaces the control VMs that the settings name.
func (w *Watcher) SetSeeds(addresses []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mu.seeds = addresses
	w.addLocked(addresses)
}

// addLocked adds addresses that are not known behind the others.
func (w *Watcher) addLocked(addresses []string) {
	for _, a := range addresses {
		if !slices.Contains(w.mu.addresses, a) {
			w.mu.addresses = append(w.mu.addresses, a)
		}
	}
}

// setMembers takes over the present control VMs, beginning with the one to call
// next; the seeds stay as a way back.
func (w *Watcher) setMembers(members []*statev1.Member, next string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := []string{next}
	for _, m := range members {
		if !slices.Contains(list, m.GetAddress()) {
			list = append(list, m.GetAddress())
		}
	}
	for _, a := range w.mu.seeds {
		if !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	w.mu.addresses, w.mu.current = list, 0
}

func (w *Watcher) address() (address string, count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mu.addresses[w.mu.current], len(w.mu.addresses)
}

func (w *Watcher) moveOn() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mu.current = (w.mu.current + 1) % len(w.mu.addresses)
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context, s *Server) {
	failures := 0
	w.lastAnswer = time.Now()
	for ctx.Err() == nil {
		started := time.Now()
		address, count := w.address()
		err := w.once(ctx, s, address)
		if err == nil {
			failures = 0
			sleep(ctx, watchGap-time.Since(started))
			continue
		}
		w.noteLoss(address, err)
		if !errors.Is(err, errFollower) {
			w.moveOn()
		}
		if failures++; failures >= count {
			failures = 0
			sleep(ctx, watchPause)
		}
	}
}

func (w *Watcher) noteLoss(address string, err error) {
	if w.lost || time.Since(w.lastAnswer) < lostAfter {
		return
	}
	w.lost = true
	w.Log.Warn("control lost", "address", address, "error", err, "silent_ms", time.Since(w.lastAnswer).Milliseconds())
}

func (w *Watcher) once(ctx context.Context, s *Server, address string) error {
	r := &peerv1.WatchRequest{
		Entry: w.Session, Epoch: w.epoch, EndpointsVersion: w.version, HoldMs: uint32(w.hold().Milliseconds()),
		LoadAddress: w.DatagramAddress, PeersVersion: w.peersVersion,
	}
	if x := s.Index(); x != nil {
		r.CatalogVersion = x.Version()
	}
	if w.epoch == 0 {
		r.HoldMs = 0
	}
	usage, demand := s.TakeUsage()
	for name, u := range usage {
		r.Usage = append(r.Usage, &peerv1.CustomerUsage{Customer: name, Tokens: uint64(u.Requested), Spent: int64(u.Spent)})
	}
	for name, d := range demand {
		r.Demand = append(r.Demand, &peerv1.ModelDemand{Model: name, Requests: uint32(d.Requests), Waiting: uint32(d.Waiting), Tokens: d.Work})
	}
	for _, l := range s.takeLost() {
		r.Lost = append(r.Lost, &peerv1.LostRequest{Fingerprint: l.fingerprint, Endpoint: l.endpoint})
	}
	resp, err := w.Directory.Watch(ctx, address, r)
	if err != nil {
		return err
	}
	if resp.GetNotLeading() {
		return w.follow(address, resp)
	}
	w.lastAnswer = time.Now()
	if w.lost {
		w.lost = false
		w.Log.Info("control regained", "address", address, "epoch", resp.GetEpoch())
	}
	return w.apply(s, address, resp)
}

var (
	errFollower = errors.New("the control VM does not lead")
	errElection = errors.New("the control VM knows no leader")
)

// follow turns to the leader that a follower names.
func (w *Watcher) follow(address string, resp *peerv1.WatchResponse) error {
	if leader := resp.GetLeader(); leader != "" && leader != address {
		w.setMembers(resp.GetMembers(), leader)
		return errFollower
	}
	w.addMembers(resp.GetMembers())
	return errElection
}

// addMembers adds control VMs behind those that are known and keeps the order
// of calls, so that each of them gets its turn.
func (w *Watcher) addMembers(members []*statev1.Member) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var addresses []string
	for _, m := range members {
		addresses = append(addresses, m.GetAddress())
	}
	w.addLocked(addresses)
}

func (w *Watcher) apply(s *Server, address string, resp *peerv1.WatchResponse) error {
	if c := resp.GetCatalog(); c != nil {
		decoded, err := w.Decode(c.GetDocument())
		if err != nil {
			return fmt.Errorf("decode catalog %d: %w", c.GetVersion(), err)
		}
		s.SetCatalog(catalog.NewIndex(decoded))
	}
	w.setMembers(resp.GetMembers(), address)
	s.setSuspects(resp.GetSuspects())
	w.entries = int(resp.GetLiveEntries())
	s.SetShares(decodeShares(resp.GetShares()), int(resp.GetLiveEntries()))
	if v := resp.GetPeersVersion(); v != 0 && v != w.peersVersion {
		w.peersVersion = v
		s.SetEntries(resp.GetPeers())
	}
	if resp.GetEpoch() == 0 {
		return nil // a new leader that has no list yet
	}
	if resp.GetEpoch() == w.epoch && resp.GetEndpointsVersion() == w.version {
		return nil
	}
	if err := w.merge(resp); err != nil {
		return err
	}
	s.SetEndpoints(slices.Collect(maps.Values(w.endpoints)))
	w.epoch, w.version = resp.GetEpoch(), resp.GetEndpointsVersion()
	return nil
}

// merge takes over the endpoints of an answer.
func (w *Watcher) merge(resp *peerv1.WatchResponse) error {
	changed := resp.GetEndpoints()
	if !resp.GetPartial() {
		data, err := catalog.Unpack(resp.GetPacked())
		if err != nil {
			return fmt.Errorf("unpack the list of endpoints: %w", err)
		}
		list := &peerv1.EndpointList{}
		if err := proto.Unmarshal(data, list); err != nil {
			return fmt.Errorf("decode the list of endpoints: %w", err)
		}
		w.endpoints, changed = map[string]pool.Endpoint{}, list.GetEndpoints()
	}
	for _, id := range resp.GetGone() {
		delete(w.endpoints, id)
	}
	for _, e := range decodeEndpoints(changed) {
		w.endpoints[e.ID] = e
	}
	return nil
}

func decodeShares(in []*peerv1.CustomerShare) map[string]directory.Share {
	out := make(map[string]directory.Share, len(in))
	for _, s := range in {
		out[s.GetCustomer()] = directory.Share{Fraction: float64(s.GetMillionths()) / 1e6, Level: float64(s.GetLevel())}
	}
	return out
}

func decodeEndpoints(in []*peerv1.DirectoryEndpoint) []pool.Endpoint {
	out := make([]pool.Endpoint, 0, len(in))
	for _, e := range in {
		one := pool.Endpoint{
			Endpoint: directory.Endpoint{
				ID: e.GetId(), Service: e.GetService(), Address: e.GetAddress(), DataCentre: e.GetDataCentre(),
				Slots: int(e.GetSlots()), Leaving: e.GetLeaving(),
			},
			Draining: map[string]bool{},
			KVTotal:  int(e.GetKvTotal()),
		}
		for _, m := range e.GetModels() {
			one.Models = append(one.Models, directory.Resident{Model: m.GetModel(), Adapters: m.GetAdapters()})
			if m.GetClosing() {
				one.Draining[m.GetModel()] = true
			}
		}
		out = append(out, one)
	}
	return out
}

// Load implements Loader.
func (w *Watcher) Load(ctx context.Context, model, adapter string) (time.Duration, error) {
	address, _ := w.address()
	resp, err := w.Directory.Load(ctx, address, &peerv1.LoadRequest{Model: model, Adapter: adapter})
	return time.Duration(resp.GetReadyMs()) * time.Millisecond, err
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
