package forward

import (
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
)

// Constants of the exchange of loads between entries.
const (
	// peerAge is how long an entry's load counts without an update, and at most
	// expireInterval longer; it repeats everything each refreshInterval.
	peerAge         = 2500 * time.Millisecond
	expireInterval  = 100 * time.Millisecond
	refreshInterval = time.Second
	// flushDelay collects changes that are not urgent; flushDelayLarge is the same
	// where many entries listen.
	flushDelay      = 15 * time.Millisecond
	flushDelayLarge = 60 * time.Millisecond
)

// work is what one entry, or all of them, have at an engine.
type work struct {
	requests int
	// prompt tokens of requests without a first event.
	prompt int
	// held tokens: prompts and expected output of all requests.
	held int
}

func (w *work) add(o work) {
	w.requests += o.requests
	w.prompt += o.prompt
	w.held += o.held
}

// peer is what another entry said.
type peer struct {
	seq  uint64
	at   time.Duration
	work map[string]work // by endpoint
}

// Loads holds what other entries have at engines.
type Loads struct {
	peers map[string]*peer
	// total is the sum over all peers by endpoint, without those that were silent
	// at the time expired.
	total   map[string]work
	expired time.Duration
	// changed are endpoints whose own work has to be told.
	changed map[string]bool
}

// NewLoads returns Loads without peers.
func NewLoads() *Loads {
	return &Loads{peers: map[string]*peer{}, total: map[string]work{}, changed: map[string]bool{}}
}

// Take takes over an update.
func (l *Loads) Take(now time.Duration, u *peerv1.LoadUpdate) {
	p := l.peers[u.GetSender()]
	if p == nil {
		p = &peer{work: map[string]work{}}
		l.peers[u.GetSender()] = p
	}
	if u.GetSeq() <= p.seq {
		return
	}
	p.seq, p.at = u.GetSeq(), now
	if u.GetFull() {
		l.forget(p)
	}
	for _, e := range u.GetEngines() {
		w := work{int(e.GetRequests()), int(e.GetPromptTokens()), int(e.GetHeldTokens())}
		if w.requests == 0 {
			w = work{}
		}
		l.set(p, e.GetEndpoint(), w)
	}
}

// set replaces what a peer has at an endpoint.
func (l *Loads) set(p *peer, endpoint string, w work) {
	total, old := l.total[endpoint], p.work[endpoint]
	total.add(w)
	total.add(work{-old.requests, -old.prompt, -old.held})
	p.work[endpoint], l.total[endpoint] = w, total
	if w == (work{}) {
		delete(p.work, endpoint)
	}
	if total == (work{}) {
		delete(l.total, endpoint)
	}
}

func (l *Loads) forget(p *peer) {
	for endpoint := range p.work {
		l.set(p, endpoint, work{})
	}
}

// At returns what other entries have at an endpoint. Entries that fell silent
// no longer count.
func (l *Loads) At(now time.Duration, endpoint string) work {
	if now-l.expired >= expireInterval {
		l.expire(now)
	}
	return l.total[endpoint]
}

// expire forgets the loads of entries that fell silent.
func (l *Loads) expire(now time.Duration) {
	l.expired = now
	for name, p := range l.peers {
		if now-p.at <= peerAge {
			continue
		}
		l.forget(p)
		if now-p.at > 2*peerAge {
			delete(l.peers, name)
		}
	}
}

// update returns the message for the changed endpoints, or for all of them.
func (t *Table) update(sender string, seq uint64, full bool) *peerv1.LoadUpdate {
	u := &peerv1.LoadUpdate{Sender: sender, Seq: seq, Full: full}
	for id, e := range t.endpoints {
		if full && e.own.requests > 0 || !full && t.loads.changed[id] {
			u.Engines = append(u.Engines, &peerv1.EngineLoad{
				Endpoint: id, Requests: uint32(e.own.requests), PromptTokens: uint32(e.own.prompt), HeldTokens: uint32(e.own.held),
			})
		}
	}
	clear(t.loads.changed)
	return u
}
