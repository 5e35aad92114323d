package pool

import (
	"math"
	"slices"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// Parameters of an entry that requests slots.
const (
	// firstResend is the time after which an unanswered request is sent again,
	// and brokerTimeout the time after which its broker is marked down. A broker
	// answers within 3 ms unless its VM is short of CPU time.
	firstResend   = 40 * time.Millisecond
	brokerTimeout = 150 * time.Millisecond
	// resendInterval is how often a waiting request is sent again.
	resendInterval = 250 * time.Millisecond
	// listRetention is how long a broker still receives grant lists after the
	// last slot that it granted: a release may have been lost.
	listRetention = 3 * time.Second
	// stallThreshold is the time between two ticks from which this entry itself
	// counts as stalled. Missing answers are then no sign of a broker's failure.
	stallThreshold = 100 * time.Millisecond
	// failuresBeforeAvoid consecutive failed sends make an entry avoid an
	// endpoint for avoidTime.
	failuresBeforeAvoid = 2
	avoidTime           = time.Second
)

// Outcome is the final result of a slot request.
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
	// SlowdownPercent is the slowdown that the endpoint stated with its answer; zero
	// if it stated none, or once the broker was told.
	SlowdownPercent int
	requestID       uint64
	broker          string
	key             modelKey
	usage           Usage
}

// SlotRequest is a request of this entry for a slot.
type SlotRequest struct {
	id      uint64
	query   *Query
	key     modelKey
	target  time.Duration
	expires time.Duration
	outcome func(Outcome)
	// broker is the entry that the request was last sent to, at lastSent. While
	// awaitingAnswer is set, unansweredSince is the time of the first send
	// without an answer.
	broker                    string
	lastSent, unansweredSince time.Duration
	awaitingAnswer            bool
	reason                    UnavailableReason
}

// UnavailableReason returns the reason that the broker last reported for the
// wait.
func (r *SlotRequest) UnavailableReason() UnavailableReason { return r.reason }

// Client requests slots from brokers on behalf of one entry.
type Client struct {
	owners     *Owners
	dataCentre string
	out        *outbox
	next       uint64
	requests   map[uint64]*SlotRequest
	grants     map[uint64]*Grant
	// brokers holds when each broker last granted a slot or had one listed;
	// lastListed is when a list was last sent to it.
	brokers, lastListed map[string]time.Duration
	lastProbe           time.Duration
	lastTick            time.Duration
	// failures counts consecutive failed sends by endpoint; avoidUntil is when
	// the endpoint is tried again.
	failures   map[string]int
	avoidUntil map[string]time.Duration
	// advice returns what this entry knows about endpoints that state something,
	// adviceSent when each broker was last sent it.
	advice     func(now time.Duration) []*peerv1.EndpointAdvice
	adviceSent map[string]time.Duration
	// pauses returns the endpoints that want no requests from this entry.
	pauses func(now time.Duration) []*peerv1.PausedEndpoint
	now    time.Duration // of the current step
}

func newClient(o *Owners, out *outbox) *Client {
	return &Client{
		owners: o, out: out, requests: map[uint64]*SlotRequest{}, grants: map[uint64]*Grant{},
		brokers: map[string]time.Duration{}, lastListed: map[string]time.Duration{}, failures: map[string]int{}, avoidUntil: map[string]time.Duration{},
		adviceSent: map[string]time.Duration{},
	}
}

func (c *Client) request(req *SlotRequest) {
	c.next++
	req.id = c.next
	c.requests[req.id] = req
	req.broker = c.owners.BrokerOf(c.now, req.key)
	c.sendRequest(req)
}

