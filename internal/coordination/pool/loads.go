package pool

import (
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
)

// Constants of the exchange of loads between brokers.
const (
	// peerAge is how long a broker's load counts without an update, and at most
	// expireInterval longer; it repeats everything each refreshInterval.
	peerAge         = 2500 * time.Millisecond
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

func (w *Usage) add(o Usage) {
	w.Requests += o.Requests
	w.PromptTokens += o.PromptTokens
	w.HeldTokens += o.HeldTokens
}

func (w *Usage) remove(o Usage) { w.add(Usage{-o.Requests, -o.PromptTokens, -o.HeldTokens}) }

// Sender is one incarnation of an entry.
type Sender struct {
	Address     string
	Incarnation uint64
}

// peer is what another broker said.
type peer struct {
	seq     uint64
	at      time.Duration
	work    map[string]Usage // by endpoint
	waiting map[string]bool  // endpoints at which its requests wait
}

// Loads holds what other brokers have given out at engines.
type Loads struct {
	peers map[Sender]*peer
	// total is the sum over all peers by endpoint, without those that were silent
	// at the time expired; waiting counts the peers with waiting requests.
	total   map[string]Usage
	waiting map[string]int
	expired time.Duration
}

// NewLoads returns Loads without peers.
func NewLoads() *Loads {
	return &Loads{peers: map[Sender]*peer{}, total: map[string]Usage{}, waiting: map[string]int{}}
}

// Apply applies an update. Updates that are not newer than the last one are
// ignored.
func (l *Loads) Apply(now time.Duration, from Sender, u *peerv1.LoadUpdate) {
	p := l.peers[from]
	if p == nil {
		p = &peer{work: map[string]Usage{}, waiting: map[string]bool{}}
		l.peers[from] = p
	}
	if u.GetSeq() <= p.seq {
		return
	}
	p.seq, p.at = u.GetSeq(), now
	if u.GetFull() {
		l.forget(p)
	}
	for _, e := range u.GetEngines() {
		w := Usage{int(e.GetRequests()), int(e.GetPromptTokens()), int(e.GetHeldTokens())}
		if w.Requests == 0 {
			w = Usage{}
		}
		l.set(p, e.GetEndpoint(), w)
		l.setWaiting(p, e.GetEndpoint(), e.GetWaiting())
	}
}

// set replaces what a peer has at an endpoint.
func (l *Loads) set(p *peer, endpoint string, w Usage) {
	total := l.total[endpoint]
	total.add(w)
	total.remove(p.work[endpoint])
	p.work[endpoint], l.total[endpoint] = w, total
	if w == (Usage{}) {
		delete(p.work, endpoint)
	}
	if total == (Usage{}) {
		delete(l.total, endpoint)
	}
}

func (l *Loads) setWaiting(p *peer, endpoint string, waiting bool) {
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

func (l *Loads) forget(p *peer) {
	for endpoint := range p.work {
		l.set(p, endpoint, Usage{})
	}
	for endpoint := range p.waiting {
		l.setWaiting(p, endpoint, false)
	}
}

// At returns what other brokers have given out at an endpoint. Brokers that fell
// silent no longer count.
func (l *Loads) At(now time.Duration, endpoint string) Usage {
	l.expireSometimes(now)
	return l.total[endpoint]
}

// Waiting says whether requests of other brokers wait for a place at an endpoint.
func (l *Loads) Waiting(now time.Duration, endpoint string) bool {
	l.expireSometimes(now)
	return l.waiting[endpoint] > 0
}

func (l *Loads) expireSometimes(now time.Duration) {
	if now-l.expired >= expireInterval {
		l.expire(now)
	}
}

// expire forgets the loads of brokers that fell silent.
func (l *Loads) expire(now time.Duration) {
	l.expired = now
	for from, p := range l.peers {
		if now-p.at <= peerAge {
			continue
		}
		l.forget(p)
		if now-p.at > 2*peerAge {
			delete(l.peers, from)
		}
	}
}
