package forward

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/directory"
	"github.com/radishloom/radishloom/internal/coordination/pool"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

const (
	// A control VM may hold a Watch call open for holdPerEntry times the number of
	// entries, but at least minHold and at most maxHold. The time grows with the
	// number of entries because a call without news costs a control VM as much as any
	// other. A control VM that stopped answering is noticed only after the hold time.
	minHold      = 400 * time.Millisecond
	holdPerEntry = 5 * time.Millisecond
	maxHold      = time.Second
	// watchRetryDelay is the delay after calls to all control VMs have failed.
	watchRetryDelay = 150 * time.Millisecond
	// minWatchInterval is the shortest time between two calls. It bounds their cost
	// while the list of endpoints changes all the time.
	minWatchInterval = 60 * time.Millisecond
	// controlLostAfter is the time without a response after which the loss of control
	// is logged.
	controlLostAfter = 2 * time.Second
	// maxBehind is how long control VMs may have an older list of endpoints than this
	// entry. After that they were founded anew, and their list counts.
	maxBehind = 10 * time.Second
)

// DirectoryClient calls the directory of a control VM.
type DirectoryClient interface {
	Watch(ctx context.Context, address string, r *peerv1.WatchRequest) (*peerv1.WatchResponse, error)
	Load(ctx context.Context, address string, r *peerv1.LoadRequest) (*peerv1.LoadResponse, error)
	Report(ctx context.Context, address string, r *peerv1.EvidenceReport) (*peerv1.EvidenceResponse, error)
	Streams(ctx context.Context, address string, r *peerv1.StreamsRequest) (*peerv1.StreamsResponse, error)
}

// WatcherConfig configures a Watcher.
type WatcherConfig struct {
	Directory DirectoryClient
	Session   *statev1.Session
	// Decode decodes a catalog's document.
	Decode func(document []byte) (*catalog.Catalog, error)
	Log    *slog.Logger
	// DatagramAddress is the address at which this entry receives datagrams of
	// other entries.
	DatagramAddress string
}

// Watcher keeps a Server up to date with the state of the leading control VM, which
// it fetches with long polls from a control VM of its data centre, or from any other.
type Watcher struct {
	cfg            WatcherConfig
	controls       controlVMs
	epoch, version uint64
	peersVersion   uint64
	// suspectsVersion is the version of the leader's list of suspects.
	suspectsVersion uint64
	endpoints       map[string]pool.Endpoint // the list as of version
	entries         int                      // number of live entries, as of the last response
	lastResponse    time.Time
	controlLost     bool
	// behindSince is since when control VMs have an older list than this entry; zero if
	// they do not.
	behindSince time.Time
}

// NewWatcher returns a Watcher of an entry; Run starts it.
func NewWatcher(c WatcherConfig) *Watcher {
	w := &Watcher{cfg: c}
	w.controls.vm, w.controls.dataCentre = c.Session.GetVm(), c.Session.GetDataCentre()
	return w
}

// holdTime returns how long a control VM may hold a call open.
func (w *Watcher) holdTime() time.Duration {
	return max(minHold, min(maxHold, time.Duration(w.entries)*holdPerEntry))
}

// SetSeeds replaces the addresses of the control VMs from the settings.
func (w *Watcher) SetSeeds(addresses []string) { w.controls.setSeeds(addresses) }

// Run polls a control VM, and reports evidence and streams to the leader, until ctx ends.
func (w *Watcher) Run(ctx context.Context, s *Server) {
	go w.reportEvidence(ctx, s)
	go w.reportStreams(ctx, s)
	go w.lookUpStreams(ctx, s)
	failures := 0
	w.lastResponse = time.Now()
	for ctx.Err() == nil {
		started := time.Now()
		address, count := w.controls.address(started)
		err := w.poll(ctx, s, address)
		if err == nil {
			failures = 0
			sleep(ctx, minWatchInterval-time.Since(started))
			continue
		}
		w.logControlLost(address, err)
		if !errors.Is(err, errNotLeader) {
			w.controls.next()
		}
		if failures++; failures >= count {
			failures = 0
			sleep(ctx, watchRetryDelay)
		}
	}
}

// reportEvidence reports what this entry learns about requests that may crash
// endpoints to the leader, at once: each second more costs further endpoints.
func (w *Watcher) reportEvidence(ctx context.Context, s *Server) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.mu.evidence.ready:
		}
		f := s.takeEvidence()
		if _, err := w.cfg.Directory.Report(ctx, w.controls.loadAddress(), f.encode(s.now())); err != nil {
			s.log.Info("evidence not reported", "lost", len(f.lost), "carried", len(f.carried), "error", err.Error())
			sleep(ctx, watchRetryDelay)
			s.giveBackEvidence(f)
		}
	}
}

// logControlLost logs once that no control VM has responded for controlLostAfter.
func (w *Watcher) logControlLost(address string, err error) {
	if w.controlLost || time.Since(w.lastResponse) < controlLostAfter {
		return
	}
	w.controlLost = true
	w.cfg.Log.Warn("no control VM reachable that is up to date", "address", address, "error", err, "silent_ms", time.Since(w.lastResponse).Milliseconds())
}