func (c *Client) sendRequest(req *SlotRequest) {
	req.lastSent = c.now
	if !req.awaitingAnswer {
		req.awaitingAnswer, req.unansweredSince = true, c.now
	}
	c.sendAdvice(req.broker)
	q := req.query
	c.out.request(req.broker, &peerv1.PlaceRequest{
		Id: req.id, Service: q.Service, Model: q.Model, Adapter: q.Adapter, Affinity: q.Affinity,
		PromptTokens: uint32(q.PromptTokens), HeldTokens: uint32(q.HeldTokens), Urgency: uint32(q.Urgency),
		TargetMs: int32((req.target - c.now).Milliseconds()), WaitMs: int32((req.expires - c.now).Milliseconds()),
		Exclude: q.Exclude, Avoid: c.avoidedEndpoints(), DataCentre: c.dataCentre, Paused: c.pauses(c.now),
		Customer: q.Customer, Work: uint32(min(max(0, q.Work), math.MaxUint32)),
		SoftwareVersion: q.SoftwareVersion,
	})
}

// sendAdvice sends a broker what this entry knows about endpoints, at most once in
// refreshInterval. A broker that has just taken over a model knows nothing.
func (c *Client) sendAdvice(broker string) {
	if at, ok := c.adviceSent[broker]; ok && c.now-at < refreshInterval {
		return
	}
	if list := c.advice(c.now); len(list) > 0 {
		c.out.messageTo(broker).Advice = list
	}
	c.adviceSent[broker] = c.now
}

// cancel withdraws a request. It returns false if the request already has an
// outcome.
func (c *Client) cancel(req *SlotRequest) bool {
	if c.requests[req.id] != req {
		return false
	}
	delete(c.requests, req.id)
	c.out.report(req.broker, &peerv1.PlaceReport{Id: req.id, Released: true})
	return true
}

// handleAnswer processes a broker's answer.
func (c *Client) handleAnswer(from string, r *peerv1.PlaceAnswer) {
	req := c.requests[r.GetId()]
	if req == nil || req.broker != from {
		if held := c.grants[r.GetId()]; r.GetEndpoint() != "" && (held == nil || held.broker != from) {
			// The request has ended or was sent to another broker since.
			c.out.report(from, &peerv1.PlaceReport{Id: r.GetId(), Released: true})
		}
		return
	}
	req.awaitingAnswer = false
	req.reason = UnavailableReason(min(r.GetAbsence(), uint32(Full)))
	switch {
	case r.GetEndpoint() != "":
		grant := &Grant{
			EndpointID: r.GetEndpoint(), Address: r.GetAddress(), requestID: req.id, broker: from, key: req.key,
			usage: Usage{1, req.query.PromptTokens, req.query.HeldTokens},
		}
		c.grants[req.id] = grant
		c.brokers[from] = c.now
		delete(c.requests, req.id)
		req.outcome(Outcome{Grant: grant})
	case r.GetRefusal() != 0:
		delete(c.requests, req.id)
		req.outcome(Outcome{Refusal: resultcode.Code(r.GetRefusal()), RetryAfter: milliseconds(int64(r.GetRetryAfterMs())), Reason: req.reason})
	}
}

// markPrefilled reports that the prefill of a request is done.
func (c *Client) markPrefilled(grant *Grant) {
	if grant.usage.PromptTokens == 0 || c.grants[grant.requestID] != grant {
		return
	}
	grant.usage.PromptTokens = 0
	c.out.report(grant.broker, &peerv1.PlaceReport{Id: grant.requestID, Begun: true, SlowdownPercent: grant.takeSlowdown()})
}

// release releases a slot and reports the result of the request.
func (c *Client) release(grant *Grant, r Result, leaving bool) {
	if c.grants[grant.requestID] != grant {
		return
	}
	delete(c.grants, grant.requestID)
	c.recordResult(grant.EndpointID, r)
	c.out.report(grant.broker, &peerv1.PlaceReport{
		Id: grant.requestID, Released: true, Result: uint32(r), Leaving: leaving, SlowdownPercent: grant.takeSlowdown(),
	})
}

// takeSlowdown returns the slowdown that the broker does not know yet. At the end of a
// stream the figure that came with its head is too old to be reported again.
func (g *Grant) takeSlowdown() uint32 {
	percent := g.SlowdownPercent
	g.SlowdownPercent = 0
	return uint32(min(max(0, percent), math.MaxInt32))
}

