// Package quarantine detects requests that crash endpoints.
//
// It tracks which requests run on which endpoint. When all requests that run on
// an endpoint lose their connections within a few seconds, and nothing shows in
// between that the endpoint is alive, it counts as crashed and the requests are
// suspects. The counts of crashes are kept in the replicated state; this package
// builds the reports and evaluates the counts.
//
// Crashes are counted for the whole request and for each beginning of its prompt,
// since requests that crash endpoints may have only that in common. Harmless requests
// share the beginning of another one's prompt, too: a request with it that completes
// clears the beginning at all entries.
//
// It is deterministic and not safe for concurrent use. Times are durations
// since the start of the process.
package quarantine

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

const (
	// lossWindow is the longest time between the first and the last connection
	// loss of one crash. A request that waits for its first token notices a dead
	// peer only by keep-alive probes, after about 3 s.
	lossWindow = 5 * time.Second
	// crashesToRefuse is the number of crashes after which a request is refused.
	// Only crashes of an endpoint that ran nothing else count.
	crashesToRefuse = 2
	// crashesToIsolate is the number of crashes of any kind after which a request
	// has to wait for an idle endpoint. An endpoint without other requests of
	// this entry is not enough if other entries keep every endpoint busy: no
	// crash could then be attributed to one request.
	crashesToIsolate = 2
	// maxCleared bounds the number of cleared fingerprints that are remembered.
	maxCleared = 4096
)

// Verdict says how a request has to be treated.
type Verdict int

// Verdicts.
const (
	// Allowed requests run without restriction.
	Allowed Verdict = iota
	// Exclusive requests run only on an endpoint without other requests.
	Exclusive
	// Refused requests are in quarantine and do not run.
	Refused
)

// Crash describes the crash of an endpoint and the requests that ran on it.
type Crash struct {
	Endpoint string
	Requests []Identity
	// OthersRunning means that further requests ran there shortly before the crash
	// and ended without a visible connection loss.
	OthersRunning bool
}

// Report returns the command that reports the crash. The id must be the same at
// every entry that sees the same crash. If other requests may have run on the
// endpoint, a placeholder fingerprint is added, so that the crash of a single
// known request does not count as one that this request alone caused.
func (c Crash) Report(id string, othersRan bool) *statev1.SuspectReport {
	r := &statev1.SuspectReport{Endpoint: c.Endpoint, Crash: id}
	for _, q := range c.Requests {
		r.Fingerprints = append(r.Fingerprints, slices.Clone(q.Request[:]))
		for _, b := range q.Beginnings {
			r.Beginnings = append(r.Beginnings, slices.Clone(b[:]))
		}
	}
	if (othersRan || c.OthersRunning) && len(c.Requests) == 1 {
		other := sha256.Sum256(fmt.Append(nil, "others on ", c.Endpoint, id))
		r.Fingerprints = append(r.Fingerprints, other[:])
	}
	return r
}

// Tracker tracks running requests and decides how to treat new ones.
type Tracker struct {
	endpoints map[string]*endpointState
	suspects  map[Fingerprint]counts
	cleared   map[Fingerprint]counts

	// blameAll counts every crash against all requests that ran on the endpoint.
	// Tests set it to prove that they detect refusals of harmless requests.
	blameAll bool
}

// counts are the crashes of endpoints that ran only this request (alone) or also
// others (withOthers).
type counts struct{ alone, withOthers uint32 }

// endpointState is what is known of the requests on one endpoint.
type endpointState struct {
	running   map[uint64]Identity
	lost      []Identity    // connection losses that may belong to one crash
	firstLoss time.Duration // time of the first loss
	// lastEnd is the time at which a request last ended without success or loss,
	// for example because no response came. The same crash may have caused that.
	lastEnd  time.Duration
	anyEnded bool
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{
		endpoints: make(map[string]*endpointState),
		suspects:  make(map[Fingerprint]counts),
		cleared:   make(map[Fingerprint]counts),
	}
}

// SetSuspects replaces the counts with those of the replicated state.
func (t *Tracker) SetSuspects(list []*statev1.Suspect) {
	clear(t.suspects)
	for _, s := range list {
		if len(s.Fingerprint) == sha256.Size {
			t.suspects[Fingerprint(s.Fingerprint)] = counts{s.Alone, s.InCompany}
		}
	}
	for f := range t.cleared {
		if _, still := t.suspects[f]; !still {
			delete(t.cleared, f)
		}
	}
}

// Judge returns how a request has to be treated: as the strictest of what crashes
// were counted for.
func (t *Tracker) Judge(q Identity) Verdict {
	v := t.judgeRequest(q.Request)
	for _, b := range q.Beginnings {
		v = max(v, t.judgeBeginning(b))
	}
	return v
}

func (t *Tracker) judgeRequest(f Fingerprint) Verdict {
	c, suspected := t.suspects[f]
	if !suspected {
		return Allowed
	}
	if c.alone >= crashesToRefuse || t.blameAll && c.alone+c.withOthers >= crashesToRefuse {
		return Refused
	}
	if t.cleared[f] == c {
		return Allowed
	}
	return Exclusive
}

