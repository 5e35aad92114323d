package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
)

// Envelope is a message for another entry.
type Envelope struct {
	To      string
	Message *peerv1.PlaceMessage
}

// outbox collects the messages of one step by receiver.
type outbox struct {
	self    Sender
	pending map[string]*peerv1.PlaceMessage
	order   []string
}

func (o *outbox) messageTo(entry string) *peerv1.PlaceMessage {
	m := o.pending[entry]
	if m == nil {
		m = &peerv1.PlaceMessage{Sender: o.self.Address, Incarnation: o.self.Incarnation}
		o.pending[entry] = m
		o.order = append(o.order, entry)
	}
	return m
}

func (o *outbox) request(to string, r *peerv1.PlaceRequest) {
	m := o.messageTo(to)
	m.Requests = append(m.Requests, r)
}

func (o *outbox) report(to string, r *peerv1.PlaceReport) {
	m := o.messageTo(to)
	m.Reports = append(m.Reports, r)
}

func (o *outbox) answer(to string, a *peerv1.PlaceAnswer) {
	m := o.messageTo(to)
	m.Answers = append(m.Answers, a)
}

// drain returns the collected messages and empties the outbox.
func (o *outbox) drain() []Envelope {
	out := make([]Envelope, 0, len(o.order))
	for _, to := range o.order {
		out = append(out, Envelope{To: to, Message: o.pending[to]})
	}
	o.order = nil
	clear(o.pending)
	return out
}

// Entry is one entry's side of the slot protocol: it requests slots for its own
// requests, and is the broker of some models. Each method is one step; the
// messages that result are returned by Messages afterwards.
type Entry struct {
	self    Sender
	Table   *Table
	Owners  *Owners
	client  *Client
	broker  *Broker
	permits *permitManager
	out     *outbox
	// lastGossip is when other entries were last told what endpoints state.
	lastGossip time.Duration
}

// NewEntry returns an Entry that knows no other entries.
func NewEntry(self Sender, dataCentre string) *Entry {
	out := &outbox{self: self, pending: map[string]*peerv1.PlaceMessage{}}
	e := &Entry{self: self, Table: NewTable(), Owners: NewOwners(self.Address), out: out}
	e.Table.owners = e.Owners
	e.client = newClient(e.Owners, out)
	e.client.advice = e.Table.adviceMessages
	e.client.pauses = e.Table.pauses
	e.client.dataCentre = dataCentre
	e.broker = newBroker(e.Table, e.Owners, out)
	e.permits = newPermitManager(self, e.Table, e.Owners, out)
	return e
}

func preferenceOf(address string) uint64 { return xxhash.Sum64String(address) }

func (e *Entry) setNow(now time.Duration) {
	e.client.now, e.broker.now = now, now
}

// RequestSlot requests a slot at an engine. A slot granted before target leads
// to an answer on time; the request waits until expires. The outcome is
// reported once unless the request is cancelled, possibly before RequestSlot
// returns.
func (e *Entry) RequestSlot(now time.Duration, q *Query, target, expires time.Duration, outcome func(Outcome)) *SlotRequest {
	e.setNow(now)
	req := &SlotRequest{query: q, key: modelKey{q.Service, q.Model}, target: target, expires: expires, outcome: outcome}
	e.client.request(req)
	e.deliverToSelf()
	return req
}

// Cancel withdraws a request. It returns false if the request already has an
// outcome.
func (e *Entry) Cancel(now time.Duration, req *SlotRequest) bool {
	e.setNow(now)
	ended := e.client.cancel(req)
	e.deliverToSelf()
	return ended
}

// MarkPrefilled reports that the first event of a request has arrived, so the
// prefill of its prompt is done.
func (e *Entry) MarkPrefilled(now time.Duration, grant *Grant) {
	e.setNow(now)
	e.client.markPrefilled(grant)
	e.deliverToSelf()
}

// Release releases a slot and reports the result of the request. leaving says
// that the endpoint announced that it leaves.
func (e *Entry) Release(now time.Duration, grant *Grant, r Result, leaving bool) {
	e.setNow(now)
	e.client.release(grant, r, leaving)
	if e.Table.noteSent(now, grant.EndpointID, r) {
		e.tellBrokers(now, e.Table.endpoints[grant.EndpointID])
	}
	e.deliverToSelf()
}

