package replica

import (
	"fmt"
	"maps"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/config"
)

// tokenLeaseTime is how long leased tokens may be spent, counted from the time
// at which the renewing request was sent. The control role writes them off the
// same time after it applied that request, by a clock that is never faster than
// the entry's. Therefore no hold is granted out of tokens already written off.
const tokenLeaseTime = 5 * time.Second

// core is the deterministic part of a Replica. The caller passes in events and
// the readings of both clocks.
type core struct {
	session        *statev1.Session
	index          *config.Index
	freshnessLease lease
	tokenLease     lease
	ledger         *ledger

	suspectsVersion  uint64
	suspects         []*statev1.Suspect
	residencyVersion uint64
	residency        map[string]*peerv1.EndpointResidency
	liveEntries      int
	// evacuations are replaced, never modified.
	evacuations evacuations
	demand      map[string]*peerv1.ModelDemand

	// faults disables single rules, so that tests can show that they detect the
	// violation.
	faults coreFaults
}

// evacuations are the evacuated data centres, whose endpoints get no new requests, at a
// version of the replicated state.
type evacuations struct {
	version     uint64
	dataCentres []string
}

type coreFaults struct {
	leaseFromReceipt bool // measure leases from the receipt of the response instead of the sending of the request
	keepExpired      bool // keep leased tokens that the account may have written off
	acceptOlder      bool // apply a configuration older than the one in force
}

func newCore(session *statev1.Session, random func(n int64) int64) *core {
	return &core{
		session:     session,
		ledger:      newLedger(random),
		liveEntries: 1,
		demand:      make(map[string]*peerv1.ModelDemand),
		residency:   make(map[string]*peerv1.EndpointResidency),
	}
}

// pollRequest returns a poll that the control role may hold for the given time.
func (c *core) pollRequest(hold time.Duration) *peerv1.SyncRequest {
	r := c.newRequest()
	r.Entry = &statev1.EntrySync{Session: c.session, Seq: c.lastAcknowledged(), ConfigVersion: c.configVersion()}
	r.HoldMs = uint32(hold.Milliseconds())
	for _, d := range c.demand {
		r.Demand = append(r.Demand, d)
	}
	clear(c.demand)
	return r
}

// usageRequest returns a request with a usage report, or nil if there is nothing
// to report.
func (c *core) usageRequest(now time.Duration) *peerv1.SyncRequest {
	seq, report := c.ledger.nextReport(now)
	if report == nil {
		return nil
	}
	r := c.newRequest()
	r.Entry = &statev1.EntrySync{Session: c.session, Seq: seq, Usage: report, ConfigVersion: c.configVersion()}
	return r
}

// closeRequest returns the request that ends the session.
func (c *core) closeRequest(now time.Duration) *peerv1.SyncRequest {
	seq, report := c.ledger.finalReport(now)
	r := c.newRequest()
	r.Entry = &statev1.EntrySync{Session: c.session, Seq: seq, Usage: report, Closing: true}
	return r
}

func (c *core) newRequest() *peerv1.SyncRequest {
	return &peerv1.SyncRequest{
		ConfigVersion:    c.configVersion(),
		SuspectsVersion:  c.suspectsVersion,
		ResidencyVersion: c.residencyVersion,

		EvacuationsVersion: c.evacuations.version,
	}
}

// lastAcknowledged returns the number of the last acknowledged report.
func (c *core) lastAcknowledged() uint64 {
	if c.ledger.report != nil {
		return c.ledger.seq - 1
	}
	return c.ledger.seq
}

func (c *core) configVersion() uint64 {
	if c.index == nil {
		return 0
	}
	return c.index.Version()
}

// syncResult describes what a response changed.
type syncResult struct {
	// configChanged is set if a newer configuration is in force.
	configChanged bool
	// usageAcknowledged is set if a usage report was acknowledged; leaseChange is
	// its effect.
	usageAcknowledged bool
	leaseChange       LeaseChange
	// sessionEnded is set if the session is over. The caller must start a new one
	// with startSession.
	sessionEnded bool
}

