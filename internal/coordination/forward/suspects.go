package forward

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/coordination/directory"
	"github.com/radishloom/radishloom/internal/coordination/suspect"
	"github.com/radishloom/radishloom/internal/resultcode"
)

const (
	// maxLostRequests bounds the lost requests that wait to be reported.
	maxLostRequests = 256
	// maxBegunParts bounds the parts of prompts with which answers began: twice as
	// many are kept.
	maxBegunParts = 4096
	// carriedInterval is the shortest time between two reports that answers with the
	// same suspect begin.
	carriedInterval = 500 * time.Millisecond
)

// evidence is what an entry knows about requests that may crash endpoints. It is
// guarded by Server.mu.
type evidence struct {
	// suspects are those of the leader of a term. Requests with a quarantined one are
	// refused.
	suspects map[suspect.Trait]listedSuspect
	term     uint64
	// changed is closed and replaced with each list of suspects.
	changed chan struct{}
	// findings wait to be reported to the leader.
	findings
	// reported holds when an answer with a suspect began that was reported last to this
	// leader.
	reported map[suspect.Trait]time.Duration
	// begun holds when an answer to a request with a part last began; older is what it
	// was before it became full.
	begun, older map[string]time.Duration
	// ready has an element while there is something to report.
	ready chan struct{}
}

// listedSuspect is a suspect in the leader's list. A quarantine lasts until the given
// time.
type listedSuspect struct {
	quarantined, held bool
	until             time.Duration
}

// lostRequest is a request that lost the connection to its endpoint.
type lostRequest struct {
	at          time.Duration
	fingerprint uint64
	endpoint    string
	parts       []string // empty if the answer had begun
}

func newEvidence() evidence {
	return evidence{
		findings: findings{carried: map[suspect.Trait]time.Duration{}},
		reported: map[suspect.Trait]time.Duration{},
		begun:    map[string]time.Duration{}, ready: make(chan struct{}, 1), changed: make(chan struct{}),
	}
}

func (e *evidence) signal() {
	select {
	case e.ready <- struct{}{}:
	default:
	}
}

// recordBegun records that the answer to a request with these parts began.
func (e *evidence) recordBegun(now time.Duration, parts []PromptPart) {
	if len(e.begun) >= maxBegunParts {
		e.older, e.begun = e.begun, make(map[string]time.Duration, maxBegunParts)
	}
	for _, p := range parts {
		e.begun[p.ID] = now
		if t := suspect.PartTrait(p.ID); len(e.suspects) > 0 {
			e.answer(t, now)
		}
	}
}

// answer queues the report that an answer with a trait began, if the leader asks for
// it.
func (e *evidence) answer(t suspect.Trait, begunAt time.Duration) {
	if _, asked := e.suspects[t]; !asked {
		return
	}
	if last, reported := e.reported[t]; reported && begunAt < last+carriedInterval {
		return
	}
	e.carried[t], e.reported[t] = begunAt, begunAt
	e.signal()
}

// setSuspects replaces the suspects by those of the leader of a term. A new leader does
// not know what was reported to an earlier one.
func (e *evidence) setSuspects(term uint64, list []suspect.Suspect) {
	close(e.changed)
	e.changed = make(chan struct{})
	if term != e.term {
		e.term = term
		clear(e.reported)
	}
	e.suspects = make(map[suspect.Trait]listedSuspect, len(list))
	for _, s := range list {
		e.suspects[s.Trait] = listedSuspect{quarantined: s.Quarantined, held: s.Held, until: s.Last + suspect.QuarantineTime}
	}
	maps.DeleteFunc(e.reported, func(t suspect.Trait, _ time.Duration) bool {
		_, listed := e.suspects[t]
		return !listed
	})
	for t := range e.suspects {
		part, isPart := t.Part()
		if !isPart {
			continue
		}
		at, begun := e.begun[part]
		if !begun {
			at, begun = e.older[part]
		}
		if begun {
			e.answer(t, at)
		}
	}
}

// findings are what an entry has to report to the leader.
type findings struct {
	lost []lostRequest
	// carried holds the suspects with which an answer began, and when.
	carried map[suspect.Trait]time.Duration
}

func (f findings) encode(now time.Duration) *peerv1.EvidenceReport {
	r := &peerv1.EvidenceReport{}
	for _, l := range f.lost {
		r.Lost = append(r.Lost, &peerv1.LostRequest{
			Fingerprint: l.fingerprint, Endpoint: l.endpoint, Parts: l.parts, AgeMs: uint64((now - l.at).Milliseconds()),
		})
	}
	for t, at := range f.carried {
		r.Carried = append(r.Carried, &peerv1.CarriedTrait{Trait: string(t), AgeMs: uint64((now - at).Milliseconds())})
	}
	return r
}

// take returns and removes what is to be reported.
func (e *evidence) take() findings {
	f := e.findings
	e.findings = findings{carried: map[suspect.Trait]time.Duration{}}
	return f
}