// judgeBeginning is milder than judgeRequest: one crash is no reason to treat all
// requests with a common beginning as suspects.
func (t *Tracker) judgeBeginning(f Fingerprint) Verdict {
	c, suspected := t.suspects[f]
	switch {
	case !suspected, t.cleared[f] == c:
		return Allowed
	case c.alone >= crashesToRefuse:
		return Refused
	case c.alone+c.withOthers >= crashesToIsolate:
		return Exclusive
	default:
		return Allowed
	}
}

// NeedsIdleEndpoint reports whether an exclusive request needs an endpoint that
// runs no requests of any entry. After a single crash it does not.
func (t *Tracker) NeedsIdleEndpoint(q Identity) bool {
	c := t.suspects[q.Request]
	if c.alone+c.withOthers >= crashesToIsolate && t.cleared[q.Request] != c {
		return true
	}
	return slices.ContainsFunc(q.Beginnings, func(b Fingerprint) bool { return t.judgeBeginning(b) != Allowed })
}

// Suspected reports whether any crash is counted against a request.
func (t *Tracker) Suspected(q Identity) bool {
	_, suspected := t.suspects[q.Request]
	return suspected || slices.ContainsFunc(q.Beginnings, func(b Fingerprint) bool {
		_, suspected := t.suspects[b]
		return suspected
	})
}

// Begin records that a request runs on an endpoint.
func (t *Tracker) Begin(endpoint string, id uint64, q Identity) {
	s := t.endpoints[endpoint]
	if s == nil {
		s = &endpointState{running: make(map[uint64]Identity)}
		t.endpoints[endpoint] = s
	}
	s.running[id] = q
}

// MarkAlive records that the endpoint responds: earlier losses were not a crash.
func (t *Tracker) MarkAlive(endpoint string) {
	if s := t.endpoints[endpoint]; s != nil {
		s.lost = nil
	}
}

// Succeeded records that a request completed. A suspect then runs without
// restriction until a further crash is counted against it. Earlier losses at the
// endpoint were not a crash. It returns the command that clears the beginnings of
// the prompt at all entries, or nil if none of them is suspected.
func (t *Tracker) Succeeded(endpoint string, id uint64) *statev1.SuspectsCleared {
	s := t.endpoints[endpoint]
	if s == nil {
		return nil
	}
	q, running := s.running[id]
	if !running {
		return nil
	}
	s.lost = nil
	delete(s.running, id)
	t.clear(q.Request)
	var out *statev1.SuspectsCleared
	for _, b := range q.Beginnings {
		if !t.clear(b) {
			continue
		}
		if out == nil {
			out = &statev1.SuspectsCleared{}
		}
		out.Fingerprints = append(out.Fingerprints, slices.Clone(b[:]))
	}
	return out
}

// clear ends the suspicion that rests on the crashes counted so far. It reports
// whether there was one.
func (t *Tracker) clear(f Fingerprint) bool {
	c, suspected := t.suspects[f]
	if !suspected || t.cleared[f] == c || len(t.cleared) >= maxCleared {
		return false
	}
	t.cleared[f] = c
	return true
}

// Ended records that a request ended without telling whether its endpoint is
// alive. If it was the last request running there, earlier losses may now amount
// to a crash.
func (t *Tracker) Ended(now time.Duration, endpoint string, id uint64) (Crash, bool) {
	s := t.endpoints[endpoint]
	if s == nil {
		return Crash{}, false
	}
	if _, running := s.running[id]; !running {
		return Crash{}, false
	}
	delete(s.running, id)
	s.lastEnd, s.anyEnded = now, true
	return s.crash(now, endpoint)
}

// Lost records that a request lost its connection to the endpoint. It returns
// the crash when no other request is left running there.
func (t *Tracker) Lost(now time.Duration, endpoint string, id uint64) (Crash, bool) {
	s := t.endpoints[endpoint]
	if s == nil {
		return Crash{}, false
	}
	q, running := s.running[id]
	if !running {
		return Crash{}, false
	}
	if len(s.lost) > 0 && now-s.firstLoss > lossWindow {
		s.lost = nil
	}
	if len(s.lost) == 0 {
		s.firstLoss = now
	}
	if !slices.ContainsFunc(s.lost, func(l Identity) bool { return l.Request == q.Request }) {
		s.lost = append(s.lost, q)
	}
	delete(s.running, id)
	return s.crash(now, endpoint)
}

// crash returns the crash that the losses so far amount to, if there is one.
func (s *endpointState) crash(now time.Duration, endpoint string) (Crash, bool) {
	if len(s.running) > 0 || len(s.lost) == 0 {
		return Crash{}, false
	}
	c := Crash{Endpoint: endpoint, Requests: s.lost}
	c.OthersRunning = s.anyEnded && now-s.lastEnd <= lossWindow
	s.lost = nil
	return c, now-s.firstLoss <= lossWindow
}
