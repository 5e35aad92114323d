package pool

import (
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
)

// Parameters of the exchange of loads between brokers.
const (
	// peerTTL is how long a broker's loads count without an update, and at most
	// expireInterval longer. A broker sends all of its loads every
	// refreshInterval.
	peerTTL         = 2500 * time.Millisecond
	expireInterval  = 100 * time.Millisecond
	refreshInterval = 700 * time.Millisecond
)

// Usage is what one broker, or all of them together, have reserved at an
// engine.
type Usage struct {
	Requests int
	// PromptTokens belong to requests without a first event.
	PromptTokens int
	// HeldTokens are the prompt and expected output tokens of all requests.
	HeldTokens int
}

func (u *Usage) add(o Usage) {
	u.Requests += o.Requests
	u.PromptTokens += o.PromptTokens
	u.HeldTokens += o.HeldTokens
}

func (u *Usage) remove(o Usage) { u.add(Usage{-o.Requests, -o.PromptTokens, -o.HeldTokens}) }

// Sender is one incarnation of an entry.
type Sender struct {
	Address     string
	Incarnation uint64
}

// peerLoads is what another broker has reserved and waits for.
type peerLoads struct {
	seq       uint64
	updatedAt time.Duration
	usage     map[string]Usage // by endpoint
	waiting   map[string]bool  // endpoints at which its requests wait
	// grants counts the slots that it granted at endpoints that state a limit.
	grants map[string]uint64
}

// Loads holds what other brokers have reserved at engines.
type Loads struct {
	peers map[Sender]*peerLoads
	// total is the sum over all peers by endpoint, without those that had expired
	// at lastExpiry. waiting counts the peers with waiting requests.
	total      map[string]Usage
	waiting    map[string]int
	lastExpiry time.Duration
}

// NewLoads returns Loads without peers.
func NewLoads() *Loads {
	return &Loads{peers: map[Sender]*peerLoads{}, total: map[string]Usage{}, waiting: map[string]int{}}
}

// Apply applies an update. Updates that are not newer than the last one are
// ignored. It returns how many slots the peer has granted since its last update, by
// endpoint that states a limit.
func (l *Loads) Apply(now time.Duration, from Sender, u *peerv1.LoadUpdate) (granted map[string]uint64) {
	p := l.peers[from]
	if p == nil {
		p = &peerLoads{usage: map[string]Usage{}, waiting: map[string]bool{}, grants: map[string]uint64{}}
		l.peers[from] = p
	}
	if u.GetSeq() <= p.seq {
		return nil
	}
	granted = map[string]uint64{}
	p.seq, p.updatedAt = u.GetSeq(), now
	if u.GetFull() {
		l.reset(p)
	}
	for _, e := range u.GetEngines() {
		usage := Usage{int(e.GetRequests()), int(e.GetPromptTokens()), int(e.GetHeldTokens())}
		if usage.Requests == 0 {
			usage = Usage{}
		}
		l.set(p, e.GetEndpoint(), usage)
		l.setWaiting(p, e.GetEndpoint(), e.GetWaiting())
		if n := p.countGrants(e); n > 0 {
			granted[e.GetEndpoint()] = n
		}
	}
	return granted
}

// countGrants returns the slots that the peer granted at an endpoint since its last
// update, or zero if the peer did not count them then.
func (p *peerLoads) countGrants(e *peerv1.EngineLoad) uint64 {
	last, known := p.grants[e.GetEndpoint()]
	if e.GetGrants() == 0 {
		delete(p.grants, e.GetEndpoint())
		return 0
	}
	p.grants[e.GetEndpoint()] = e.GetGrants()
	if !known || e.GetGrants() < last {
		return 0
	}
	return e.GetGrants() - last
}

// set replaces a peer's usage of an endpoint.
func (l *Loads) set(p *peerLoads, endpoint string, usage Usage) {
	total := l.total[endpoint]
	total.add(usage)
	total.remove(p.usage[endpoint])
	p.usage[endpoint], l.total[endpoint] = usage, total
	if usage == (Usage{}) {
		delete(p.usage, endpoint)
	}
	if total == (Usage{}) {
		delete(l.total, endpoint)
	}
}

func (l *Loads) setWaiting(p *peerLoads, endpoint string, waiting bool) {
	if p.waiting[endpoint] == waiting {
		return
	}
	if waiting {
		p.waiting[endpoint] = true
		l.waiting[endpoint]++
		return
	}
	delete(p.waiting, endpoint)
	if l.waiting[endpoint]--; l.waiting[endpoint] == 0 {
		delete(l.waiting, endpoint)
	}
}

func (l *Loads) reset(p *peerLoads) {
	for endpoint := range p.usage {
		l.set(p, endpoint, Usage{})
	}
	for endpoint := range p.waiting {
		l.setWaiting(p, endpoint, false)
	}
}

// At returns what other brokers have reserved at an endpoint. Brokers without a
// recent update are left out.
func (l *Loads) At(now time.Duration, endpoint string) Usage {
	l.expireIfDue(now)
	return l.total[endpoint]
}

// Waiting reports whether requests of other brokers wait for a slot at an
// endpoint.
func (l *Loads) Waiting(now time.Duration, endpoint string) bool {
	l.expireIfDue(now)
	return l.waiting[endpoint] > 0
}

func (l *Loads) expireIfDue(now time.Duration) {
	if now-l.lastExpiry >= expireInterval {
		l.expire(now)
	}
}

// expire removes the loads of brokers without a recent update.
func (l *Loads) expire(now time.Duration) {
	l.lastExpiry = now
	for from, p := range l.peers {
		if now-p.updatedAt <= peerTTL {
			continue
		}
		l.reset(p)
		if now-p.updatedAt > 2*peerTTL {
			delete(l.peers, from)
		}
	}
}
