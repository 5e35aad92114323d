package pool

import (
	"slices"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// Constants of an entry that asks for places.
const (
	// askFirst is the time after which an unanswered request is repeated; brokerSilent
	// that after which its broker is passed over. A broker answers within 3 ms
	// unless its VM is short of time.
	askFirst     = 40 * time.Millisecond
	brokerSilent = 150 * time.Millisecond
	// askInterval is how often a waiting request is repeated.
	askInterval = 250 * time.Millisecond
	// listedFor is how long a broker gets lists of places after the last one that it
	// gave: a release may have been lost.
	listedFor = 3 * time.Second
	// ownStall is the time between two ticks from which this entry itself stood
	// still, so that silence says nothing of a broker.
	ownStall = 100 * time.Millisecond
	// failuresToAvoid sends in a row that failed make an entry avoid an endpoint for
	// avoidTime.
	failuresToAvoid = 2
	avoidTime       = time.Second
)

// Outcome ends a request for a place.
type Outcome struct {
	// Grant is set unless there is a Refusal.
	Grant *Grant
	// Refusal is a result code. RetryAfter is the time after which another
	// attempt may succeed; zero if unknown.
	Refusal    resultcode.Code
	RetryAfter time.Duration
	// Reason says why no endpoint could take a refused request.
	Reason UnavailableReason
}

// Grant is a slot at an endpoint that this entry holds.
type Grant struct {
	EndpointID, Address string
	id                  uint64
	broker              string
	key                 modelKey
	work                Usage
}

// SlotRequest is a request of this entry for a slot.
type SlotRequest struct {
	id      uint64
	query   *Query
	key     modelKey
	target  time.Duration
	expires time.Duration
	outcome func(Outcome)
	// broker was asked last, at sent. While it is silent, unanswered is when the
	// first send without an answer was made.
	broker           string
	sent, unanswered time.Duration
	silent           bool
	absence          UnavailableReason
}

// UnavailableReason returns the reason that the broker last reported for the
// wait.
func (a *SlotRequest) UnavailableReason() UnavailableReason { return a.absence }

// Client asks brokers for places on behalf of one entry.
type Client struct {
	owners     *Owners
	dataCentre string
	out        *outbox
	next       uint64
	asks       map[uint64]*SlotRequest
	places     map[uint64]*Grant
	// brokers are those that gave places, and when they did last; listed is when
	// they last got a list.
	brokers, listed map[string]time.Duration
	probed          time.Duration
	ticked          time.Duration
	// failures of sends in a row by endpoint, and until when it is avoided.
	failures map[string]int
	avoid    map[string]time.Duration
	now      time.Duration // of the present step
}

func newClient(o *Owners, out *outbox) *Client {
	return &Client{
		owners: o, out: out, asks: map[uint64]*SlotRequest{}, places: map[uint64]*Grant{},
		brokers: map[string]time.Duration{}, listed: map[string]time.Duration{}, failures: map[string]int{}, avoid: map[string]time.Duration{},
	}
}

func (c *Client) ask(a *SlotRequest) {
	c.next++
	a.id = c.next
	c.asks[a.id] = a
	a.broker = c.owners.BrokerOf(c.now, a.key)
	c.send(a)
}

func (c *Client) send(a *SlotRequest) {
	a.sent = c.now
	if !a.silent {
		a.silent, a.unanswered = true, c.now
	}
	q := a.query
	c.out.request(a.broker, &peerv1.PlaceRequest{
		Id: a.id, Service: q.Service, Model: q.Model, Adapter: q.Adapter, Affinity: q.Affinity,
		PromptTokens: uint32(q.PromptTokens), HeldTokens: uint32(q.HeldTokens), Urgency: uint32(q.Urgency),
		TargetMs: int32((a.target - c.now).Milliseconds()), WaitMs: int32((a.expires - c.now).Milliseconds()),
		Exclude: q.Exclude, Avoid: c.avoided(), DataCentre: c.dataCentre,
	})
}

// cancel ends a request that has no outcome. It reports whether there was none.
func (c *Client) cancel(a *SlotRequest) bool {
	if c.asks[a.id] != a {
		return false
	}
	delete(c.asks, a.id)
	c.out.report(a.broker, &peerv1.PlaceReport{Id: a.id, Released: true})
	return true
}

// answer takes over a broker's answer.
func (c *Client) answer(from string, r *peerv1.PlaceAnswer) {
	a := c.asks[r.GetId()]
	if a == nil || a.broker != from {
		if held := c.places[r.GetId()]; r.GetEndpoint() != "" && (held == nil || held.broker != from) {
			// The request has ended, or another broker was asked since.
			c.out.report(from, &peerv1.PlaceReport{Id: r.GetId(), Released: true})
		}
		return
	}
	a.silent = false
	a.absence = UnavailableReason(min(r.GetAbsence(), uint32(Full)))
	switch {
	case r.GetEndpoint() != "":
		p := &Grant{
			EndpointID: r.GetEndpoint(), Address: r.GetAddress(), id: a.id, broker: from, key: a.key,
			work: Usage{1, a.query.PromptTokens, a.query.HeldTokens},
		}
		c.places[a.id] = p
		c.brokers[from] = c.now
		delete(c.asks, a.id)
		a.outcome(Outcome{Grant: p})
	case r.GetRefusal() != 0:
		delete(c.asks, a.id)
		a.outcome(Outcome{Refusal: resultcode.Code(r.GetRefusal()), RetryAfter: milliseconds(int64(r.GetRetryAfterMs())), Reason: a.absence})
	}
}

// begun reports that a request's prompt has been read.
func (c *Client) begun(p *Grant) {
	if p.work.PromptTokens == 0 || c.places[p.id] != p {
		return
	}
	p.work.PromptTokens = 0
	c.out.report(p.broker, &peerv1.PlaceReport{Id: p.id, Begun: true})
}

// done gives a place back.
func (c *Client) done(p *Grant, r Result, leaving bool) {
	if c.places[p.id] != p {
		return
	}
	delete(c.places, p.id)
	c.observe(p.EndpointID, r)
	c.out.report(p.broker, &peerv1.PlaceReport{Id: p.id, Released: true, Result: uint32(r), Leaving: leaving})
}

// observe learns which endpoints this entry cannot reach.
func (c *Client) observe(endpoint string, r Result) {
	switch r {
	case Succeeded, Refused, Absent:
		delete(c.failures, endpoint)
	case Failed:
		if c.failures[endpoint]++; c.failures[endpoint] >= failuresToAvoid {
			c.avoid[endpoint] = c.now + avoidTime
		}
	case Unknown:
	}
}

// avoided lists the endpoints that this entry cannot reach now.
func (c *Client) avoided() []string {
	var out []string
	for id, until := range c.avoid {
		if c.now < until {
			out = append(out, id)
		}
	}
	return out
}

// forgetOld ends what is avoided.
func (c *Client) forgetOld() {
	for id, until := range c.avoid {
		if c.now >= until+avoidTime {
			delete(c.avoid, id)
			delete(c.failures, id)
		}
	}
}

// tick repeats what is unanswered and lists the places to their brokers.
func (c *Client) tick() {
	stalled := c.now-c.ticked > ownStall
	c.ticked = c.now
	for _, id := range sortedKeys(c.asks) {
		a := c.asks[id]
		if a == nil {
			continue // it ended meanwhile
		}
		if stalled {
			a.unanswered = c.now
		}
		c.remind(a)
	}
	c.list()
	c.probe()
	c.forgetOld()
}

// remind sends a request again when that is due, to another broker if the
// present one is silent or no longer the one to ask.
func (c *Client) remind(a *SlotRequest) {
	if a.silent && a.broker != c.owners.self && c.now-a.unanswered >= brokerSilent {
		c.owners.MarkDown(c.now, a.broker)
	}
	if owner := c.owners.BrokerOf(c.now, a.key); owner != a.broker {
		c.out.report(a.broker, &peerv1.PlaceReport{Id: a.id, Released: true})
		a.broker, a.silent = owner, false
		c.send(a)
		return
	}
	wait := askInterval
	if a.silent {
		wait = askFirst
	}
	if c.now-a.sent >= wait {
		c.send(a)
	}
}

// list tells each broker which of its places are held. What a broker gave out
// goes to its successor once there is one.
func (c *Client) list() {
	lists := map[string]*peerv1.PlaceList{}
	for broker, at := range c.brokers {
		if c.now-at > listedFor {
			delete(c.brokers, broker)
			continue
		}
		lists[broker] = &peerv1.PlaceList{}
	}
	for _, id := range sortedKeys(c.places) {
		p := c.places[id]
		p.broker = c.owners.BrokerOf(c.now, p.key)
		c.brokers[p.broker] = c.now
		l := lists[p.broker]
		if l == nil {
			l = &peerv1.PlaceList{}
			lists[p.broker] = l
		}
		l.Places = append(l.Places, &peerv1.HeldPlace{Id: p.id, Endpoint: p.EndpointID, PromptTokens: uint32(p.work.PromptTokens), HeldTokens: uint32(p.work.HeldTokens)})
	}
	for broker, l := range lists {
		if at, ok := c.listed[broker]; ok && c.now-at < refreshInterval {
			continue
		}
		c.listed[broker] = c.now
		c.out.to(broker).Held = l
	}
	for broker, at := range c.listed {
		if c.now-at > 2*listedFor {
			delete(c.listed, broker)
		}
	}
}

// probe asks entries that are passed over for a sign of life.
func (c *Client) probe() {
	if c.now-c.probed < refreshInterval {
		return
	}
	c.probed = c.now
	for _, entry := range c.owners.Down(c.now) {
		c.out.to(entry).Probe = true
	}
}

func sortedKeys[V any](m map[uint64]V) []uint64 {
	out := make([]uint64, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}