// giveBack adds what could not be reported to the next report.
func (e *evidence) giveBack(f findings) {
	e.lost = append(f.lost, e.lost...)
	e.lost = e.lost[:min(len(e.lost), maxLostRequests)]
	for t, at := range f.carried {
		e.carried[t] = max(e.carried[t], at)
	}
}

// trait returns the trait of requests that are equal to this one, of one customer.
func (c *call) trait() suspect.Trait {
	return suspect.RequestTrait(c.fingerprint())
}

// fingerprint returns a hash that is equal for equal requests of one customer. It is
// computed once, since a body may have megabytes.
func (c *call) fingerprint() uint64 {
	if c.hashed {
		return c.hash
	}
	h := xxhash.New()
	for _, part := range []string{c.customerName(), c.req.Method, c.req.Target, string(c.req.Body)} {
		_, _ = h.WriteString(part) // never fails
		_, _ = h.Write([]byte{0})
	}
	c.hash, c.hashed = h.Sum64(), true
	return c.hash
}

// answerBegun reports whether a part of the response's body has been passed on.
func (c *call) answerBegun() bool { return c.relay != nil && c.relay.first > 0 }

// recordBegun records that the answer to the request began.
func (c *call) recordBegun() {
	if len(c.req.Prefix) == 0 {
		return
	}
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.evidence.recordBegun(s.now(), c.req.Prefix)
}

// recordCompleted records that the request got a complete answer. An equal request is
// then no reason for a crash; parts of its prompt are recorded when the answer begins.
func (c *call) recordCompleted() {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.mu.evidence.suspects) > 0 {
		s.mu.evidence.answer(c.trait(), s.now())
	}
}

// recordLost records the request for the next report if the error shows that the
// exchange broke while the endpoint may have run it.
func (c *call) recordLost(endpoint string, err *resultcode.Error) {
	switch err.Code {
	case resultcode.EndpointLost, resultcode.AnswerIncomplete, resultcode.StreamBroken:
	default:
		return
	}
	s := c.server
	lost := lostRequest{at: s.now(), fingerprint: c.fingerprint(), endpoint: endpoint}
	if !c.answerBegun() {
		lost.parts = partIDs(c.req.Prefix)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.mu.evidence.lost) < maxLostRequests {
		s.mu.evidence.lost = append(s.mu.evidence.lost, lost)
	}
	s.mu.evidence.signal()
}

// checkQuarantine returns an error if the request, or a part of its prompt, is under
// quarantine because endpoints crashed while they ran such requests.
func (c *call) checkQuarantine() *resultcode.Error {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	suspects := s.mu.evidence.suspects
	if len(suspects) == 0 {
		return nil
	}
	if suspects[c.trait()].quarantined {
		return resultcode.New(resultcode.RequestCrashes, "the request is under quarantine: endpoints crashed while they ran it")
	}
	for _, p := range c.req.Prefix {
		listed := suspects[suspect.PartTrait(p.ID)]
		if !listed.quarantined {
			continue
		}
		err := resultcode.New(resultcode.PromptPartCrashes, "part %q of the prompt is under quarantine: endpoints crashed when they began to answer requests with it", p.ID)
		err.RetryAfter = max(0, listed.until-s.now())
		return err
	}
	return nil
}

// waitWhileHeld waits while a part of the prompt is held, for a limited time: the next
// endpoint would probably crash, too.
func (c *call) waitWhileHeld() {
	held, changed := c.held()
	if !held {
		return
	}
	if c.holdLimit == 0 {
		c.holdLimit = c.server.now() + suspect.MinHold + rand.N(suspect.HoldSpread)
	}
	limit := time.NewTimer(c.holdLimit - c.server.now())
	defer limit.Stop()
	for held {
		select {
		case <-changed:
		case <-limit.C:
		case <-c.server.draining:
		case <-c.ctx.Done():
		}
		held, changed = c.held()
	}
}

// held reports whether the request has to wait for the verdict on a part of its
// prompt. The channel is closed when the suspects change. A request that has waited
// long enough, or that will not be sent in any case, is not held.
func (c *call) held() (held bool, changed <-chan struct{}) {
	s := c.server
	if s.isDraining() || c.ctx.Err() != nil {
		return false, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.holdLimit != 0 && s.now() >= c.holdLimit {
		return false, nil
	}
	for _, p := range c.req.Prefix {
		if s.mu.evidence.suspects[suspect.PartTrait(p.ID)].held {
			return true, s.mu.evidence.changed
		}
	}
	return false, nil
}

// setSuspects replaces the suspects of the leader.
func (s *Server) setSuspects(list *peerv1.SuspectList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.evidence.setSuspects(directory.SuspectsTerm(list), directory.DecodeSuspects(s.now(), list))
}

// takeEvidence returns and removes what is to be reported to the leader.
func (s *Server) takeEvidence() findings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.evidence.take()
}

// giveBackEvidence adds what could not be reported to the next report.
func (s *Server) giveBackEvidence(f findings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.evidence.giveBack(f)
	s.mu.evidence.signal()
}
