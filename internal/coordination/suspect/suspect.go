// Package suspect attributes crashes of endpoints to what the lost requests had in
// common: the whole request, or a part of the prompt.
//
// Problem: a part of a prompt can crash every endpoint that begins to answer it, and
// no two requests with that part are equal. A crash ends all requests on the
// endpoint, so the parts of harmless requests are lost with it, and the most common
// parts are lost most often. Alternatives: counting equal requests only never finds
// the part, and counting lost parts only refuses the common ones. Instead, evidence
// for and against is weighed: only requests whose answer had not begun count, a part
// with which an answer has begun after a crash is cleared of that crash, and a crash
// that a quarantined trait explains counts for no other trait.
//
// Invariant: a trait is put into quarantine only if it was lost in crashes at
// several different times and no answer to a request with it began in between,
// although the entries had time to say so.
//
// Register performs no I/O, reads no clock and is not safe for concurrent use. Times
// are durations since the start of the process.
package suspect

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// crashesToQuarantine is the number of crashes at different times after which a
	// trait is put into quarantine. crashesIfTied is the number if several traits were
	// lost in the same crashes: one more crash mostly tells them apart.
	// crashesIfCarried is the number for a trait with which answers began before: a
	// harmless part can be lost several times while no endpoint is left that could
	// answer.
	crashesToQuarantine = 2
	crashesIfTied       = 3
	crashesIfCarried    = 4
	// crashWindow is the time within which several crashes count as one: when a rack
	// fails, common parts are lost at many endpoints at once.
	crashWindow = 300 * time.Millisecond
	// answerTime is how long entries have, after the first crash with a trait, to
	// report that answers to requests with it begin.
	answerTime = 700 * time.Millisecond
	// crashesToHold is the number of crashes, also at the same time, after which
	// requests with a trait wait for the verdict.
	crashesToHold = 2
	// evidenceTime is how long a crash counts.
	evidenceTime = time.Minute
	// lossTime is how long losses wait for the news whether their endpoint crashed.
	lossTime = 10 * time.Second
	// maxCrashes, maxTraits and maxFormer bound the memory: crashes, traits of one
	// crash, and traits that were in quarantine or that answers began with.
	maxCrashes = 256
	maxTraits  = 256
	maxFormer  = 4096
	// maxListed bounds the traits that List returns.
	maxListed = 256
)

// QuarantineTime is how long a trait stays in quarantine after its last crash.
const QuarantineTime = 10 * time.Minute

// A request waits for the verdict on a suspect that is held for MinHold plus a random
// part of HoldSpread. Requests go on one after the other, so that the crash by the
// first of them stops the others.
const (
	MinHold    = answerTime + 300*time.Millisecond
	HoldSpread = time.Second
)

// Trait is what several requests may have in common.
type Trait string

const (
	partPrefix    = "part/"
	requestPrefix = "request/"
)

// PartTrait returns the trait of requests whose prompt has a part.
func PartTrait(part string) Trait { return Trait(partPrefix + part) }

// Part returns the part of the prompt that the trait stands for, if it does.
func (t Trait) Part() (part string, ok bool) { return strings.CutPrefix(string(t), partPrefix) }

// RequestTrait returns the trait of equal requests, from a hash of the request.
func RequestTrait(fingerprint uint64) Trait {
	return Trait(requestPrefix + strconv.FormatUint(fingerprint, 16))
}

// Suspect is a trait with the evidence against it.
type Suspect struct {
	Trait Trait
	// Quarantined traits are refused. Others are listed so that entries report
	// whether answers to requests with them begin.
	Quarantined bool
	// Held traits have crashed endpoints, and no answer with them is known to have
	// begun: requests with them wait for the verdict for a while, see MinHold.
	Held bool
	// Crashes is the number of crashes, Last the time of the last one.
	Crashes int
	Last    time.Duration
}

// crash is the crash of one endpoint.
type crash struct {
	endpoint  string
	at        time.Duration
	traits    []Trait
	explained bool // by a trait in quarantine
}

// losses are the traits of requests that lost their connection to an endpoint, which
// may have crashed.
type losses struct {
	first, last time.Duration // when connections were lost
	heard       time.Duration // when the last report of one arrived
	traits      []Trait
}