// SetEndpoints replaces the list of endpoints.
func (e *Entry) SetEndpoints(now time.Duration, list []Endpoint) {
	e.setNow(now)
	e.Table.listAt = now
	e.Table.Update(list)
	e.broker.dispatchAll()
	e.deliverToSelf()
}

// SetReady sets when a model that is resident nowhere is expected to be ready.
// Requests that cannot wait for it are refused.
func (e *Entry) SetReady(now time.Duration, m MissingModel, at time.Duration) {
	e.setNow(now)
	e.broker.setReady(m, at)
	e.deliverToSelf()
}

// SetUnavailable records that no endpoint with the software version can load a model.
// Requests for it are refused.
func (e *Entry) SetUnavailable(now time.Duration, m MissingModel) { e.SetReady(now, m, never) }

// TakeMissingModels returns and clears the models and adapters that waiting
// requests have lacked since the last call.
func (e *Entry) TakeMissingModels() []MissingModel {
	out := make([]MissingModel, 0, len(e.broker.missing))
	for n := range e.broker.missing {
		out = append(out, n)
	}
	clear(e.broker.missing)
	return out
}

// ForEachWaiting calls f for each request of this entry that has no slot yet.
func (e *Entry) ForEachWaiting(f func(q *Query)) {
	for _, req := range e.client.requests {
		f(req.query)
	}
}

// Step processes a message of another entry.
func (e *Entry) Step(now time.Duration, m *peerv1.PlaceMessage) {
	e.setNow(now)
	e.step(m)
	e.deliverToSelf()
}

func (e *Entry) step(m *peerv1.PlaceMessage) {
	from := Sender{m.GetSender(), m.GetIncarnation()}
	e.Owners.MarkUp(from.Address)
	if m.GetProbe() {
		e.out.messageTo(from.Address)
	}
	if len(m.GetRequests()) > 0 || len(m.GetReports()) > 0 || m.GetHeld() != nil {
		e.broker.markSeen(from)
	}
	// Advice comes first: what it says binds the answers to the requests.
	e.Table.applyAdvice(e.broker.now, m.GetAdvice())
	for _, r := range m.GetReports() {
		e.broker.handleReport(from, r)
	}
	if m.GetHeld() != nil {
		e.broker.reconcileGrants(from, m.GetHeld())
	}
	for _, r := range m.GetRequests() {
		e.broker.handleRequest(from, r)
	}
	if m.GetLoads() != nil {
		e.broker.applyLoads(from, m.GetLoads())
	}
	for _, p := range m.GetPermits() {
		if e.permits.handlePermit(e.broker.now, from, p) {
			e.broker.dispatchEndpoint(p.GetEndpoint())
		}
	}
	for _, r := range m.GetPermitRequests() {
		e.permits.handleRequest(e.broker.now, from, r)
	}
	for _, a := range m.GetAnswers() {
		e.client.handleAnswer(from.Address, a)
	}
}

// Tick runs everything that depends on time: resends, expiry, refreshes. It is
// due every TickInterval.
func (e *Entry) Tick(now time.Duration) {
	e.setNow(now)
	e.client.tick()
	e.broker.tick()
	e.permits.tick(now)
	e.gossipAdvice(now)
	e.deliverToSelf()
}

// TickInterval is the time between two calls of Tick.
const TickInterval = 20 * time.Millisecond

// deliverToSelf processes the messages of this entry to itself until there are
// none left.
func (e *Entry) deliverToSelf() {
	e.permits.ask(e.broker.now, e.broker.waitingFor)
	for {
		m := e.out.pending[e.self.Address]
		if m == nil {
			break
		}
		e.out.remove(e.self.Address)
		e.step(m)
	}
	e.broker.sendChanges()
}

func (o *outbox) remove(entry string) {
	delete(o.pending, entry)
	for i, to := range o.order {
		if to == entry {
			o.order = append(o.order[:i], o.order[i+1:]...)
			return
		}
	}
}

// Messages returns the messages to other entries that resulted from the steps
// since the last call.
func (e *Entry) Messages() []Envelope { return e.out.drain() }
