package directory

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/coordination/suspect"
)

const (
	// maxRelayAge is the age from which a control VM's copy of the leader's state is
	// too old for entries. It covers two calls of followHold and a lost packet.
	maxRelayAge = 1200 * time.Millisecond
)

// relayState is what a control VM holds for the entries that watch it: a copy of the
// leader's list, and what the entries reported since the last report to the leader.
// It performs no I/O and reads no clock.
type relayState struct {
	list         *endpointList
	shares       *Shares
	peers        []string
	peersVersion uint64
	// suspects is the leader's list, suspectsVersion its version, zero before the first.
	suspects        []suspect.Suspect
	suspectsVersion uint64
	// catalogVersion is the leader's, which this VM may not have applied yet.
	catalogVersion uint64
	// confirmedAt is when the call was sent that the leader answered last.
	confirmedAt time.Duration
	confirmed   bool

	entries map[string]*watchingEntry
	// entriesVersion grows with each change of the set of entries; it starts at a
	// random number, since the leader may know versions of a former process.
	// leaderEntriesVersion is the version that the leader has.
	entriesVersion, leaderEntriesVersion uint64
	demand                               map[string]*relayedDemand
	// slowdowns has what entries reported of endpoints since the last report.
	slowdowns map[string]slowdownSum
}

// watchingEntry is an entry that watches this control VM.
type watchingEntry struct {
	address string
	waiting map[string]uint32 // requests that wait now, by model or MODEL/ADAPTER
}

// relayedDemand is the demand for a model or MODEL/ADAPTER since the last report.
type relayedDemand struct {
	requests uint32
	tokens   uint64
}

func newRelayState() *relayState {
	return &relayState{
		list: newEndpointList(), shares: NewShares(), entries: map[string]*watchingEntry{}, demand: map[string]*relayedDemand{}, slowdowns: map[string]slowdownSum{},
		entriesVersion: rand.Uint64N(1<<62) + 1,
	}
}

// fresh reports whether the copy is recent enough for entries.
func (r *relayState) fresh(now time.Duration) bool {
	return r.confirmed && now-r.confirmedAt <= maxRelayAge
}

// record records the report of an entry.
func (r *relayState) record(now time.Duration, in *peerv1.WatchRequest) {
	name := in.GetEntry().GetVm()
	r.shares.RecordUsage(now, name, decodeUsage(in.GetUsage()))
	e := r.entries[name]
	if e == nil || e.address != in.GetLoadAddress() {
		e = &watchingEntry{address: in.GetLoadAddress()}
		r.entries[name] = e
		r.entriesVersion++
	}
	r.addSlowdowns(in.GetSlowdowns())
	e.waiting = map[string]uint32{}
	for _, d := range in.GetDemand() {
		if d.GetWaiting() > 0 {
			e.waiting[d.GetModel()] = d.GetWaiting()
		}
		r.addDemand(d.GetModel(), d.GetRequests(), d.GetTokens())
	}
}

// remove removes an entry that watches another control VM.
func (r *relayState) remove(entry string) {
	if r.entries[entry] == nil {
		return
	}
	r.shares.Remove(entry)
	delete(r.entries, entry)
	r.entriesVersion++
}

func (r *relayState) addDemand(model string, requests uint32, tokens uint64) {
	d := r.demand[model]
	if d == nil {
		d = &relayedDemand{}
		r.demand[model] = d
	}
	d.requests += requests
	d.tokens += tokens
}

// takeReport returns the report to the leader and begins the next one. It removes the
// entries that no longer call.
func (r *relayState) takeReport(now time.Duration, vm string, hold time.Duration) *peerv1.FollowRequest {
	for _, removed := range r.shares.Expire(now) {
		delete(r.entries, removed)
		r.entriesVersion++
	}
	out := &peerv1.FollowRequest{
		Vm: vm, Epoch: r.list.epoch, EndpointsVersion: r.list.version, PeersVersion: r.peersVersion, HoldMs: uint32(hold.Milliseconds()),
		Suspects: encodeSuspects(now, r.suspectsVersion, r.suspects),
	}
	demand, spent := r.shares.TakeReport()
	for name, tokens := range demand {
		if tokens >= 1 || spent[name] != 0 {
			out.Customers = append(out.Customers, &peerv1.CustomerDemand{Customer: name, Demand: float32(tokens), Spent: int64(spent[name])})
		}
	}
	waiting := map[string]uint32{}
	for _, e := range r.entries {
		for model, n := range e.waiting {
			waiting[model] += n
			r.addDemand(model, 0, 0)
		}
	}
	for model, d := range r.demand {
		out.Demand = append(out.Demand, &peerv1.ModelDemand{Model: model, Requests: d.requests, Waiting: waiting[model], Tokens: d.tokens})
	}
	out.Slowdowns = r.takeSlowdowns()
	if r.leaderEntriesVersion != r.entriesVersion {
		out.Entries = r.watchingEntries()
	}
	r.demand = map[string]*relayedDemand{}
	return out
}

