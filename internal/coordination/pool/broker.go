package pool

import (
	"slices"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/coordination/directory"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// Constants of a broker.
const (
	// askAge is how long a waiting request stays without a word of its entry, which
	// repeats it each askInterval.
	askAge = time.Second
	// placeAge is how long a place stays without a word of the entry that holds it,
	// which lists its places each refreshInterval.
	placeAge = 2500 * time.Millisecond
	// unlistedAge is the age from which a place must be in its entry's list: a list
	// may have been made before the entry knew of the place.
	unlistedAge = 500 * time.Millisecond
	// overloadTime is how long requests that can be in time must have waited without
	// a break before late ones are refused: until then a burst may pass.
	overloadTime = 1500 * time.Millisecond
	// comeBackMin and comeBackSpread advise a request that was refused under overload
	// when to come back. New copies of a model take seconds, and those that return at
	// once only wait again.
	comeBackMin    = 3 * time.Second
	comeBackSpread = 2 * time.Second
)

// askKey names a request over all entries.
type askKey struct {
	from Sender
	id   uint64
}

// asking is a request that waits at a broker.
type asking struct {
	waiter *Waiter
	key    modelKey
	heard  time.Duration
}

// place is a place that a broker gave out.
type place struct {
	ticket         *Reservation
	model, adapter string
	given          time.Duration
}

// holder is an entry that asked for places.
type holder struct {
	from  Sender
	heard time.Duration
}

// MissingModel is a model, or an adapter of it, that requests wait for and that
// no endpoint has.
type MissingModel struct{ Service, Model, Adapter string }

// Broker gives out the places of engines to the requests of all entries.
type Broker struct {
	table  *Table
	owners *Owners
	queues map[modelKey]*Queue
	asking map[askKey]*asking
	places map[askKey]*place
	// holders are by address; a new incarnation ends the places of the one before.
	holders map[string]*holder
	// ready is when a model that is resident nowhere is expected.
	ready map[modelKey]time.Duration
	// needs was missing at the last look.
	needs map[MissingModel]bool
	out   *outbox
	// waiting are the models with requests that found every engine full.
	waiting map[modelKey]bool
	// room is when requests for a model were last without one that could be in time
	// and waited for a place.
	room map[modelKey]time.Duration
	// refreshed is when other brokers were last told everything; seq numbers
	// updates.
	refreshed time.Duration
	seq       uint64
	now       time.Duration // of the present step
}

func newBroker(t *Table, o *Owners, out *outbox) *Broker {
	return &Broker{
		table: t, owners: o, out: out, queues: map[modelKey]*Queue{}, asking: map[askKey]*asking{}, places: map[askKey]*place{},
		holders: map[string]*holder{}, ready: map[modelKey]time.Duration{}, needs: map[MissingModel]bool{}, waiting: map[modelKey]bool{}, room: map[modelKey]time.Duration{},
	}
}

// hear notes who is alive. Nothing that an earlier incarnation held remains.
func (b *Broker) hear(from Sender) {
	h := b.holders[from.Address]
	if h == nil || h.from != from {
		if h != nil {
			b.forget(h.from)
		}
		h = &holder{from: from}
		b.holders[from.Address] = h
	}
	h.heard = b.now
}

// forget ends everything of an incarnation.
func (b *Broker) forget(from Sender) {
	for key, p := range b.places {
		if key.from == from {
			b.release(key, p, Unknown)
		}
	}
	for key, a := range b.asking {
		if key.from == from {
			b.drop(key, a)
		}
	}
}

func (b *Broker) drop(key askKey, a *asking) {
	b.queues[a.key].Remove(a.waiter)
	delete(b.asking, key)
}

// release gives a place back. An endpoint counts as failed only if different
// entries say so one after the other: one of them may have lost its own path to
// it, and avoids it by itself.
func (b *Broker) release(key askKey, p *place, r Result) {
	e := p.ticket.target
	switch {
	case r == Succeeded:
		e.failedBy = ""
	case r == Failed && e.failedBy == key.from.Address:
		r = Unknown
	case r == Failed:
		e.failedBy = key.from.Address
	}
	b.table.Release(b.now, p.ticket, r, p.model, p.adapter)
	delete(b.places, key)
}

// request takes a request in, or answers a repeated one again.
func (b *Broker) request(from Sender, r *peerv1.PlaceRequest) {
	key := askKey{from, r.GetId()}
	if p := b.places[key]; p != nil {
		b.grant(key, p.ticket)
		return
	}
	a := b.asking[key]
	if a == nil {
		a = b.add(key, r)
		b.dispatch(a.key)
	}
	a.heard = b.now
	if b.asking[key] == a && !b.refuseHopeless(key, a) {
		b.out.answer(from.Address, &peerv1.PlaceAnswer{Id: r.GetId(), Absence: uint32(a.waiter.absence)})
	}
}

func (b *Broker) add(key askKey, r *peerv1.PlaceRequest) *asking {
	a := &asking{key: modelKey{r.GetService(), r.GetModel()}}
	a.waiter = &Waiter{
		Query: &Query{
			Service: r.GetService(), Model: r.GetModel(), Adapter: r.GetAdapter(), Affinity: r.GetAffinity(), Urgency: int(r.GetUrgency()),
			PromptTokens: int(r.GetPromptTokens()), HeldTokens: int(r.GetHeldTokens()), Exclude: r.GetExclude(), Avoid: r.GetAvoid(),
			Preference: preferenceOf(key.from.Address), DataCentre: r.GetDataCentre(),
		},
		Target:   b.now + milliseconds(int64(r.GetTargetMs())),
		Deadline: b.now + milliseconds(int64(r.GetWaitMs())),
		Granted: func(t *Reservation) {
			delete(b.asking, key)
			b.places[key] = &place{ticket: t, model: r.GetModel(), adapter: r.GetAdapter(), given: b.now}
			b.grant(key, t)
		},
	}
	q := b.queues[a.key]
	if q == nil {
		q = &Queue{}
		b.queues[a.key] = q
	}
	b.asking[key] = a
	q.Add(a.waiter)
	return a
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func (b *Broker) grant(key askKey, t *Reservation) {
	b.out.answer(key.from.Address, &peerv1.PlaceAnswer{Id: key.id, Endpoint: t.EndpointID, Address: t.Address})
}

func (b *Broker) refuse(key askKey, a *asking, code resultcode.Code, after time.Duration) {
	b.drop(key, a)
	b.out.answer(key.from.Address, &peerv1.PlaceAnswer{
		Id: key.id, Refusal: uint32(code), RetryAfterMs: uint32(after.Milliseconds()), Absence: uint32(a.waiter.absence),
	})
}

// refuseHopeless refuses a request that waiting does not help.
func (b *Broker) refuseHopeless(key askKey, a *asking) bool {
	w := a.waiter
	switch {
	case w.absence == NoModel && b.ready[a.key] > w.Deadline:
		b.refuse(key, a, resultcode.ModelLoading, b.ready[a.key]-b.now)
	case w.absence == NoEndpoints && len(w.Query.Exclude) > 0:
		b.refuse(key, a, resultcode.NoEndpoint, 0)
	case b.now >= w.Deadline:
		b.refuse(key, a, resultcode.DeadlineTooClose, 0)
	case w.absence == Full && b.now > w.Target && b.overloaded(a.key):
		b.refuse(key, a, resultcode.DeadlineTooClose, comeBackMin+time.Duration(b.table.rand()*float64(comeBackSpread)))
	default:
		return false
	}
	return true
}

func (b *Broker) setReady(key modelKey, at time.Duration) {
	b.ready[key] = at
	b.dispatch(key)
	for k, a := range b.asking {
		if a.key == key {
			b.refuseHopeless(k, a)
		}
	}
}

// overloaded says whether the places of a model do not suffice for the requests
// that can be in time. Then late ones never get any.
func (b *Broker) overloaded(key modelKey) bool {
	room, waits := b.room[key]
	return waits && b.now-room > overloadTime
}

// report takes over what became of a place.
func (b *Broker) report(from Sender, r *peerv1.PlaceReport) {
	key := askKey{from, r.GetId()}
	if a := b.asking[key]; a != nil && r.GetReleased() {
		b.drop(key, a) // it is no longer wanted
		return
	}
	p := b.places[key]
	if p == nil {
		return
	}
	if r.GetLeaving() {
		b.table.MarkLeaving(p.ticket.EndpointID)
	}
	if r.GetBegun() {
		b.table.MarkPrefilled(p.ticket)
	}
	if r.GetReleased() {
		b.release(key, p, Result(r.GetResult()))
	}
	b.dispatchEndpoint(p.ticket.EndpointID)
}

// held compares an entry's list of its places with what was given out. Places
// that a former broker gave out are taken over.
func (b *Broker) held(from Sender, list *peerv1.PlaceList) {
	listed := make(map[uint64]bool, len(list.GetPlaces()))
	for _, h := range list.GetPlaces() {
		listed[h.GetId()] = true
		key := askKey{from, h.GetId()}
		if b.places[key] != nil {
			continue
		}
		if t := b.table.Adopt(h.GetEndpoint(), Usage{1, int(h.GetPromptTokens()), int(h.GetHeldTokens())}); t != nil {
			b.places[key] = &place{ticket: t, given: b.now}
		}
	}
	for key, p := range b.places {
		if key.from == from && !listed[key.id] && b.now-p.given > unlistedAge {
			b.release(key, p, Unknown)
			b.dispatchEndpoint(p.ticket.EndpointID)
		}
	}
}

// dispatchEndpoint gives a free place at an endpoint to a waiting request.
func (b *Broker) dispatchEndpoint(id string) {
	e := b.table.endpoints[id]
	if e == nil {
		return
	}
	for _, m := range e.Models {
		b.dispatch(modelKey{e.Service, m.Model})
	}
}

func (b *Broker) dispatch(key modelKey) {
	q := b.queues[key]
	if q == nil || q.Len() == 0 {
		b.setWaiting(key, false)
		delete(b.room, key)
		return
	}
	q.Dispatch(b.now, b.table)
	if _, known := b.room[key]; !known || !q.inTime(b.now) {
		b.room[key] = b.now
	}
	full := false
	for _, w := range q.list {
		switch w.absence {
		case NoModel:
			b.needs[MissingModel{Service: key.service, Model: key.model}] = true
		case NoAdapter:
			b.needs[MissingModel{Service: key.service, Model: key.model, Adapter: w.Query.Adapter}] = true
		case Full:
			full = true
		case None, NoEndpoints:
		}
	}
	b.setWaiting(key, full)
}

// setWaiting notes whether requests for a model wait for a place. Brokers of
// other models at its engines are told.
func (b *Broker) setWaiting(key modelKey, waiting bool) {
	if b.waiting[key] == waiting {
		return
	}
	b.waiting[key] = waiting
	if !waiting {
		delete(b.waiting, key)
	}
	for _, e := range b.table.byModel[key] {
		b.table.changed[e.ID] = true
	}
}

func (b *Broker) dispatchAll() {
	for key := range b.queues {
		b.dispatch(key)
	}
}

// tick looks at everything that time changes.
func (b *Broker) tick() {
	for _, h := range b.holders {
		if b.now-h.heard > placeAge {
			b.forget(h.from)
			delete(b.holders, h.from.Address)
		}
	}
	b.dispatchAll()
	for key, a := range b.asking {
		if b.now-a.heard > askAge {
			b.drop(key, a)
			continue
		}
		b.refuseHopeless(key, a)
	}
	for key, q := range b.queues {
		if q.Len() == 0 {
			delete(b.queues, key)
		}
	}
	b.tellAll()
}

// neighbours returns the brokers of the other models at an endpoint.
func (b *Broker) neighbours(e *endpoint) []string {
	var out []string
	for _, m := range e.Models {
		owner := b.owners.BrokerOf(b.now, modelKey{e.Service, m.Model})
		if owner != b.owners.self && !slices.Contains(out, owner) {
			out = append(out, owner)
		}
	}
	return out
}

// waits says whether requests for a model at the endpoint wait for a place there.
func (b *Broker) waits(e *endpoint) bool {
	return slices.ContainsFunc(e.Models, func(m directory.Resident) bool { return b.waiting[modelKey{e.Service, m.Model}] })
}

func (b *Broker) loadOf(e *endpoint) *peerv1.EngineLoad {
	return &peerv1.EngineLoad{
		Endpoint: e.ID, Requests: uint32(e.own.Requests), PromptTokens: uint32(e.own.PromptTokens), HeldTokens: uint32(e.own.HeldTokens), Waiting: b.waits(e),
	}
}

// tellChanged tells the brokers of other models what changed at their engines.
func (b *Broker) tellChanged() {
	updates := map[string]*peerv1.LoadUpdate{}
	for id := range b.table.changed {
		e := b.table.endpoints[id]
		if e == nil || len(e.Models) == 0 {
			continue
		}
		load := b.loadOf(e)
		for _, to := range b.neighbours(e) {
			if updates[to] == nil {
				updates[to] = &peerv1.LoadUpdate{}
			}
			updates[to].Engines = append(updates[to].Engines, load)
		}
	}
	clear(b.table.changed)
	b.send(updates)
}

// tellAll repeats everything now and then: updates can be lost, and new brokers
// know nothing.
func (b *Broker) tellAll() {
	if b.now-b.refreshed < refreshInterval {
		return
	}
	b.refreshed = b.now
	updates := map[string]*peerv1.LoadUpdate{}
	for _, e := range b.table.endpoints {
		if e.own.Requests == 0 && !b.waits(e) {
			continue
		}
		for _, to := range b.neighbours(e) {
			if updates[to] == nil {
				updates[to] = &peerv1.LoadUpdate{Full: true}
			}
			updates[to].Engines = append(updates[to].Engines, b.loadOf(e))
		}
	}
	b.send(updates)
}

// send adds updates to what is said anyway; the newer ones come last.
func (b *Broker) send(updates map[string]*peerv1.LoadUpdate) {
	for to, u := range updates {
		m := b.out.to(to)
		if m.Loads == nil || u.GetFull() {
			m.Loads = u
		} else {
			m.Loads.Engines = append(m.Loads.Engines, u.GetEngines()...)
		}
		b.seq++
		m.Loads.Seq = b.seq
	}
}

// loads takes over what another broker gave out at shared engines. Its places
// that became free may serve requests that wait here.
func (b *Broker) loads(from Sender, u *peerv1.LoadUpdate) {
	b.table.loads.Apply(b.now, from, u)
	for _, e := range u.GetEngines() {
		b.dispatchEndpoint(e.GetEndpoint())
	}
}
