package pool

import (
	"slices"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
)

// Parameters of permits. The slots of a warming engine are granted by the brokers of
// its models, which may be many, and two entries may both believe that they are the
// broker of a model. While messages are late, budgets kept by each broker would add up
// to more than the engine takes. Instead, a broker needs a permit for each request to
// such an engine. The first few entries of an order that depends only on the engine give
// permits, each from its own budget, so that the bound holds without any message.
const (
	// The shares of the rate that the entries may give, by their position in that
	// order. Brokers ask the second and third only while those before do not answer.
	// Where lists of entries differ, two entries may both believe that they are the
	// first. Even then all permits together, with those delayed by minPermitTTL, stay
	// below the 1.5 x rate + 5 requests that a warming engine takes in a second.
	firstPermitShare, secondPermitShare, thirdPermitShare = 0.65, 0.25, 0.15
	// lowRateFirstShare is the share of the first entry at rates, in requests per
	// second, up to lowPermitRate: the constant 5 of the bound leaves room for it there.
	lowRateFirstShare = 0.8
	lowPermitRate     = 5.0
	// A permit can be used for the time in which the rate gives delayedPermits, but at
	// least minPermitTTL and at most maxPermitTTL, counted from the request for it.
	minPermitTTL   = 300 * time.Millisecond
	maxPermitTTL   = time.Second
	delayedPermits = 0.5
	// permitInterval is how often permits are requested while requests wait.
	permitInterval = 60 * time.Millisecond
	// permitRoundTrip is the assumed time until a permit arrives if nothing is known.
	permitRoundTrip = 50 * time.Millisecond
	// maxPermitsWanted bounds the permits that one request asks for.
	maxPermitsWanted = 4
	// After granterTimeout without an answer, the next entry is asked instead for
	// granterDownTime. An answer takes up to 200 ms between busy VMs, and may be lost.
	granterTimeout  = 400 * time.Millisecond
	granterDownTime = time.Second
	// permitBurst is the time for which the budget accumulates permits beyond the first
	// one, so that none is lost between two ticks.
	permitBurst = 2 * TickInterval
	// noPermitRetry is the time after which an entry that gives no permits is asked
	// again.
	noPermitRetry = 500 * time.Millisecond
)

// permitShares returns the shares of a rate by position in the order of an engine.
func permitShares(rate float64) []float64 {
	if rate <= lowPermitRate {
		return []float64{lowRateFirstShare, secondPermitShare, thirdPermitShare}
	}
	return []float64{firstPermitShare, secondPermitShare, thirdPermitShare}
}

// permitTTL returns how long after the request for it a permit can be used.
func permitTTL(rate float64) time.Duration {
	return max(minPermitTTL, min(maxPermitTTL, time.Duration(delayedPermits/rate*float64(time.Second))))
}

// permitTakesAt returns the earliest time at which this broker may have a permit.
func (e *endpoint) permitTakesAt(now time.Duration) time.Duration {
	e.permits = slices.DeleteFunc(e.permits, func(until time.Duration) bool { return now > until })
	switch {
	case len(e.permits) > 0:
		return now
	case e.nextPermitAt > now:
		return e.nextPermitAt
	default:
		return now + permitRoundTrip
	}
}

// noteUnserved marks the warming engines that could serve a request if there were a
// permit.
func (t *Table) noteUnserved(now time.Duration, q *Query) {
	if q.Model == "" {
		return
	}
	for _, e := range t.candidates(q) {
		if e.warming(now) && !t.excluded(now, e, q) && e.has(now, q.Model, q.Adapter) {
			t.permitsWanted[e.ID] = true
		}
	}
}

// permitSource is what a broker knows about the entries that give permits for an
// engine.
type permitSource struct {
	askedAt time.Duration
	asked   string
	// unansweredSince is the first request without an answer; zero if there is none.
	unansweredSince time.Duration
	// outstanding is how many permits the last request has yet to get.
	outstanding int
	// received is the highest sequence of a permit from an incarnation of the asked
	// entry, which counts from one again after a restart.
	received    uint64
	incarnation uint64
}

// permitManager is the part of an Entry that asks for permits and gives them.
type permitManager struct {
	self    Sender
	table   *Table
	owners  *Owners
	out     *outbox
	sources map[string]*permitSource
	// downUntil is until when an entry that did not answer is not asked.
	downUntil map[string]time.Duration
	// seen holds the permits that arrived lately.
	seen     map[permitKey]time.Duration
	granters map[string]*permitGranter
	sequence uint64
}

// permitKey identifies a permit.
type permitKey struct {
	from     Sender
	sequence uint64
}

