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
// when it crashed, and those of the beginnings of their prompts.
type crash struct {
	id           string
	fingerprints [][]byte
	beginnings   [][]byte
	expires      uint64
}

// alone reports whether one request was running.
func (c *crash) alone() bool { return len(c.fingerprints) == 1 }

// weight returns what the crash adds to the counts of its suspects.
func (c *crash) weight() (alone, inCompany int) {
	if c.alone() {
		return 1, 0
	}
	return 0, 1
}

// suspects counts, for each request fingerprint and each beginning of a prompt, the
// crashes during which such a request was running. Both lists are ordered by expiry:
// new crashes and changed suspects go to the end.
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
// with others. A report without requests is ignored.
func (s *suspects) report(now uint64, r *statev1.SuspectReport) {
	if len(r.GetFingerprints()) == 0 {
		return
	}
	c := s.byCrash[r.GetCrash()]
	if c == nil {
		c = &crash{id: r.GetCrash(), expires: now + suspicionMs}
		s.byCrash[c.id] = c
		s.crashes = append(s.crashes, c)
	}
	wasAlone := c.alone()
	counted := slices.Concat(c.fingerprints, c.beginnings)
	requests := addMissing(&c.fingerprints, r.GetFingerprints())
	fresh := slices.DeleteFunc(slices.Clone(r.GetBeginnings()), func(b []byte) bool { return s.repeats(c, b) })
	beginnings := addMissing(&c.beginnings, fresh)
	if len(requests)+len(beginnings) == 0 {
		return
	}
	if wasAlone && !c.alone() {
		for _, f := range counted {
			s.count(now, f, -1, 1)
		}
	}
	alone, inCompany := c.weight()
	for _, f := range requests {
		s.count(now, f, alone, inCompany)
	}
	for _, b := range beginnings {
		s.count(now, b, alone, inCompany).Request = c.fingerprints[0]
	}
	s.evictOldest()
	s.version++
}

// repeats reports whether a beginning was counted before for a request of this crash.
// A request that is sent again and again is itself the suspect, not its beginning.
func (s *suspects) repeats(c *crash, beginning []byte) bool {
	counted := s.byFingerprint[string(beginning)].GetRequest()
	return len(counted) != 0 && slices.ContainsFunc(c.fingerprints, func(f []byte) bool { return string(f) == string(counted) })
}

// addMissing appends the fingerprints that the list does not have, and returns them.
func addMissing(list *[][]byte, more [][]byte) [][]byte {
	before := len(*list)
	for _, f := range more {
		if !slices.ContainsFunc(*list, func(g []byte) bool { return string(f) == string(g) }) {
			*list = append(*list, f)
		}
	}
	return (*list)[before:]
}

// clear ends suspicions. A fingerprint that is not suspected is ignored.
func (s *suspects) clear(fingerprints [][]byte) {
	before := len(s.order)
	for _, f := range fingerprints {
		old := s.byFingerprint[string(f)]
		if old == nil {
			continue
		}
		delete(s.byFingerprint, string(f))
		s.order = slices.DeleteFunc(s.order, func(o *statev1.Suspect) bool { return o == old })
	}
	if len(s.order) != before {
		s.version++
	}
}

// count adds to the counts of a suspect and moves it to the end of the order. It
// replaces the suspect instead of modifying it, since callers of list share it, and
// returns the new one.
func (s *suspects) count(now uint64, fingerprint []byte, alone, inCompany int) *statev1.Suspect {
	old := s.byFingerprint[string(fingerprint)]
	if old != nil {
		s.order = slices.DeleteFunc(s.order, func(o *statev1.Suspect) bool { return o == old })
	}
	next := &statev1.Suspect{
		Fingerprint: fingerprint,
		Alone:       uint32(max(0, int(old.GetAlone())+alone)),
		InCompany:   uint32(int(old.GetInCompany()) + inCompany),
		ExpiresMs:   now + suspicionMs,
		Request:     old.GetRequest(),
	}
	s.byFingerprint[string(fingerprint)] = next
	s.order = append(s.order, next)
	return next
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
		out.Crashes = append(out.Crashes, &statev1.CrashRecord{Crash: c.id, Fingerprints: c.fingerprints, Beginnings: c.beginnings, ExpiresMs: c.expires})
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
		c := &crash{id: r.GetCrash(), fingerprints: r.GetFingerprints(), beginnings: r.GetBeginnings(), expires: r.GetExpiresMs()}
		s.crashes = append(s.crashes, c)
		s.byCrash[c.id] = c
	}
}
