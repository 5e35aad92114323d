package replica

import (
	"fmt"
	"maps"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/config"
)

// tokenLease is how long leased tokens may be spent after the request that
// renewed them was sent. The account writes them off this long after it applied
// that request, by a clock that is never faster.
const tokenLease = 5 * time.Second

// core is the deterministic part of a Replica. Events and both clocks go in.
type core struct {
	session *statev1.Session
	index   *config.Index
	fresh   lease
	tokens  lease
	ledger  *ledger

	suspectsVersion  uint64
	suspects         []*statev1.Suspect
	residencyVersion uint64
	residency        map[string]*peerv1.EndpointResidency
	liveEntries      int
	demand           map[string]*peerv1.ModelDemand

	// faults breaks single rules. Tests set them to show that they notice.
	faults coreFaults
}

type coreFaults struct {
	leaseFromAnswer bool // measure leases from the answer instead of the request
	keepOnLapse     bool // keep what the account may have written off
	acceptOlder     bool // apply a version older than the one in force
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

// poll returns a request that may be held for hold.
func (c *core) poll(hold time.Duration) *peerv1.SyncRequest {
	r := c.request()
	r.Entry = &statev1.EntrySync{Session: c.session, Seq: c.acknowledged(), ConfigVersion: c.version()}
	r.HoldMs = uint32(hold.Milliseconds())
	for _, d := range c.demand {
		r.Demand = append(r.Demand, d)
	}
	clear(c.demand)
	return r
}

// usage returns a request that reports use, or nil if there is nothing to say.
func (c *core) usage(now time.Duration) *peerv1.SyncRequest {
	seq, usage := c.ledger.next(now)
	if usage == nil {
		return nil
	}
	r := c.request()
	r.Entry = &statev1.EntrySync{Session: c.session, Seq: seq, Usage: usage, ConfigVersion: c.version()}
	return r
}

// closing returns the request that ends the session.
func (c *core) closing(now time.Duration) *peerv1.SyncRequest {
	seq, usage := c.ledger.closing(now)
	r := c.request()
	r.Entry = &statev1.EntrySync{Session: c.session, Seq: seq, Usage: usage, Closing: true}
	return r
}

func (c *core) request() *peerv1.SyncRequest {
	return &peerv1.SyncRequest{
		ConfigVersion:    c.version(),
		SuspectsVersion:  c.suspectsVersion,
		ResidencyVersion: c.residencyVersion,
	}
}

// acknowledged is the number of the last report whose answer arrived.
func (c *core) acknowledged() uint64 {
	if c.ledger.report != nil {
		return c.ledger.seq - 1
	}
	return c.ledger.seq
}

func (c *core) version() uint64 {
	if c.index == nil {
		return 0
	}
	return c.index.Version()
}

// outcome tells the driver what an answer changed.
type outcome struct {
	// configChanged: a newer configuration is in force.
	configChanged bool
	// reported: a report was acknowledged and moved tokens.
	reported bool
	moved    Moved
	// sessionEnded: the session is over; begin must be called with a new one.
	sessionEnded bool
}

// handle takes over the answer to a request that was sent at sentAt. An answer
// that is refused changes nothing and renews no lease.
func (c *core) handle(sentAt, now Instant, req *peerv1.SyncRequest, resp *peerv1.SyncResponse) (outcome, error) {
	var out outcome
	if c.faults.leaseFromAnswer {
		sentAt = now
	}
	changed, err := c.applyConfig(resp)
	if err != nil {
		return out, err
	}
	out.configChanged = changed
	c.fresh.renew(sentAt, time.Duration(resp.GetLeaseMs())*time.Millisecond)
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
		// A later report was applied before this request: it renewed nothing.
		return out, nil
	}
	if !c.tokens.valid(now) && !c.faults.keepOnLapse {
		c.ledger.lapse()
	}
	c.tokens.renew(sentAt, tokenLease)
	if len(req.GetEntry().GetUsage()) > 0 {
		out.reported = true
		out.moved = c.ledger.acknowledge(entry.GetSeq(), entry.GetGrants())
	}
	return out, nil
}

// applyConfig brings the configuration up to date. Versions only grow: an
// answer to a poll can arrive after that of a later one.
func (c *core) applyConfig(resp *peerv1.SyncResponse) (bool, error) {
	d := resp.GetDelta()
	if d == nil {
		if c.index == nil || resp.GetConfigVersion() > c.version() {
			return false, fmt.Errorf("sync answer names version %d without a delta to it", resp.GetConfigVersion())
		}
		return false, nil
	}
	if d.GetToVersion() <= c.version() && c.index != nil && !c.faults.acceptOlder {
		return false, nil
	}
	var old *statev1.Config
	if c.index != nil {
		old = c.index.Config()
	}
	if d.GetFull() == nil && (old == nil || d.GetFromVersion() != old.GetVersion()) {
		return false, fmt.Errorf("delta starts at version %d, version %d is in force", d.GetFromVersion(), c.version())
	}
	if old == nil {
		old = &statev1.Config{}
	}
	next, err := config.ApplyDelta(old, d)
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
}

// applyResidency replaces the map, since readers may hold the old one.
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

// begin starts a new session.
func (c *core) begin(session *statev1.Session) {
	c.session = session
	c.tokens = lease{}
	c.ledger.reset()
}

// hold reserves tokens if the token lease is valid.
func (c *core) hold(now Instant, customer string, tokens uint64) bool {
	return c.tokens.valid(now) && c.ledger.hold(now.Mono, customer, tokens)
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