// Register holds the evidence.
type Register struct {
	pending     map[string]*losses // by endpoint
	crashes     []crash            // in the order of time
	carried     map[Trait]time.Duration
	quarantined map[Trait]*Suspect
	// former holds the traits that were in quarantine. They return there with the
	// next crash.
	former map[Trait]bool
	// inheritedAt is when the open suspicions of an earlier leader were taken over.
	inheritedAt time.Duration
}

// New returns a Register without evidence.
func New() *Register {
	return &Register{pending: map[string]*losses{}, carried: map[Trait]time.Duration{}, quarantined: map[Trait]*Suspect{}, former: map[Trait]bool{}}
}

// RecordLoss records the traits of a request that lost its connection to an endpoint
// at lostAt, before its answer began.
func (r *Register) RecordLoss(now, lostAt time.Duration, endpoint string, traits []Trait) {
	for i := range r.crashes {
		if c := &r.crashes[i]; c.endpoint == endpoint && lostAt-c.at <= lossTime {
			c.traits = addTraits(c.traits, traits)
			r.updateExplained(c)
			return
		}
	}
	l := r.pending[endpoint]
	if l == nil || lostAt-l.last > lossTime {
		l = &losses{first: lostAt, last: lostAt}
		r.pending[endpoint] = l
	}
	l.first = min(l.first, lostAt)
	l.last = max(l.last, lostAt)
	l.heard = now
	l.traits = addTraits(l.traits, traits)
}

func addTraits(list, more []Trait) []Trait {
	for _, t := range more {
		if len(list) < maxTraits && !slices.Contains(list, t) {
			list = append(list, t)
		}
	}
	return list
}

// Pending reports whether it is open if an endpoint with losses has crashed.
func (r *Register) Pending(endpoint string) bool { return r.pending[endpoint] != nil }

// RecordAlive records that an endpoint answered a question that was sent at askedAt:
// what was lost before was not lost in a crash.
func (r *Register) RecordAlive(endpoint string, askedAt time.Duration) {
	if l := r.pending[endpoint]; l != nil && l.last < askedAt {
		delete(r.pending, endpoint)
	}
}

// RecordCrash records that an endpoint has crashed. Without losses there it has no
// effect.
func (r *Register) RecordCrash(endpoint string) {
	l := r.pending[endpoint]
	if l == nil {
		return
	}
	delete(r.pending, endpoint)
	c := crash{endpoint: endpoint, at: l.first, traits: l.traits}
	r.updateExplained(&c)
	r.insert(c)
}

// updateExplained marks a crash that a quarantined trait explains, and extends the
// quarantine of that trait.
func (r *Register) updateExplained(c *crash) {
	for _, t := range c.traits {
		if q := r.quarantined[t]; q != nil {
			if !c.explained {
				q.Crashes++
			}
			c.explained = true
			q.Last = max(q.Last, c.at)
		}
	}
}

// RecordCarried records that an answer to a request with a trait began at a time.
func (r *Register) RecordCarried(at time.Duration, t Trait) {
	if len(r.carried) >= maxFormer {
		clear(r.carried)
	}
	if known, carried := r.carried[t]; !carried || at > known {
		r.carried[t] = at
	}
	if q := r.quarantined[t]; q != nil && at > q.Last {
		delete(r.quarantined, t)
	}
}

// Lift ends the quarantine of a trait. It reports whether the trait was in
// quarantine.
func (r *Register) Lift(now time.Duration, t Trait) bool {
	if r.quarantined[t] == nil {
		return false
	}
	delete(r.quarantined, t)
	delete(r.former, t)
	r.carried[t] = now
	return true
}

// insert adds a crash in the order of time.
func (r *Register) insert(c crash) {
	r.crashes = append(r.crashes, c)
	slices.SortStableFunc(r.crashes, func(a, b crash) int { return cmp.Compare(a.at, b.at) })
	r.crashes = r.crashes[max(0, len(r.crashes)-maxCrashes):]
}

// Evaluate ends what is too old and decides which traits are put into quarantine. It
// returns those.
func (r *Register) Evaluate(now time.Duration) []Suspect {
	r.expire(now)
	var out []Suspect
	for {
		best := r.strongest(now)
		if len(best) == 0 {
			return out
		}
		for _, s := range best {
			s.Quarantined = true
			r.quarantine(s)
			out = append(out, s)
		}
		for i := range r.crashes {
			r.crashes[i].explained = r.crashes[i].explained || slices.ContainsFunc(r.crashes[i].traits, func(t Trait) bool { return r.quarantined[t] != nil })
		}
	}
}

