package suspect

import (
	"slices"
	"time"
)

// inheritTime is how long entries have, after a change of the leader, to find the new one
// and to report again which suspects are harmless.
const inheritTime = time.Second

// inherited stands for the endpoint of a crash that an earlier leader counted.
const inherited = ""

// Merge adds what the list of an earlier leader says: traits in quarantine, unless they
// were lifted, or answers with them began, since their last crash, and open suspicions.
func (r *Register) Merge(now time.Duration, list []Suspect) {
	var open []Suspect
	for _, s := range list {
		at, carried := r.carried[s.Trait]
		switch known := r.quarantined[s.Trait]; {
		case carried && at > s.Last:
		case !s.Quarantined && now-s.Last <= evidenceTime:
			open = append(open, s)
		case s.Quarantined && (known == nil || known.Last < s.Last):
			r.quarantine(Suspect{Trait: s.Trait, Quarantined: true, Crashes: s.Crashes, Last: s.Last})
		}
	}
	r.inherit(now, open)
	for i := range r.crashes {
		r.updateExplained(&r.crashes[i])
	}
}

// inherit counts the open suspicions of an earlier leader as one crash, at the time of
// the last of theirs. What entries reported about them is not known.
func (r *Register) inherit(now time.Duration, open []Suspect) {
	if len(open) == 0 {
		return
	}
	c := crash{endpoint: inherited, at: open[0].Last}
	if i := slices.IndexFunc(r.crashes, func(c crash) bool { return c.endpoint == inherited }); i >= 0 {
		c = r.crashes[i]
		r.crashes = slices.Delete(r.crashes, i, i+1)
	} else {
		r.inheritedAt = now
	}
	for _, s := range open {
		c.at = max(c.at, s.Last)
		c.traits = addTraits(c.traits, []Trait{s.Trait})
	}
	r.insert(c)
}
