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

// outbox collects what one step has to say to each entry.
type outbox struct {
	self    Sender
	pending map[string]*peerv1.PlaceMessage
	order   []string
}

func (o *outbox) to(entry string) *peerv1.PlaceMessage {
	m := o.pending[entry]
	if m == nil {
		m = &peerv1.PlaceMessage{Sender: o.self.Address, Incarnation: o.self.Incarnation}
		o.pending[entry] = m
		o.order = append(o.order, entry)
	}
	return m
}

func (o *outbox) request(to string, r *peerv1.PlaceRequest) {
	m := o.to(to)
	m.Requests = append(m.Requests, r)
}

func (o *outbox) report(to string, r *peerv1.PlaceReport) {
	m := o.to(to)
	m.Reports = append(m.Reports, r)
}

func (o *outbox) answer(to string, a *peerv1.PlaceAnswer) {
	m := o.to(to)
	m.Answers = append(m.Answers, a)
}

// take empties the outbox.
func (o *outbox) take() []Envelope {
	out := make([]Envelope, 0, len(o.order))
	for _, to := range o.order {
		out = append(out, Envelope{To: to, Message: o.pending[to]})
	}
	o.order = nil
	clear(o.pending)
	return out
}

// Entry is one entry's part in giving out places: it asks for its own requests,
// and is the broker of some models. Each method is one step; what it has to say
// to other entries is in Messages afterwards.
type Entry struct {
	self   Sender
	Table  *Table
	Owners *Owners
	client *Client
	broker *Broker
	out    *outbox
}

// NewEntry returns an Entry that knows no other one.
func NewEntry(self Sender, dataCentre string) *Entry {
	out := &outbox{self: self, pending: map[string]*peerv1.PlaceMessage{}}
	e := &Entry{self: self, Table: NewTable(), Owners: NewOwners(self.Address), out: out}
	e.client = newClient(e.Owners, out)
	e.client.dataCentre = dataCentre
	e.broker = newBroker(e.Table, e.Owners, out)
	return e
}

func preferenceOf(address string) uint64 { return xxhash.Sum64String(address) }

func (e *Entry) begin(now time.Duration) {
	e.client.now, e.broker.now = now, now
}

// RequestSlot requests a slot at an engine. A slot granted before target leads
// to an answer on time; the request waits until expires. The outcome is
// reported once unless the request is cancelled, possibly before RequestSlot
// returns.
func (e *Entry) RequestSlot(now time.Duration, q *Query, target, expires time.Duration, outcome func(Outcome)) *SlotRequest {
	e.begin(now)
	a := &SlotRequest{query: q, key: modelKey{q.Service, q.Model}, target: target, expires: expires, outcome: outcome}
	e.client.ask(a)
	e.deliverOwn()
	return a
}

// Cancel withdraws a request. It returns false if the request already has an
// outcome.
func (e *Entry) Cancel(now time.Duration, a *SlotRequest) bool {
	e.begin(now)
	ended := e.client.cancel(a)
	e.deliverOwn()
	return ended
}

// MarkPrefilled reports that the first event of a request has arrived, so the
// prefill of its prompt is done.
func (e *Entry) MarkPrefilled(now time.Duration, p *Grant) {
	e.begin(now)
	e.client.begun(p)
	e.deliverOwn()
}

// Release releases a slot and reports the result of the request. leaving says
// that the endpoint announced that it leaves.
func (e *Entry) Release(now time.Duration, p *Grant, r Result, leaving bool) {
	e.begin(now)
	e.client.done(p, r, leaving)
	e.deliverOwn()
}

// SetEndpoints takes over a list of endpoints.
func (e *Entry) SetEndpoints(now time.Duration, list []Endpoint) {
	e.begin(now)
	e.Table.Update(list)
	e.broker.dispatchAll()
	e.deliverOwn()
}

// SetReady says when a model that is resident nowhere is expected. Requests that
// cannot wait for it are refused.
func (e *Entry) SetReady(now time.Duration, service, model string, at time.Duration) {
	e.begin(now)
	e.broker.setReady(modelKey{service, model}, at)
	e.deliverOwn()
}

// TakeMissingModels returns and clears the models and adapters that waiting
// requests have lacked since the last call.
func (e *Entry) TakeMissingModels() []MissingModel {
	out := make([]MissingModel, 0, len(e.broker.needs))
	for n := range e.broker.needs {
		out = append(out, n)
	}
	clear(e.broker.needs)
	return out
}

// ForEachWaiting calls f for each request of this entry that has no slot yet.
func (e *Entry) ForEachWaiting(f func(q *Query)) {
	for _, a := range e.client.asks {
		f(a.query)
	}
}

// Step takes over a message of another entry.
func (e *Entry) Step(now time.Duration, m *peerv1.PlaceMessage) {
	e.begin(now)
	e.step(m)
	e.deliverOwn()
}

func (e *Entry) step(m *peerv1.PlaceMessage) {
	from := Sender{m.GetSender(), m.GetIncarnation()}
	e.Owners.MarkUp(from.Address)
	if m.GetProbe() {
		e.out.to(from.Address)
	}
	if len(m.GetRequests()) > 0 || len(m.GetReports()) > 0 || m.GetHeld() != nil {
		e.broker.hear(from)
	}
	for _, r := range m.GetReports() {
		e.broker.report(from, r)
	}
	if m.GetHeld() != nil {
		e.broker.held(from, m.GetHeld())
	}
	for _, r := range m.GetRequests() {
		e.broker.request(from, r)
	}
	if m.GetLoads() != nil {
		e.broker.loads(from, m.GetLoads())
	}
	for _, a := range m.GetAnswers() {
		e.client.answer(from.Address, a)
	}
}

// Tick looks at everything that time changes. It is due each TickInterval.
func (e *Entry) Tick(now time.Duration) {
	e.begin(now)
	e.client.tick()
	e.broker.tick()
	e.deliverOwn()
}

// TickInterval is the time between two calls of Tick.
const TickInterval = 20 * time.Millisecond

// deliverOwn hands the messages to itself over until there are none.
func (e *Entry) deliverOwn() {
	for {
		m := e.out.pending[e.self.Address]
		if m == nil {
			break
		}
		e.out.remove(e.self.Address)
		e.step(m)
	}
	e.broker.tellChanged()
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

// Messages returns what the steps since the last call have to say.
func (e *Entry) Messages() []Envelope { return e.out.take() }