func (r *Register) quarantine(s Suspect) {
	r.quarantined[s.Trait] = &s
	if len(r.former) >= maxFormer {
		clear(r.former)
	}
	r.former[s.Trait] = true
}

func (r *Register) expire(now time.Duration) {
	maps.DeleteFunc(r.pending, func(_ string, l *losses) bool { return now-l.heard > lossTime })
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return now-c.at > evidenceTime })
	maps.DeleteFunc(r.quarantined, func(_ Trait, s *Suspect) bool { return now-s.Last > QuarantineTime })
}

// count is the evidence against a trait from crashes that nothing explains yet.
type count struct {
	trait   Trait
	times   int // different times at which endpoints crashed
	crashes []int
	first   time.Duration
	// counted is when the last of these times began.
	counted time.Duration
}

// counts returns the evidence against each trait, the strongest first.
func (r *Register) counts() []*count {
	byTrait := map[Trait]*count{}
	for i := range r.crashes {
		c := &r.crashes[i]
		if c.explained {
			continue
		}
		for _, t := range c.traits {
			if at, carried := r.carried[t]; carried && at > c.at {
				continue
			}
			n := byTrait[t]
			if n == nil {
				n = &count{trait: t, first: c.at, counted: c.at, times: 1}
				byTrait[t] = n
			} else if c.at-n.counted > crashWindow {
				n.times++
				n.counted = c.at
			}
			n.crashes = append(n.crashes, i)
		}
	}
	return slices.SortedFunc(maps.Values(byTrait), func(a, b *count) int {
		return cmp.Or(cmp.Compare(b.times, a.times), cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.trait, b.trait))
	})
}

// strongest returns the trait with the most evidence against it if that suffices,
// together with those that were lost in exactly the same crashes. Several such traits
// need more evidence.
func (r *Register) strongest(now time.Duration) []Suspect {
	var best *count
	var out []Suspect
	for _, n := range r.counts() {
		switch {
		case n.times < r.threshold(n.trait):
			continue
		case !r.answersDue(now, n):
			if best == nil {
				return nil // may explain the crashes of those that follow
			}
			continue
		case best == nil:
			best = n
		case n.times < best.times || !slices.Equal(n.crashes, best.crashes):
			continue
		}
		out = append(out, Suspect{Trait: n.trait, Crashes: len(n.crashes), Last: r.crashes[n.crashes[len(n.crashes)-1]].at})
	}
	if len(out) > 1 && best.times < crashesIfTied {
		return nil
	}
	return out
}

// answersDue reports whether entries had the time to report that answers with a trait
// begin.
func (r *Register) answersDue(now time.Duration, n *count) bool {
	if now-n.first < answerTime {
		return false
	}
	return r.crashes[n.crashes[0]].endpoint != inherited || now-r.inheritedAt >= inheritTime
}

// threshold returns the number of crashes at different times after which a trait is
// put into quarantine.
func (r *Register) threshold(t Trait) int {
	if r.former[t] {
		return 1
	}
	if _, carried := r.carried[t]; carried {
		return crashesIfCarried
	}
	return crashesToQuarantine
}

// List returns the traits in quarantine, and those with evidence against them on
// which entries may know more, the strongest first.
func (r *Register) List() []Suspect {
	out := slices.SortedFunc(func(yield func(Suspect) bool) {
		for _, s := range r.quarantined {
			if !yield(*s) {
				return
			}
		}
	}, func(a, b Suspect) int { return cmp.Or(cmp.Compare(b.Last, a.Last), cmp.Compare(a.Trait, b.Trait)) })
	for _, n := range r.counts() {
		_, carried := r.carried[n.trait]
		if carried && n.times < crashesIfCarried-1 {
			continue // entries need not be asked yet
		}
		if r.quarantined[n.trait] == nil {
			out = append(out, Suspect{
				Trait: n.trait, Held: !carried && len(n.crashes) >= crashesToHold,
				Crashes: len(n.crashes), Last: r.crashes[n.crashes[len(n.crashes)-1]].at,
			})
		}
	}
	return out[:min(len(out), maxListed)]
}
