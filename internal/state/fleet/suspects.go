package fleet

import (
	"slices"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

const (
	// suspectMs is how long a suspicion lasts after the last crash.
	suspectMs = 10 * 60 * 1000
	// maxSuspects and maxCrashes bound the memory that reports can take.
	maxSuspects = 10_000
	maxCrashes  = 10_000
)

// crash is what was reported about one crash of an endpoint.
type crash struct {
	id           string
	fingerprints [][]byte
	expires      uint64
}

// suspects counts the crashes that request fingerprints were part of. Both
// lists are ordered by expiry, since every report moves its entry to the end.
type suspects struct {
	version uint64
	byPrint map[string]*statev1.Suspect
	order   []*statev1.Suspect
	byCrash map[string]*crash
	crashes []*crash
}

func newSuspects() suspects {
	return suspects{byPrint: map[string]*statev1.Suspect{}, byCrash: map[string]*crash{}}
}

// report adds fingerprints to a crash. A request that was first reported alone
// turns out to have run in company when another entry reports the same crash.
func (s *suspects) report(now uint64, r *statev1.SuspectReport) {
	c := s.byCrash[r.GetCrash()]
	if c == nil {
		c = &crash{id: r.GetCrash(), expires: now + suspectMs}
		s.byCrash[c.id] = c
		s.crashes = append(s.crashes, c)
	}
	before := len(c.fingerprints)
	for _, f := range r.GetFingerprints() {
		if !slices.ContainsFunc(c.fingerprints, func(g []byte) bool { return string(f) == string(g) }) {
			c.fingerprints = append(c.fingerprints, f)
		}
	}
	if len(c.fingerprints) == before {
		return
	}
	if before == 1 {
		s.count(now, c.fingerprints[0], -1, 1)
	}
	for _, f := range c.fingerprints[before:] {
		if len(c.fingerprints) == 1 {
			s.count(now, f, 1, 0)
		} else {
			s.count(now, f, 0, 1)
		}
	}
	s.trim()
	s.version++
}

// count replaces a suspect by one with changed counts at the end of the order.
// Suspects are never modified in place: callers of list share them.
func (s *suspects) count(now uint64, fingerprint []byte, alone, company int) {
	old := s.byPrint[string(fingerprint)]
	if old != nil {
		s.order = slices.DeleteFunc(s.order, func(o *statev1.Suspect) bool { return o == old })
	}
	next := &statev1.Suspect{
		Fingerprint: fingerprint,
		Alone:       uint32(max(0, int(old.GetAlone())+alone)),
		InCompany:   uint32(int(old.GetInCompany()) + company),
		ExpiresMs:   now + suspectMs,
	}
	s.byPrint[string(fingerprint)] = next
	s.order = append(s.order, next)
}

func (s *suspects) trim() {
	for len(s.order) > maxSuspects {
		s.dropFirst()
	}
	for len(s.crashes) > maxCrashes {
		s.dropFirstCrash()
	}
}

func (s *suspects) dropFirst() {
	delete(s.byPrint, string(s.order[0].GetFingerprint()))
	s.order = slices.Delete(s.order, 0, 1)
}

func (s *suspects) dropFirstCrash() {
	delete(s.byCrash, s.crashes[0].id)
	s.crashes = slices.Delete(s.crashes, 0, 1)
}

func (s *suspects) expire(now uint64) {
	before := len(s.order)
	for len(s.order) > 0 && s.order[0].GetExpiresMs() <= now {
		s.dropFirst()
	}
	for len(s.crashes) > 0 && s.crashes[0].expires <= now {
		s.dropFirstCrash()
	}
	if len(s.order) != before {
		s.version++
	}
}

func (s *suspects) list() []*statev1.Suspect { return slices.Clone(s.order) }

func (s *suspects) save() *statev1.SuspectTable {
	out := &statev1.SuspectTable{Version: s.version, Suspects: s.list()}
	for _, c := range s.crashes {
		out.Crashes = append(out.Crashes, &statev1.CrashRecord{Crash: c.id, Fingerprints: c.fingerprints, ExpiresMs: c.expires})
	}
	return out
}

func (s *suspects) load(saved *statev1.SuspectTable) {
	*s = newSuspects()
	s.version = saved.GetVersion()
	s.order = saved.GetSuspects()
	for _, p := range s.order {
		s.byPrint[string(p.GetFingerprint())] = p
	}
	for _, r := range saved.GetCrashes() {
		c := &crash{id: r.GetCrash(), fingerprints: r.GetFingerprints(), expires: r.GetExpiresMs()}
		s.crashes = append(s.crashes, c)
		s.byCrash[c.id] = c
	}
}