// permitGranter is the budget of an engine for which this entry gives permits.
type permitGranter struct {
	budget limitBudget
	queue  []permitWaiter
	usedAt time.Duration
	// given holds the last permits, which are repeated if they were lost.
	given []givenPermit
}

// givenPermit is a permit that may have been lost.
type givenPermit struct {
	to          Sender
	sequence    uint64
	requestedMs uint64
	at          time.Duration
}

// permitWaiter is a broker that wants permits.
type permitWaiter struct {
	from        Sender
	wanted      int
	requestedMs uint64
	at          time.Duration
}

func newPermitManager(self Sender, t *Table, o *Owners, out *outbox) *permitManager {
	return &permitManager{
		self: self, table: t, owners: o, out: out, sources: map[string]*permitSource{}, downUntil: map[string]time.Duration{},
		seen: map[permitKey]time.Duration{}, granters: map[string]*permitGranter{},
	}
}

// ask requests permits for the engines for which requests wait; waiting returns how
// many wait for an engine.
func (pm *permitManager) ask(now time.Duration, waiting func(e *endpoint) int) {
	for id := range pm.table.permitsWanted {
		e := pm.table.endpoints[id]
		if e == nil {
			continue
		}
		s := pm.sources[id]
		if s == nil {
			s = &permitSource{askedAt: now - permitInterval}
			pm.sources[id] = s
		}
		if now-s.askedAt < permitInterval && (s.outstanding > 0 || now == s.askedAt) {
			continue
		}
		pm.request(now, e, s, min(maxPermitsWanted, waiting(e)-len(e.permits)))
	}
	clear(pm.table.permitsWanted)
}

func (pm *permitManager) request(now time.Duration, e *endpoint, s *permitSource, wanted int) {
	if wanted <= 0 {
		return
	}
	if now-s.askedAt >= granterTimeout {
		s.unansweredSince = 0 // the last answer may have been lost while no request waited
	}
	if s.asked != pm.self.Address && s.unansweredSince != 0 && now-s.unansweredSince >= granterTimeout {
		pm.downUntil[s.asked] = now + granterDownTime
	}
	to := pm.granterOf(now, e.ID)
	if to != s.asked {
		s.asked, s.unansweredSince, s.received = to, 0, 0
	}
	if s.unansweredSince == 0 {
		s.unansweredSince = now
	}
	s.askedAt, s.outstanding = now, wanted
	m := pm.out.messageTo(to)
	m.PermitRequests = append(m.PermitRequests, &peerv1.PermitRequest{Endpoint: e.ID, Wanted: uint32(wanted), SentMs: uint64(now.Milliseconds()), Received: s.received})
}

// granterOf returns the first entry in the order of an engine that answers.
func (pm *permitManager) granterOf(now time.Duration, id string) string {
	order := pm.owners.granters(id)
	for _, entry := range order {
		if entry == pm.self.Address || now >= pm.downUntil[entry] {
			return entry
		}
	}
	return order[0]
}

// handlePermit records a permit of another entry. It reports whether the permit can be
// used.
func (pm *permitManager) handlePermit(now time.Duration, from Sender, p *peerv1.Permit) bool {
	e, s := pm.table.endpoints[p.GetEndpoint()], pm.sources[p.GetEndpoint()]
	if e == nil || s == nil || p.GetIncarnation() != pm.self.Incarnation {
		return false
	}
	if from.Address == s.asked {
		s.noteAnswer(from.Incarnation, p.GetSequence())
	}
	next := milliseconds(int64(p.GetNextMs()))
	if from.Address != pm.owners.granters(e.ID)[0] {
		next = min(next, granterDownTime) // the first one may answer again by then
	}
	e.nextPermitAt = now + next
	key := permitKey{from, p.GetSequence()}
	until := milliseconds(int64(p.GetRequestedMs())) + permitTTL(e.warmRate())
	if _, seen := pm.seen[key]; seen || key.sequence == 0 || now > until {
		return false
	}
	pm.seen[key] = now
	s.outstanding--
	e.permits = append(e.permits, until)
	return true
}

// noteAnswer records an answer of the asked entry.
func (s *permitSource) noteAnswer(incarnation, sequence uint64) {
	if incarnation != s.incarnation {
		s.incarnation, s.received = incarnation, 0
	}
	s.unansweredSince, s.received = 0, max(s.received, sequence)
}

