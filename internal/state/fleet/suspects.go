package fleet

import (
	"slices"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

const (
	// suspicionMs is how long a suspicion lasts after the last reported crash.
	suspicionMs = 10 * 60 * 1000
	// maxSuspects and maxCrashes bound the memory used by reports.
	maxSuspects = 10_000
	maxCrashes  = 10_000
)

// crash holds the fingerprints of the requests that were running on an endpoint
// when it crashed.
type crash struct {
	id           string
	fingerprints [][]byte
	expires      uint64
}

// suspects counts, for each request fingerprint, the crashes during which the
// request was running. Both lists are ordered by expiry: new crashes and changed
// suspects go to the end.
type suspects struct {
	version       uint64
	byFingerprint map[string]*statev1.Suspect
	order         []*statev1.Suspect
	byCrash       map[string]*crash
	crashes       []*crash
}

func newSuspects() suspects {
	return suspects{byFingerprint: map[string]*statev1.Suspect{}, byCrash: map[string]*crash{}}
}

// report adds fingerprints to a crash. Several entries may report the same crash;
// a request that was first counted as running alone is then recounted as running
// with others.
func (s *suspects) report(now uint64, r *statev1.SuspectReport) {
	c := s.byCrash[r.GetCrash()]
	if c == nil {
		c = &crash{id: r.GetCrash(), expires: now + suspicionMs}
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
	s.evictOldest()
	s.version++
}

// count adds to the counts of a suspect and moves it to the end of the order. It
// replaces the suspect instead of modifying it, since callers of list share it.
func (s *suspects) count(now uint64, fingerprint []byte, alone, inCompany int) {
	old := s.byFingerprint[string(fingerprint)]
	if old != nil {
		s.order = slices.DeleteFunc(s.order, func(o *statev1.Suspect) bool { return o == old })
	}
	next := &statev1.Suspect{
		Fingerprint: fingerprint,
		Alone:       uint32(max(0, int(old.GetAlone())+alone)),
		InCompany:   uint32(int(old.GetInCompany()) + inCompany),
		ExpiresMs:   now + suspicionMs,
	}
	s.byFingerprint[string(fingerprint)] = next
	s.order = append(s.order, next)
}

func (s *suspects) evictOldest() {
	for len(s.order) > maxSuspects {
		s.removeOldestSuspect()
	}
	for len(s.crashes) > maxCrashes {
		s.removeOldestCrash()
	}
}

func (s *suspects) removeOldestSuspect() {
	delete(s.byFingerprint, string(s.order[0].GetFingerprint()))
	s.order = slices.Delete(s.order, 0, 1)
}

func (s *suspects) removeOldestCrash() {
	delete(s.byCrash, s.crashes[0].id)
	s.crashes = slices.Delete(s.crashes, 0, 1)
}

func (s *suspects) expire(now uint64) {
	before := len(s.order)
	for len(s.order) > 0 && s.order[0].GetExpiresMs() <= now {
		s.removeOldestSuspect()
	}
	for len(s.crashes) > 0 && s.crashes[0].expires <= now {
		s.removeOldestCrash()
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
		s.byFingerprint[string(p.GetFingerprint())] = p
	}
	for _, r := range saved.GetCrashes() {
		c := &crash{id: r.GetCrash(), fingerprints: r.GetFingerprints(), expires: r.GetExpiresMs()}
		s.crashes = append(s.crashes, c)
		s.byCrash[c.id] = c
	}
}
