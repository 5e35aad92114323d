package pool

import (
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// Parameters of a broker.
const (
	// requestTTL is how long a waiting request is kept without being repeated by
	// its entry, which repeats it every resendInterval.
	requestTTL = time.Second
	// grantTTL is how long slots stay granted without a message from the entry
	// that holds them, which lists its slots every refreshInterval.
	grantTTL = 2500 * time.Millisecond
	// listGracePeriod is the age from which a granted slot must appear in the
	// list of its entry. A list may have been built before the entry received the
	// grant.
	listGracePeriod = 500 * time.Millisecond
	// overloadDelay is how long requests that can still be on time must have been
	// waiting before late requests are refused. Shorter bursts are served late
	// instead. A break of up to overloadPause does not end an overload: at a model
	// with few slots, few requests wait at a time.
	overloadDelay = time.Second
	overloadPause = 250 * time.Millisecond
	// retryAfterMin plus a random part of retryAfterSpread is the retry-after
	// time of a request refused under overload. New replicas of a model take
	// seconds to load, and a caller that retries at once only waits again.
	retryAfterMin    = 3 * time.Second
	retryAfterSpread = 2 * time.Second
)

// versionedModel identifies a model at endpoints of one software version; an empty version
// stands for all endpoints.
type versionedModel struct {
	modelKey
	version string
}

// requestKey identifies a slot request across all entries.
type requestKey struct {
	from Sender
	id   uint64
}

// pendingRequest is a slot request that waits at a broker.
type pendingRequest struct {
	waiter   *Waiter
	key      modelKey
	lastSeen time.Duration
}

// grantedSlot is a slot that a broker has granted.
type grantedSlot struct {
	reservation    *Reservation
	model, adapter string
	grantedAt      time.Duration
	// onlyPrompt is set if no other prompt was waiting to be read at the engine when the
	// slot was granted.
	onlyPrompt bool
}

// contention is a period in which requests wait for slots: when it began, and when a
// request was last seen to wait.
type contention struct{ since, last time.Duration }

// holder is an entry that requests or holds slots.
type holder struct {
	from     Sender
	lastSeen time.Duration
}

// MissingModel is a model, or an adapter of it, that requests wait for and that no
// endpoint has. If they are restricted to a software version, no endpoint with that
// version has it.
type MissingModel struct{ Service, Model, Adapter, SoftwareVersion string }

// Broker grants slots at engines to the requests of all entries.
type Broker struct {
	table   *Table
	owners  *Owners
	queues  map[modelKey]*Queue
	pending map[requestKey]*pendingRequest
	granted map[requestKey]*grantedSlot
	// ended holds requests that ended lately, see recordEnded.
	ended map[requestKey]endedRequest
	// holders is keyed by address. A new incarnation of an entry releases the
	// slots of the previous one.
	holders map[string]*holder
	// readyAt is when a model that is resident nowhere is expected to be ready; never if
	// it cannot be loaded at its software version.
	readyAt map[versionedModel]time.Duration
	// missing collects what waiting requests lack until TakeMissingModels is
	// called.
	missing map[MissingModel]bool
	out     *outbox
	// waiting is the set of models with requests that found every engine full.
	waiting map[modelKey]bool
	// contention holds, by model, since when requests that could still be on time
	// have been waiting for slots.
	contention map[modelKey]contention
	// holds observes how long the requests of each model hold their slots.
	holds     map[modelKey]*holdTimes
	decisions Decisions
	// lastRefresh is when other brokers were last sent a full update. seq numbers
	// the updates.
	lastRefresh time.Duration
	seq         uint64
	now         time.Duration // of the current step
}

func newBroker(t *Table, o *Owners, out *outbox) *Broker {
	return &Broker{
		table: t, owners: o, out: out,
		queues: map[modelKey]*Queue{}, pending: map[requestKey]*pendingRequest{},
		granted: map[requestKey]*grantedSlot{}, ended: map[requestKey]endedRequest{},
		holders: map[string]*holder{}, readyAt: map[versionedModel]time.Duration{},
		missing: map[MissingModel]bool{}, waiting: map[modelKey]bool{},
		contention: map[modelKey]contention{}, holds: map[modelKey]*holdTimes{},
	}
}

// markSeen records a message of an entry. If its incarnation is new, everything
// that the previous one requested or held is removed.
func (b *Broker) markSeen(from Sender) {
	h := b.holders[from.Address]
	if h == nil || h.from != from {
		if h != nil {
			b.releaseAll(h.from)
		}
		h = &holder{from: from}
		b.holders[from.Address] = h
	}
	h.lastSeen = b.now
}

// releaseAll releases the slots of an incarnation and removes its waiting
// requests.
func (b *Broker) releaseAll(from Sender) {
	for key, slot := range b.granted {
		if key.from == from {
			b.release(key, slot, Unknown)
		}
	}
	for key, req := range b.pending {
		if key.from == from {
			b.dropRequest(key, req)
		}
	}
}

func (b *Broker) dropRequest(key requestKey, req *pendingRequest) {
	b.queues[req.key].Remove(req.waiter)
	delete(b.pending, key)
}

// release releases a slot. Consecutive failures of one entry count as one
// failure of the endpoint: that entry may have lost its own path to the
// endpoint, and avoids it by itself.
func (b *Broker) release(key requestKey, slot *grantedSlot, r Result) {
	e := slot.reservation.target
	switch {
	case r == Succeeded:
		e.lastFailedBy = ""
	case r == Failed && e.lastFailedBy == key.from.Address:
		r = Unknown
	case r == Failed:
		e.lastFailedBy = key.from.Address
	}
	b.table.Release(b.now, slot.reservation, r, slot.model, slot.adapter)
	delete(b.granted, key)
	if h := b.holds[modelKey{e.Service, slot.model}]; h != nil {
		h.release(e.ID)
		if r == Succeeded {
			h.observe(b.now, b.now-slot.grantedAt)
		}
	}
}

// handleRequest enqueues a new request and answers a repeated one again.
func (b *Broker) handleRequest(from Sender, r *peerv1.PlaceRequest) {
	key := requestKey{from, r.GetId()}
	if slot := b.granted[key]; slot != nil {
		b.sendGrant(key, slot.reservation)
		return
	}
	if b.answerEnded(key) {
		return
	}
	req := b.pending[key]
	if req == nil {
		req = b.enqueue(key, r)
		b.dispatch(req.key)
		b.refuseHopeless(req.key, req.waiter)
	} else {
		req.waiter.Query.Paused, req.waiter.Query.Avoid = b.decodePauses(r), r.GetAvoid()
	}
	req.lastSeen = b.now
	if b.pending[key] == req && !b.refuseIfFutile(key, req) {
		b.out.answer(from.Address, &peerv1.PlaceAnswer{Id: r.GetId(), Absence: uint32(req.waiter.reason)})
	}
}

func (b *Broker) enqueue(key requestKey, r *peerv1.PlaceRequest) *pendingRequest {
	req := &pendingRequest{key: modelKey{r.GetService(), r.GetModel()}}
	arrived := b.now
	req.waiter = &Waiter{
		key: key,
		Query: &Query{
			Service: r.GetService(), Model: r.GetModel(), Adapter: r.GetAdapter(), Affinity: r.GetAffinity(), Urgency: int(r.GetUrgency()),
			PromptTokens: int(r.GetPromptTokens()), HeldTokens: int(r.GetHeldTokens()), Exclude: r.GetExclude(), Avoid: r.GetAvoid(),
			Preference: preferenceOf(key.from.Address), DataCentre: r.GetDataCentre(), Paused: b.decodePauses(r),
			Work: int(r.GetWork()), Customer: r.GetCustomer(), SoftwareVersion: r.GetSoftwareVersion(),
		},
		Target:   b.now + milliseconds(int64(r.GetTargetMs())),
		Deadline: b.now + milliseconds(int64(r.GetWaitMs())),
		Granted: func(reservation *Reservation) {
			delete(b.pending, key)
			b.granted[key] = &grantedSlot{
				reservation: reservation, model: r.GetModel(), adapter: r.GetAdapter(),
				grantedAt: b.now, onlyPrompt: b.table.onlyPrompt(b.now, reservation),
			}
			b.holdsOf(req.key).acquire(reservation.EndpointID)
			if req.waiter.forecast {
				b.decisions.countWait(req.waiter.expected, b.now-arrived)
			}
			b.sendGrant(key, reservation)
		},
	}
	q := b.queues[req.key]
	if q == nil {
		q = &Queue{}
		b.queues[req.key] = q
	}
	b.pending[key] = req
	q.Add(req.waiter)
	return req
}

// decodePauses returns until when endpoints want no requests from the sender.
func (b *Broker) decodePauses(r *peerv1.PlaceRequest) map[string]time.Duration {
	if len(r.GetPaused()) == 0 {
		return nil
	}
	out := make(map[string]time.Duration, len(r.GetPaused()))
	for _, p := range r.GetPaused() {
		out[p.GetEndpoint()] = b.now + milliseconds(int64(p.GetRemainingMs()))
	}
	return out
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func (b *Broker) sendGrant(key requestKey, reservation *Reservation) {
	b.out.answer(key.from.Address, &peerv1.PlaceAnswer{Id: key.id, Endpoint: reservation.EndpointID, Address: reservation.Address})
}

func (b *Broker) refuse(key requestKey, req *pendingRequest, code resultcode.Code, after time.Duration) {
	b.dropRequest(key, req)
	answer := &peerv1.PlaceAnswer{
		Id: key.id, Refusal: uint32(code), RetryAfterMs: uint32(after.Milliseconds()), Absence: uint32(req.waiter.reason),
	}
	b.out.answer(key.from.Address, answer)
	b.recordEnded(key, req.key.service, req.key.model, answer)
}

// refuseIfFutile refuses a request if waiting longer cannot help, and reports
// whether it did.
func (b *Broker) refuseIfFutile(key requestKey, req *pendingRequest) bool {
	f, futile := b.futility(req.key, req.waiter)
	if !futile {
		return false
	}
	if f.late {
		b.decisions.RefusedLate++
	}
	b.refuse(key, req, f.code, f.after)
	return true
}

func (b *Broker) setReady(m MissingModel, at time.Duration) {
	key := modelKey{m.Service, m.Model}
	b.readyAt[versionedModel{key, m.SoftwareVersion}] = at
	b.dispatch(key)
	for k, req := range b.pending {
		if req.key == key {
			b.refuseIfFutile(k, req)
		}
	}
}

// overloaded reports whether the slots of a model do not suffice for the
// requests that can still be on time. Late requests would then wait in vain.
func (b *Broker) overloaded(key modelKey) bool {
	c, contended := b.contention[key]
	return contended && b.now-c.last <= overloadPause && b.now-c.since > overloadDelay
}

// noteContention records whether requests that can still be on time wait.
func (b *Broker) noteContention(key modelKey, waiting bool) {
	c, known := b.contention[key]
	expired := known && b.now-c.last > overloadPause
	switch {
	case waiting && (!known || expired):
		b.contention[key] = contention{since: b.now, last: b.now}
	case waiting:
		b.contention[key] = contention{since: c.since, last: b.now}
	case expired:
		delete(b.contention, key)
	}
}

func (b *Broker) holdsOf(key modelKey) *holdTimes {
	h := b.holds[key]
	if h == nil {
		h = &holdTimes{inUse: map[string]int{}}
		b.holds[key] = h
	}
	return h
}

// refuseHopeless refuses the requests for a model that by their expected wait get no
// slot in time. If only is set, it considers no other request.
func (b *Broker) refuseHopeless(key modelKey, only *Waiter) {
	q := b.queues[key]
	if q == nil || (only != nil && only.reason != Full) || !b.waiting[key] {
		return
	}
	overloaded, f := b.overloaded(key), b.forecast(key)
	for _, h := range q.hopeless(b.now, b.table, key.service, f, overloaded, only) {
		after := b.hopelessRetryAfter(f, h, overloaded)
		if only != nil {
			b.decisions.RefusedOnArrival++
		} else {
			b.decisions.RefusedWaiting++
		}
		b.refuse(h.waiter.key, b.pending[h.waiter.key], resultcode.DeadlineTooClose, after)
	}
}

func (b *Broker) hopelessRetryAfter(f forecast, h hopelessWaiter, overloaded bool) time.Duration {
	if overloaded {
		return b.overloadRetryAfter()
	}
	return b.table.retryAfter(f, h.wait)
}

// handleReport processes a report on a granted slot or the withdrawal of a
// waiting request.
func (b *Broker) handleReport(from Sender, r *peerv1.PlaceReport) {
	key := requestKey{from, r.GetId()}
	if req := b.pending[key]; req != nil && r.GetReleased() {
		b.dropRequest(key, req) // the entry withdrew it
		b.recordEnded(key, req.key.service, req.key.model, nil)
		return
	}
	slot := b.granted[key]
	if slot == nil {
		b.recordWithdrawn(key, r)
		return
	}
	if r.GetLeaving() {
		b.table.MarkLeaving(slot.reservation.EndpointID)
	}
	b.table.recordSlowdown(b.now, slot.reservation.target, int(r.GetSlowdownPercent()))
	if r.GetBegun() {
		b.table.observeFirstEvent(b.now, slot)
		b.table.MarkPrefilled(slot.reservation)
	}
	if r.GetReleased() {
		b.release(key, slot, Result(r.GetResult()))
		b.recordEnded(key, slot.reservation.target.Service, slot.model, nil)
	}
	b.dispatchEndpoint(slot.reservation.EndpointID)
}

// reconcileGrants compares an entry's list of its slots with the granted ones.
// Slots that a previous broker granted are adopted.
func (b *Broker) reconcileGrants(from Sender, list *peerv1.PlaceList) {
	listed := make(map[uint64]bool, len(list.GetPlaces()))
	for _, h := range list.GetPlaces() {
		listed[h.GetId()] = true
		key := requestKey{from, h.GetId()}
		if b.granted[key] != nil {
			continue
		}
		if req := b.pending[key]; req != nil {
			b.dropRequest(key, req) // it would get a second slot
		}
		if reservation := b.table.Adopt(h.GetEndpoint(), Usage{1, int(h.GetPromptTokens()), int(h.GetHeldTokens())}); reservation != nil {
			b.granted[key] = &grantedSlot{reservation: reservation, grantedAt: b.now}
		}
	}
	for key, slot := range b.granted {
		if key.from == from && !listed[key.id] && b.now-slot.grantedAt > listGracePeriod {
			b.release(key, slot, Unknown)
			b.dispatchEndpoint(slot.reservation.EndpointID)
		}
	}
}

// dispatchEndpoint grants free slots at an endpoint to waiting requests.
func (b *Broker) dispatchEndpoint(id string) {
	e := b.table.endpoints[id]
	if e == nil {
		return
	}
	for _, key := range b.dispatchOrder(e) {
		b.dispatch(key)
	}
}

func (b *Broker) dispatch(key modelKey) {
	q := b.queues[key]
	if q == nil || q.Len() == 0 {
		b.setWaiting(key, false)
		b.noteContention(key, false)
		return
	}
	q.Dispatch(b.now, b.table)
	b.decisions.LessUrgent += q.takeShares()
	b.noteContention(key, q.anyOnTime(b.now))
	full := false
	for _, w := range q.waiters {
		lacking := MissingModel{Service: key.service, Model: key.model, SoftwareVersion: w.Query.SoftwareVersion}
		switch w.reason {
		case NoModel:
			b.missing[lacking] = true
		case NoAdapter:
			lacking.Adapter = w.Query.Adapter
			b.missing[lacking] = true
		case Full:
			full = true
		case None, NoEndpoints, Limited:
		}
	}
	b.setWaiting(key, full)
}

// setWaiting records whether requests for a model wait for a slot. A change is
// sent to the brokers of the other models at its engines.
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

// tick expires holders and requests, and retries the dispatch of all queues.
func (b *Broker) tick() {
	for _, h := range b.holders {
		if b.now-h.lastSeen > grantTTL {
			b.releaseAll(h.from)
			delete(b.holders, h.from.Address)
		}
	}
	b.forgetEnded()
	b.dispatchAll()
	for key, req := range b.pending {
		if b.now-req.lastSeen > requestTTL {
			b.dropRequest(key, req)
			continue
		}
		b.refuseIfFutile(key, req)
	}
	for key, q := range b.queues {
		b.refuseHopeless(key, nil)
		if q.Len() == 0 {
			b.dispatch(key) // the last request may have been refused in this tick
			delete(b.queues, key)
		}
	}
	b.refreshPeers()
}
