// Package quarantine detects requests that crash endpoints.
//
// It tracks which requests run on which endpoint. When all requests that run on
// an endpoint lose their connections within a few seconds, and nothing shows in
// between that the endpoint is alive, it counts as crashed and the requests are
// suspects. The counts of crashes are kept in the replicated state; this package
// builds the reports and evaluates the counts.
//
// It is deterministic and not safe for concurrent use. Times are durations
// since the start of the process.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
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

// Fingerprint identifies identical requests of one customer on one route.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the hash of customer, route and body. Customer and route
// are preceded by their lengths, so that the boundaries are unambiguous.
func FingerprintOf(customer, route string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{customer, route} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(body)
	return Fingerprint(h.Sum(nil))
}

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
	Endpoint     string
	Fingerprints []Fingerprint
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
	for _, f := range c.Fingerprints {
		r.Fingerprints = append(r.Fingerprints, slices.Clone(f[:]))
	}
	if (othersRan || c.OthersRunning) && len(c.Fingerprints) == 1 {
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
	running   map[uint64]Fingerprint
	lost      []Fingerprint // connection losses that may belong to one crash
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

// Judge returns how a request has to be treated.
func (t *Tracker) Judge(f Fingerprint) Verdict {
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

// NeedsIdleEndpoint reports whether an exclusive request needs an endpoint that
// runs no requests of any entry. After a single crash it does not.
func (t *Tracker) NeedsIdleEndpoint(f Fingerprint) bool {
	c := t.suspects[f]
	return c.alone+c.withOthers >= crashesToIsolate && t.cleared[f] != c
}

// Suspected reports whether any crash is counted against a request.
func (t *Tracker) Suspected(f Fingerprint) bool {
	_, suspected := t.suspects[f]
	return suspected
}

// Begin records that a request runs on an endpoint.
func (t *Tracker) Begin(endpoint string, id uint64, f Fingerprint) {
	s := t.endpoints[endpoint]
	if s == nil {
		s = &endpointState{running: make(map[uint64]Fingerprint)}
		t.endpoints[endpoint] = s
	}
	s.running[id] = f
}

// MarkAlive records that the endpoint responds: earlier losses were not a crash.
func (t *Tracker) MarkAlive(endpoint string) {
	if s := t.endpoints[endpoint]; s != nil {
		s.lost = nil
	}
}

// Succeeded records that a request completed. A suspect then runs without
// restriction until a further crash is counted against it. Earlier losses at the
// endpoint were not a crash.
func (t *Tracker) Succeeded(endpoint string, id uint64) {
	s := t.endpoints[endpoint]
	if s == nil {
		return
	}
	f, running := s.running[id]
	if !running {
		return
	}
	if c, suspected := t.suspects[f]; suspected && (len(t.cleared) < maxCleared) {
		t.cleared[f] = c
	}
	s.lost = nil
	delete(s.running, id)
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
	f, running := s.running[id]
	if !running {
		return Crash{}, false
	}
	if len(s.lost) > 0 && now-s.firstLoss > lossWindow {
		s.lost = nil
	}
	if len(s.lost) == 0 {
		s.firstLoss = now
	}
	if !slices.Contains(s.lost, f) {
		s.lost = append(s.lost, f)
	}
	delete(s.running, id)
	return s.crash(now, endpoint)
}

// crash returns the crash that the losses so far amount to, if there is one.
func (s *endpointState) crash(now time.Duration, endpoint string) (Crash, bool) {
	if len(s.running) > 0 || len(s.lost) == 0 {
		return Crash{}, false
	}
	c := Crash{Endpoint: endpoint, Fingerprints: s.lost}
	c.OthersRunning = s.anyEnded && now-s.lastEnd <= lossWindow
	s.lost = nil
	return c, now-s.firstLoss <= lossWindow
}