// recordResult tracks which endpoints this entry cannot reach.
func (c *Client) recordResult(endpoint string, r Result) {
	switch r {
	case Succeeded, Refused, Absent:
		delete(c.failures, endpoint)
	case Failed:
		if c.failures[endpoint]++; c.failures[endpoint] >= failuresBeforeAvoid {
			c.avoidUntil[endpoint] = c.now + avoidTime
		}
	case Unknown:
	}
}

// avoidedEndpoints lists the endpoints that this entry cannot reach now.
func (c *Client) avoidedEndpoints() []string {
	var out []string
	for id, until := range c.avoidUntil {
		if c.now < until {
			out = append(out, id)
		}
	}
	return out
}

// expireAvoided resets the failures of an endpoint avoidTime after it may be
// tried again.
func (c *Client) expireAvoided() {
	for id, until := range c.avoidUntil {
		if c.now >= until+avoidTime {
			delete(c.avoidUntil, id)
			delete(c.failures, id)
		}
	}
}

// tick sends unanswered requests again, and sends grant lists and probes.
func (c *Client) tick() {
	stalled := c.now-c.lastTick > stallThreshold
	c.lastTick = c.now
	for _, id := range sortedKeys(c.requests) {
		req := c.requests[id]
		if req == nil {
			continue // ended in the meantime
		}
		if stalled {
			req.unansweredSince = c.now
		}
		c.resendIfDue(req)
	}
	c.sendGrantLists()
	c.probe()
	c.expireAvoided()
}

// resendIfDue sends a request again when that is due, and to another broker if
// the present one is down or no longer owns the model.
func (c *Client) resendIfDue(req *SlotRequest) {
	if req.awaitingAnswer && req.broker != c.owners.self && c.now-req.unansweredSince >= brokerTimeout {
		c.owners.MarkDown(c.now, req.broker)
	}
	if owner := c.owners.BrokerOf(c.now, req.key); owner != req.broker {
		c.out.report(req.broker, &peerv1.PlaceReport{Id: req.id, Released: true})
		req.broker, req.awaitingAnswer = owner, false
		c.sendRequest(req)
		return
	}
	wait := resendInterval
	if req.awaitingAnswer {
		wait = firstResend
	}
	if c.now-req.lastSent >= wait {
		c.sendRequest(req)
	}
}

// sendGrantLists tells each broker which of its slots are held. Slots of a
// replaced broker are listed to its successor.
func (c *Client) sendGrantLists() {
	lists := map[string]*peerv1.PlaceList{}
	for broker, at := range c.brokers {
		if c.now-at > listRetention {
			delete(c.brokers, broker)
			continue
		}
		lists[broker] = &peerv1.PlaceList{}
	}
	for _, id := range sortedKeys(c.grants) {
		grant := c.grants[id]
		grant.broker = c.owners.BrokerOf(c.now, grant.key)
		c.brokers[grant.broker] = c.now
		l := lists[grant.broker]
		if l == nil {
			l = &peerv1.PlaceList{}
			lists[grant.broker] = l
		}
		l.Places = append(l.Places, &peerv1.HeldPlace{Id: grant.requestID, Endpoint: grant.EndpointID, PromptTokens: uint32(grant.usage.PromptTokens), HeldTokens: uint32(grant.usage.HeldTokens)})
	}
	for broker, l := range lists {
		if at, ok := c.lastListed[broker]; ok && c.now-at < refreshInterval {
			continue
		}
		c.lastListed[broker] = c.now
		c.out.messageTo(broker).Held = l
	}
	for broker, at := range c.lastListed {
		if c.now-at > 2*listRetention {
			delete(c.lastListed, broker)
		}
	}
}

// probe sends a probe to entries that are marked down, to learn when they
// answer again.
func (c *Client) probe() {
	if c.now-c.lastProbe < refreshInterval {
		return
	}
	c.lastProbe = c.now
	for _, entry := range c.owners.Down(c.now) {
		c.out.messageTo(entry).Probe = true
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