// poll makes one Watch call, which reports usage and demand, and applies the
// response.
func (w *Watcher) poll(ctx context.Context, s *Server, address string) error {
	r := &peerv1.WatchRequest{
		Entry: w.cfg.Session, Epoch: w.epoch, EndpointsVersion: w.version, HoldMs: uint32(w.holdTime().Milliseconds()),
		LoadAddress: w.cfg.DatagramAddress, PeersVersion: w.peersVersion, SuspectsVersion: w.suspectsVersion,
	}
	if x := s.Index(); x != nil {
		r.CatalogVersion = x.Version()
	}
	if unconfirmed, _ := s.listUnconfirmed(); w.epoch == 0 || unconfirmed || s.listRefreshed() != nil {
		r.HoldMs = 0
	}
	r.Slowdowns = s.takeSlowdowns()
	sentAt := s.now()
	usage, demand := s.TakeUsage()
	for name, u := range usage {
		r.Usage = append(r.Usage, &peerv1.CustomerUsage{Customer: name, Tokens: uint64(u.Requested), Spent: int64(u.Spent)})
	}
	for name, d := range demand {
		r.Demand = append(r.Demand, &peerv1.ModelDemand{Model: name, Requests: uint32(d.Requests), Waiting: uint32(d.Waiting), Tokens: d.Work})
	}
	resp, err := w.cfg.Directory.Watch(ctx, address, r)
	if err != nil {
		return err
	}
	if resp.GetNotLeading() {
		return w.followRedirect(address, resp)
	}
	w.lastResponse = time.Now()
	if w.controlLost {
		w.controlLost = false
		w.cfg.Log.Info("control VM reachable again", "address", address, "epoch", resp.GetEpoch())
	}
	w.controls.answered(resp.GetLeader())
	if err := w.apply(s, address, resp); err != nil {
		return err
	}
	// Epoch zero means that the list of endpoints is missing or older than this entry's.
	if resp.GetEpoch() != 0 {
		s.confirmList(sentAt, w.holdTime())
	}
	return nil
}

var (
	// errNotLeader: the control VM neither leads nor is up to date, and named the leader.
	errNotLeader = errors.New("the control VM is not the leader")
	errNoLeader  = errors.New("the control VM does not know a leader")
)

// followRedirect handles the response of a control VM that is not up to date. The
// leader that it names is called next.
func (w *Watcher) followRedirect(address string, resp *peerv1.WatchResponse) error {
	if leader := resp.GetLeader(); leader != "" && leader != address {
		w.controls.set(resp.GetMembers(), leader)
		return errNotLeader
	}
	w.controls.add(resp.GetMembers())
	return errNoLeader
}

// apply passes the state in a response of a control VM to the Server.
func (w *Watcher) apply(s *Server, address string, resp *peerv1.WatchResponse) error {
	if c := resp.GetCatalog(); c != nil {
		decoded, err := w.cfg.Decode(c.GetDocument())
		if err != nil {
			return fmt.Errorf("decode catalog version %d: %w", c.GetVersion(), err)
		}
		w.cfg.Log.Info("catalog received", "version", c.GetVersion(), "address", address, "leader", resp.GetLeader(), "epoch", resp.GetEpoch())
		s.SetCatalog(catalog.NewIndex(decoded))
	}
	w.controls.set(resp.GetMembers(), address)
	if list := resp.GetSuspects(); list != nil {
		w.suspectsVersion = list.GetVersion()
		s.setSuspects(list)
	}
	w.entries = int(resp.GetLiveEntries())
	s.SetShares(decodeShares(resp.GetShares()), int(resp.GetLiveEntries()))
	if v := resp.GetPeersVersion(); v != 0 && v != w.peersVersion {
		w.peersVersion = v
		s.SetEntries(resp.GetPeers())
	}
	w.checkBehind(s, resp.GetBehind())
	if resp.GetEpoch() == 0 {
		return nil // a control VM that has no list of endpoints yet, or an older one
	}
	s.leaderAnswered(resp.GetEpoch())
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

// checkBehind gives up this entry's list of endpoints if control VMs have had an older
// one for maxBehind, so that the next response has theirs.
func (w *Watcher) checkBehind(s *Server, behind bool) {
	switch {
	case !behind:
		w.behindSince = time.Time{}
	case w.behindSince.IsZero():
		w.behindSince = time.Now()
	case time.Since(w.behindSince) > maxBehind:
		w.cfg.Log.Warn("control VMs have an older list of endpoints, taking it over", "epoch", w.epoch, "version", w.version)
		w.epoch, w.version, w.behindSince = 0, 0, time.Time{}
		s.forgetLeader()
	}
}

// merge applies the endpoints of a response, which has the whole list or the changes
// since the version that this entry has.
func (w *Watcher) merge(resp *peerv1.WatchResponse) error {
	changed := resp.GetEndpoints()
	if !resp.GetPartial() {
		list, err := directory.UnpackEndpoints(resp.GetPacked())
		if err != nil {
			return err
		}
		w.endpoints, changed = map[string]pool.Endpoint{}, list
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
		decoded := pool.Endpoint{
			Endpoint: directory.Endpoint{
				ID: e.GetId(), Service: e.GetService(), Address: e.GetAddress(), DataCentre: e.GetDataCentre(),
				Slots: int(e.GetSlots()), Leaving: e.GetLeaving(), Evacuated: e.GetEvacuated(),
				SoftwareVersion: e.GetSoftwareVersion(),
			},
			Draining:  map[string]bool{},
			KVTotal:   int(e.GetKvTotal()),
			WarmingUp: e.GetWarmingUp(),

			VersionsDiffer: e.GetVersionsDiffer(),
		}
		for _, m := range e.GetModels() {
			decoded.Models = append(decoded.Models, directory.Resident{Model: m.GetModel(), Adapters: m.GetAdapters()})
			if m.GetClosing() {
				decoded.Draining[m.GetModel()] = true
			}
		}
		out = append(out, decoded)
	}
	return out
}

// Load implements Loader.
func (w *Watcher) Load(ctx context.Context, m pool.MissingModel) (time.Duration, error) {
	r := &peerv1.LoadRequest{Model: m.Model, Adapter: m.Adapter, SoftwareVersion: m.SoftwareVersion}
	resp, err := w.cfg.Directory.Load(ctx, w.controls.loadAddress(), r)
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