func (r *relayState) watchingEntries() *peerv1.WatchingEntries {
	out := &peerv1.WatchingEntries{Version: r.entriesVersion}
	for _, name := range slices.Sorted(maps.Keys(r.entries)) {
		out.Entries = append(out.Entries, &peerv1.WatchingEntry{Vm: name, LoadAddress: r.entries[name].address})
	}
	return out
}

// returnReport adds a report that was not answered to the next one. If the leader
// did receive it, the usage counts twice, which errs on the side of spending less.
func (r *relayState) returnReport(report *peerv1.FollowRequest) {
	r.shares.ReturnReport()
	for _, d := range report.GetDemand() {
		r.addDemand(d.GetModel(), d.GetRequests(), d.GetTokens())
	}
	r.leaderEntriesVersion = 0
}

// apply applies the leader's answer to a call that was sent at sentAt. It reports
// whether the list of endpoints or that of suspects changed.
func (r *relayState) apply(now, sentAt time.Duration, in *peerv1.FollowResponse) (changed bool, err error) {
	r.confirmed = false
	r.catalogVersion = in.GetCatalogVersion()
	suspectsChanged := in.GetSuspects() != nil
	if suspectsChanged {
		r.suspects, r.suspectsVersion = DecodeSuspects(now, in.GetSuspects()), in.GetSuspects().GetVersion()
	}
	r.leaderEntriesVersion = in.GetEntriesVersion()
	for _, entry := range in.GetMoved() {
		r.remove(entry)
	}
	if v := in.GetPeersVersion(); v != 0 {
		r.peers, r.peersVersion = in.GetPeers(), v
	}
	levels := make([]Level, 0, len(in.GetLevels()))
	for _, l := range in.GetLevels() {
		levels = append(levels, Level{
			Customer: l.GetCustomer(), Rate: float64(l.GetRate()), Burst: float64(l.GetBurst()), Demand: float64(l.GetDemand()), Tokens: float64(l.GetLevel()),
		})
	}
	r.shares.SetLevels(now, int(in.GetLiveEntries()), levels)
	epoch, version := r.list.epoch, r.list.version
	if in.GetEpoch() != 0 { // zero from a new leader that has no list of endpoints yet
		err = r.list.apply(listUpdate{
			epoch: in.GetEpoch(), version: in.GetEndpointsVersion(), partial: in.GetPartial(),
			changed: in.GetEndpoints(), gone: in.GetGone(), packed: in.GetPacked(),
		})
	}
	if err != nil {
		return false, err
	}
	r.confirmed, r.confirmedAt = true, sentAt
	return suspectsChanged || epoch != r.list.epoch || version != r.list.version, nil
}

// hasChanges reports whether there are newer lists than those that an entry has.
func (r *relayState) hasChanges(in *peerv1.WatchRequest) bool {
	if r.suspectsVersion != 0 && in.GetSuspectsVersion() != r.suspectsVersion {
		return true
	}
	epoch, version := in.GetEpoch(), in.GetEndpointsVersion()
	return r.list.epoch != 0 && (epoch != r.list.epoch || version != r.list.version) && !r.list.olderThan(epoch, version)
}

// respond returns the response for an entry, without the catalog and the members.
func (r *relayState) respond(now time.Duration, in *peerv1.WatchRequest) (*peerv1.WatchResponse, error) {
	out := &peerv1.WatchResponse{LiveEntries: uint32(r.shares.EntryCount())}
	if r.suspectsVersion != 0 && r.suspectsVersion != in.GetSuspectsVersion() {
		out.Suspects = encodeSuspects(now, r.suspectsVersion, r.suspects)
	}
	if r.peersVersion != in.GetPeersVersion() {
		out.Peers, out.PeersVersion = r.peers, r.peersVersion
	}
	for name, share := range r.shares.ForEntry(now, in.GetEntry().GetVm()) {
		out.Shares = append(out.Shares, &peerv1.CustomerShare{Customer: name, Millionths: uint32(share.Fraction * 1e6), Level: int64(share.Level)})
	}
	if r.list.epoch == 0 {
		return out, nil
	}
	if r.list.olderThan(in.GetEpoch(), in.GetEndpointsVersion()) {
		out.Behind = true
		return out, nil
	}
	u, err := r.list.since(in.GetEpoch(), in.GetEndpointsVersion())
	out.Epoch, out.EndpointsVersion, out.Partial = u.epoch, u.version, u.partial
	out.Endpoints, out.Gone, out.Packed = u.changed, u.gone, u.packed
	return out, err
}

func decodeUsage(in []*peerv1.CustomerUsage) map[string]Usage {
	out := make(map[string]Usage, len(in))
	for _, u := range in {
		out[u.GetCustomer()] = Usage{Requested: float64(u.GetTokens()), Spent: float64(u.GetSpent())}
	}
	return out
}