// handleRequest enqueues a broker's request for permits, and answers it.
func (pm *permitManager) handleRequest(now time.Duration, from Sender, r *peerv1.PermitRequest) {
	e := pm.table.endpoints[r.GetEndpoint()]
	rate := pm.rate(e)
	if rate == 0 {
		pm.answer(from, r.GetEndpoint(), r.GetSentMs(), 0, noPermitRetry)
		return
	}
	g := pm.granters[e.ID]
	if g == nil {
		g = &permitGranter{budget: limitBudget{refilledAt: now}}
		pm.granters[e.ID] = g
	}
	g.usedAt = now
	w := permitWaiter{from: from, wanted: int(min(r.GetWanted(), maxPermitsWanted)), requestedMs: r.GetSentMs(), at: now}
	if i := slices.IndexFunc(g.queue, func(o permitWaiter) bool { return o.from == from }); i < 0 {
		g.queue = append(g.queue, w)
	} else if g.queue[i].requestedMs <= w.requestedMs {
		g.queue[i] = w
	}
	if !pm.repeat(now, from, r, g, rate) && !pm.give(now, e.ID, g, rate) {
		pm.answer(from, e.ID, r.GetSentMs(), 0, g.nextIn(rate))
	}
}

// rate returns the rate at which this entry gives permits for an engine, or zero.
func (pm *permitManager) rate(e *endpoint) float64 {
	if e == nil || e.WarmUpRate == 0 {
		return 0
	}
	position := slices.Index(pm.owners.granters(e.ID), pm.self.Address)
	if position < 0 {
		return 0
	}
	return e.warmRate() * permitShares(e.warmRate())[position]
}

// give gives the permits that the budget allows, in turn to each broker that waits. It
// reports whether it gave any.
func (pm *permitManager) give(now time.Duration, id string, g *permitGranter, rate float64) (gave bool) {
	g.budget.add(now, rate, 1+rate*permitBurst.Seconds())
	g.queue = slices.DeleteFunc(g.queue, func(w permitWaiter) bool { return now-w.at > minPermitTTL/2 || w.wanted <= 0 })
	for g.budget.level >= 1 && len(g.queue) > 0 {
		w := g.queue[0]
		g.queue = g.queue[1:]
		if w.wanted--; w.wanted > 0 {
			g.queue = append(g.queue, w)
		}
		g.budget.level--
		pm.sequence++
		g.given = append(g.given, givenPermit{w.from, pm.sequence, w.requestedMs, now})
		pm.answer(w.from, id, w.requestedMs, pm.sequence, g.nextIn(rate))
		gave = true
	}
	return gave
}

// repeat resends the permits that a broker has not received, with their original time
// of expiry. It reports whether there are any.
func (pm *permitManager) repeat(now time.Duration, to Sender, r *peerv1.PermitRequest, g *permitGranter, rate float64) (repeated bool) {
	g.given = slices.DeleteFunc(g.given, func(p givenPermit) bool {
		return now-p.at > permitTTL(rate) || (p.to == to && p.sequence <= r.GetReceived())
	})
	for _, p := range g.given {
		if p.to == to {
			pm.answer(to, r.GetEndpoint(), p.requestedMs, p.sequence, g.nextIn(rate))
			repeated = true
		}
	}
	return repeated
}

// nextIn returns the time until the next permit, regardless of how many brokers wait: a
// broker that is told a longer time refuses its requests, and if all brokers did, none
// would ask when the permit is available.
func (g *permitGranter) nextIn(rate float64) time.Duration {
	return time.Duration(max(0, 1-g.budget.level) / rate * float64(time.Second))
}

func (pm *permitManager) answer(to Sender, endpoint string, requestedMs, sequence uint64, next time.Duration) {
	m := pm.out.messageTo(to.Address)
	m.Permits = append(m.Permits, &peerv1.Permit{
		Endpoint: endpoint, RequestedMs: requestedMs, Incarnation: to.Incarnation, Sequence: sequence, NextMs: uint32(min(next, time.Hour).Milliseconds()),
	})
}

// tick gives permits that have become available, and removes expired state.
func (pm *permitManager) tick(now time.Duration) {
	for id, g := range pm.granters {
		if rate := pm.rate(pm.table.endpoints[id]); rate > 0 {
			pm.give(now, id, g, rate)
		}
		if now-g.usedAt > time.Minute {
			delete(pm.granters, id) // a new one begins without credit
		}
	}
	for key, at := range pm.seen {
		if now-at > 2*maxPermitTTL {
			delete(pm.seen, key)
		}
	}
	for entry, until := range pm.downUntil {
		if now >= until {
			delete(pm.downUntil, entry)
		}
	}
	for id := range pm.sources {
		if pm.table.endpoints[id] == nil {
			delete(pm.sources, id)
		}
	}
}
