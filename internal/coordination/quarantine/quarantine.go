// Package quarantine finds requests that crash endpoints.
//
// It follows which requests run on which endpoint. When all requests that ran
// on an endpoint lose their connections without a sign of life in between, the
// endpoint crashed, and the requests are suspects. The counts are kept in the
// replicated state; this package makes the reports and reads the counts.
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
	// lossWindow is how long the losses of one crash may lie apart. A request
	// that waits for its first token notices a dead peer by keep-alive probes,
	// after about 3 s.
	lossWindow = 5 * time.Second
	// crashesToRefuse is the number of crashes alone on an endpoint after which
	// a request is refused.
	crashesToRefuse = 2
	// crashesToIsolate is the number of crashes of any kind after which a request
	// has to wait for an idle endpoint. Being alone of one entry is not enough
	// where others keep every endpoint busy: all crashes then are in company.
	crashesToIsolate = 2
	// maxCleared bounds the memory of cleared requests.
	maxCleared = 4096
)

// Fingerprint identifies equal requests of one customer on one route.
type Fingerprint [sha256.Size]byte

// FingerprintOf hashes customer, route and body.
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

// Verdict is how a request has to be treated.
type Verdict int

// Verdicts.
const (
	// Free requests run as usual.
	Free Verdict = iota
	// Alone requests run on an endpoint without others.
	Alone
	// Refused requests are not run.
	Refused
)

// Crash is the end of an endpoint with the requests that ran on it.
type Crash struct {
	Endpoint     string
	Fingerprints []Fingerprint
	// Company says that further requests ran there whose loss was not seen.
	Company bool
}

// Report returns the command for a crash. The identifier must be the same at
// every entry that sees the same crash. If other requests may have run on the
// endpoint, a stand-in fingerprint is added, so that a single request does not
// count as alone.
func (c Crash) Report(id string, othersRan bool) *statev1.SuspectReport {
	r := &statev1.SuspectReport{Endpoint: c.Endpoint, Crash: id}
	for _, f := range c.Fingerprints {
		r.Fingerprints = append(r.Fingerprints, slices.Clone(f[:]))
	}
	if (othersRan || c.Company) && len(c.Fingerprints) == 1 {
		other := sha256.Sum256(fmt.Append(nil, "others on ", c.Endpoint, id))
		r.Fingerprints = append(r.Fingerprints, other[:])
	}
	return r
}

// Tracker follows running requests and judges new ones.
type Tracker struct {
	endpoints map[string]*state
	suspects  map[Fingerprint]counts
	cleared   map[Fingerprint]counts

	// blameAll counts crashes in company like crashes alone. Tests set it to
	// show that they detect innocent requests being refused.
	blameAll bool
}

type counts struct{ alone, company uint32 }

type state struct {
	running map[uint64]Fingerprint
	lost    []Fingerprint
	first   time.Duration // time of the first loss
	// ended is when a request last ended without success or loss, for example
	// because it was silent; it may have met the same crash.
	ended    time.Duration
	anyEnded bool
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{
		endpoints: make(map[string]*state),
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

// Judge says how a request has to be treated.
func (t *Tracker) Judge(f Fingerprint) Verdict {
	c, suspected := t.suspects[f]
	if !suspected {
		return Free
	}
	if c.alone >= crashesToRefuse || t.blameAll && c.alone+c.company >= crashesToRefuse {
		return Refused
	}
	if t.cleared[f] == c {
		return Free
	}
	return Alone
}

// Isolated says whether a request that has to run alone needs an endpoint that
// runs nothing of any entry. Requests that were beside one crash do not.
func (t *Tracker) Isolated(f Fingerprint) bool {
	c := t.suspects[f]
	return c.alone+c.company >= crashesToIsolate && t.cleared[f] != c
}

// Suspected says whether any crash is counted against a request.
func (t *Tracker) Suspected(f Fingerprint) bool {
	_, suspected := t.suspects[f]
	return suspected
}

// Begin notes that a request runs on an endpoint.
func (t *Tracker) Begin(endpoint string, id uint64, f Fingerprint) {
	s := t.endpoints[endpoint]
	if s == nil {
		s = &state{running: make(map[uint64]Fingerprint)}
		t.endpoints[endpoint] = s
	}
	s.running[id] = f
}

// Alive notes a sign of life: losses before it were no crash.
func (t *Tracker) Alive(endpoint string) {
	if s := t.endpoints[endpoint]; s != nil {
		s.lost = nil
	}
}

// Succeeded notes that a request ended well, which clears it of its present
// suspicions.
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

// Ended notes that a request ended without saying anything of its endpoint. It
// can complete a crash: the last request that was running is gone.
func (t *Tracker) Ended(now time.Duration, endpoint string, id uint64) (Crash, bool) {
	s := t.endpoints[endpoint]
	if s == nil {
		return Crash{}, false
	}
	if _, running := s.running[id]; !running {
		return Crash{}, false
	}
	delete(s.running, id)
	s.ended, s.anyEnded = now, true
	return s.crash(now, endpoint)
}

// Lost notes that a request lost its connection to the endpoint. The crash is
// returned once no request is left running there.
func (t *Tracker) Lost(now time.Duration, endpoint string, id uint64) (Crash, bool) {
	s := t.endpoints[endpoint]
	if s == nil {
		return Crash{}, false
	}
	f, running := s.running[id]
	if !running {
		return Crash{}, false
	}
	if len(s.lost) > 0 && now-s.first > lossWindow {
		s.lost = nil
	}
	if len(s.lost) == 0 {
		s.first = now
	}
	if !slices.Contains(s.lost, f) {
		s.lost = append(s.lost, f)
	}
	delete(s.running, id)
	return s.crash(now, endpoint)
}

func (s *state) crash(now time.Duration, endpoint string) (Crash, bool) {
	if len(s.running) > 0 || len(s.lost) == 0 {
		return Crash{}, false
	}
	c := Crash{Endpoint: endpoint, Fingerprints: s.lost}
	c.Company = s.anyEnded && now-s.ended <= lossWindow
	s.lost = nil
	return c, now-s.first <= lossWindow
}