// handleResponse applies the response to a request that was sent at sentAt. On
// an error nothing is changed and no lease is renewed.
func (c *core) handleResponse(sentAt, now Instant, req *peerv1.SyncRequest, resp *peerv1.SyncResponse) (syncResult, error) {
	var out syncResult
	if c.faults.leaseFromReceipt {
		sentAt = now
	}
	changed, err := c.applyConfig(resp)
	if err != nil {
		return out, err
	}
	out.configChanged = changed
	c.freshnessLease.renew(sentAt, time.Duration(resp.GetLeaseMs())*time.Millisecond)
	c.applyTables(resp)
	entry := resp.GetEntry()
	if req.GetEntry().GetSession().GetIncarnation() != c.session.GetIncarnation() {
		return out, nil
	}
	if entry.GetSessionEnded() {
		out.sessionEnded = true
		return out, nil
	}
	if entry == nil || entry.GetSeq() != req.GetEntry().GetSeq() {
		// A later report was applied before this request, so this request renewed
		// no token lease.
		return out, nil
	}
	if !c.tokenLease.valid(now) && !c.faults.keepExpired {
		c.ledger.expireLeases()
	}
	c.tokenLease.renew(sentAt, tokenLeaseTime)
	if len(req.GetEntry().GetUsage()) > 0 {
		out.usageAcknowledged = true
		out.leaseChange = c.ledger.acknowledge(entry.GetSeq(), entry.GetGrants())
	}
	return out, nil
}

// applyConfig applies the configuration delta of a response. It ignores versions
// that are not newer than the one in force, since responses can arrive out of
// order.
func (c *core) applyConfig(resp *peerv1.SyncResponse) (bool, error) {
	delta := resp.GetDelta()
	if delta == nil {
		if c.index == nil || resp.GetConfigVersion() > c.configVersion() {
			return false, fmt.Errorf("sync response names configuration version %d but has no delta to it", resp.GetConfigVersion())
		}
		return false, nil
	}
	if delta.GetToVersion() <= c.configVersion() && c.index != nil && !c.faults.acceptOlder {
		return false, nil
	}
	var old *statev1.Config
	if c.index != nil {
		old = c.index.Config()
	}
	if delta.GetFull() == nil && (old == nil || delta.GetFromVersion() != old.GetVersion()) {
		return false, fmt.Errorf("configuration delta starts at version %d, but version %d is in force", delta.GetFromVersion(), c.configVersion())
	}
	if old == nil {
		old = &statev1.Config{}
	}
	next, err := config.ApplyDelta(old, delta)
	if err != nil {
		return false, fmt.Errorf("apply configuration delta: %w", err)
	}
	c.index = config.NewIndex(next)
	return true, nil
}

func (c *core) applyTables(resp *peerv1.SyncResponse) {
	if resp.GetLiveEntries() > 0 {
		c.liveEntries = int(resp.GetLiveEntries())
	}
	if v := resp.GetSuspectsVersion(); v > c.suspectsVersion {
		c.suspectsVersion = v
		c.suspects = resp.GetSuspects()
	}
	if v := resp.GetResidencyVersion(); v > c.residencyVersion {
		c.applyResidency(resp)
		c.residencyVersion = v
	}
	if v := resp.GetEvacuationsVersion(); v > c.evacuations.version {
		c.evacuations = evacuations{version: v, dataCentres: resp.GetEvacuatedDataCentres()}
	}
}

// applyResidency replaces the map instead of modifying it, since readers may
// still use the old one.
func (c *core) applyResidency(resp *peerv1.SyncResponse) {
	next := make(map[string]*peerv1.EndpointResidency, len(c.residency))
	if resp.GetResidencyPartial() {
		maps.Copy(next, c.residency)
	}
	for _, r := range resp.GetResidency() {
		next[r.GetEndpoint()] = r
	}
	c.residency = next
}

// startSession replaces an ended session and drops the leases of the old one.
func (c *core) startSession(session *statev1.Session) {
	c.session = session
	c.tokenLease = lease{}
	c.ledger.reset()
}

// hold reserves tokens if the token lease is valid.
func (c *core) hold(now Instant, customer string, tokens uint64) bool {
	return c.tokenLease.valid(now) && c.ledger.hold(now.Mono, customer, tokens)
}

func (c *core) addDemand(d *peerv1.ModelDemand) {
	sum := c.demand[d.GetModel()]
	if sum == nil {
		sum = &peerv1.ModelDemand{Model: d.GetModel()}
		c.demand[d.GetModel()] = sum
	}
	sum.Requests += d.GetRequests()
	sum.Tokens += d.GetTokens()
	sum.Waiting = d.GetWaiting()
}
