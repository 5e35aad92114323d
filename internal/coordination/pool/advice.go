package pool

import (
	"math/rand/v2"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
)

// MaxPause is the longest time for which an endpoint's wish for no requests is
// followed. A longer one would lose the endpoint to a single faulty answer.
const MaxPause = 10 * time.Minute

// LeavingTime is how long an endpoint gets no requests after its last answer that
// said that it leaves. An endpoint that has started again may keep its identifier and
// address, so that only an answer could tell, and without requests there is none.
const LeavingTime = time.Minute

// Parameters of the exchange of advice between entries.
const (
	// gossipPeers is how many entries get all advice at each refreshInterval.
	gossipPeers = 2
	// maxAdvicePerMessage bounds the size of a datagram.
	maxAdvicePerMessage = 64
	// endedAdviceTime is how long entries tell each other that an endpoint states
	// nothing any more.
	endedAdviceTime = 30 * time.Second
)

// Advice is what an endpoint says in an answer about the requests that it wants.
type Advice struct {
	// Limited is set if the endpoint takes at most RateLimit requests per second
	// from all entries together.
	Limited   bool
	RateLimit float64
	// Leaving is set if the endpoint is about to end.
	Leaving bool
	// Pause is how long the endpoint wants no requests from this entry; zero if it
	// said nothing.
	Pause time.Duration
	// WarmUpLeft is how much longer the endpoint warms up; zero if it said nothing.
	WarmUpLeft time.Duration
}

// RecordAdvice records what an endpoint said at a moment, here or to another entry.
// It reports whether that differs from what was known. Of limits, the newest
// statement counts. An endpoint that leaves does not change its mind: an answer that
// does not say so is an older one that was read late.
func (t *Table) RecordAdvice(at time.Duration, id string, a Advice) (changed bool) {
	e := t.endpoints[id]
	if e == nil {
		return false
	}
	if a.Leaving {
		changed = t.setLeaving(e, at+LeavingTime)
	}
	if e.advisedAt != 0 && at < e.advisedAt {
		return changed
	}
	if a.Limited && !e.advice.Limited {
		e.budget = limitBudget{refilledAt: at}
	}
	if e.advice.Limited != a.Limited || e.advice.RateLimit != a.RateLimit {
		changed, e.advised = true, true
	}
	e.advice, e.advisedAt = a, at
	return changed
}

// setLeaving records that an endpoint leaves. It reports whether that is news.
func (t *Table) setLeaving(e *endpoint, until time.Duration) (changed bool) {
	changed = e.leavingUntil == 0
	e.leavingUntil = max(e.leavingUntil, until)
	return changed
}

// leaving reports whether an endpoint is about to end, by the platform's list or by
// its own answers.
func (e *endpoint) leaving(now time.Duration) bool { return e.Leaving || now < e.leavingUntil }

// adviceMessages returns what is known about endpoints that state something, or did
// so until lately.
func (t *Table) adviceMessages(now time.Duration) []*peerv1.EndpointAdvice {
	var out []*peerv1.EndpointAdvice
	for id, e := range t.endpoints {
		limitKnown := e.advised && (e.advice.Limited || now-e.advisedAt <= endedAdviceTime)
		if !limitKnown && now >= e.leavingUntil && e.warmingForMs(now) == 0 {
			continue
		}
		if len(out) == maxAdvicePerMessage {
			break
		}
		out = append(out, e.adviceMessage(now, id))
	}
	return out
}

func (e *endpoint) adviceMessage(now time.Duration, id string) *peerv1.EndpointAdvice {
	return &peerv1.EndpointAdvice{
		Endpoint: id, AgeMs: e.adviceAgeMs(now),
		Limited: e.advice.Limited, RateLimit: e.advice.RateLimit,
		LeavingForMs: uint32(max(0, e.leavingUntil-now).Milliseconds()), WarmingForMs: e.warmingForMs(now),
	}
}

// applyAdvice records what another entry knows.
func (t *Table) applyAdvice(now time.Duration, list []*peerv1.EndpointAdvice) {
	for _, a := range list {
		at := now - milliseconds(int64(a.GetAgeMs()))
		t.RecordAdvice(at, a.GetEndpoint(), Advice{Limited: a.GetLimited(), RateLimit: a.GetRateLimit()})
		if e := t.endpoints[a.GetEndpoint()]; e != nil && a.GetLeavingForMs() > 0 {
			t.setLeaving(e, now+milliseconds(int64(a.GetLeavingForMs())))
		}
		if e := t.endpoints[a.GetEndpoint()]; e != nil && a.GetWarmingForMs() > 0 {
			e.applyWarmUpAdvice(now, milliseconds(int64(a.GetWarmingForMs())))
		}
	}
}

// RecordAdvice records what an endpoint said in an answer to a request that this
// entry sent at sentAt. It reports whether that differs from what was known; the
// brokers that grant slots at the endpoint are told then. An answer without a limit
// ends only a limit that was stated before the request was sent: an entry that was
// frozen may read an answer long after it was written.
func (e *Entry) RecordAdvice(now, sentAt time.Duration, endpoint string, a Advice) (changed bool) {
	e.setNow(now)
	saidAt := now
	if !a.Limited {
		saidAt = sentAt
	}
	if a.Pause > 0 {
		e.Table.paused[endpoint] = max(e.Table.paused[endpoint], now+a.Pause)
	}
	changed = e.Table.noteStatedWarmUp(now, endpoint, a.WarmUpLeft)
	if !e.Table.RecordAdvice(saidAt, endpoint, a) && !changed {
		return false
	}
	e.tellBrokers(now, e.Table.endpoints[endpoint])
	e.deliverToSelf()
	return true
}

// gossipAdvice tells some other entries all advice. An entry that gets no requests
// for an endpoint would not learn from answers that a limit has ended.
func (e *Entry) gossipAdvice(now time.Duration) {
	if now-e.lastGossip < refreshInterval {
		return
	}
	e.lastGossip = now
	list := e.Table.adviceMessages(now)
	if len(list) == 0 {
		return
	}
	for range gossipPeers {
		to := e.Owners.entries[rand.IntN(len(e.Owners.entries))]
		if to != e.self.Address {
			e.out.messageTo(to).Advice = list
		}
	}
}
