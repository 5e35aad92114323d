package directory

import (
	"maps"
	"math"
	"time"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

// Parameters of the division of rates.
const (
	// demandTimeConstant is the time constant of an entry's measured demand.
	demandTimeConstant = 1500 * time.Millisecond
	// evenFraction of each rate is divided evenly, so that an entry can serve a
	// customer that it has not seen yet.
	evenFraction = 0.2
	// entryTimeout is how long an entry that no longer calls keeps its share. It is
	// longer than the entry itself trusts the share.
	entryTimeout = 6 * time.Second
	// minLevelFraction is the least fraction of a customer's level that an entry may
	// spend at once. The fractions of all entries add up to more than 1: few entries
	// get a burst at the same instant, and what they overspend is deducted afterwards.
	minLevelFraction = 0.35
	// maxLevelSum bounds the sum of these fractions if there are many entries.
	maxLevelSum = 3.0
	// initialLevel is the fraction of the burst with which a new leader starts, since
	// it does not know what was spent before.
	initialLevel = 0.3
)

// Usage is what a customer requested and spent at an entry since its last report, in
// tokens.
type Usage struct{ Requested, Spent float64 }

// Share is an entry's share of a customer's rate.
type Share struct {
	// Fraction is the fraction of the rate, from 0 to 1.
	Fraction float64
	// Level is what may be spent at once; a negative level must be refilled first.
	Level float64
}

// demandMeter measures the recent demand for each customer by entry.
type demandMeter struct {
	entries map[string]*entryUsage
	totals  map[string]float64 // sum over all entries, by customer
}

type entryUsage struct {
	lastSeen  time.Duration
	demand    map[string]float64
	updatedAt time.Duration
}

func newDemandMeter() demandMeter {
	return demandMeter{entries: map[string]*entryUsage{}, totals: map[string]float64{}}
}

// record adds the report of an entry.
func (m *demandMeter) record(now time.Duration, entry string, usage map[string]Usage) {
	e := m.entries[entry]
	if e == nil {
		e = &entryUsage{demand: map[string]float64{}, updatedAt: now}
		m.entries[entry] = e
	}
	e.lastSeen = now
	decay := math.Exp(-(now - e.updatedAt).Seconds() / demandTimeConstant.Seconds())
	e.updatedAt = now
	for name, demand := range e.demand {
		if kept := demand * decay; kept >= 1 {
			m.set(e, name, kept)
		} else {
			m.set(e, name, 0)
		}
	}
	for name, u := range usage {
		m.set(e, name, e.demand[name]+u.Requested)
	}
}

// set replaces an entry's demand for a customer.
func (m *demandMeter) set(e *entryUsage, customer string, demand float64) {
	m.totals[customer] += demand - e.demand[customer]
	if demand == 0 {
		delete(e.demand, customer)
		return
	}
	e.demand[customer] = demand
}

// remove removes an entry and its demand.
func (m *demandMeter) remove(entry string) {
	e := m.entries[entry]
	if e == nil {
		return
	}
	for customer := range e.demand {
		m.set(e, customer, 0)
	}
	delete(m.entries, entry)
}

// expire removes the entries that have timed out, and returns them.
func (m *demandMeter) expire(now time.Duration) (removed []string) {
	for name, e := range m.entries {
		if now-e.lastSeen > entryTimeout {
			m.remove(name)
			removed = append(removed, name)
		}
	}
	return removed
}

// Level is the state of a customer's rate over all entries.
type Level struct {
	Customer    string
	Rate, Burst float64
	// Demand is the recent demand of all entries, in tokens.
	Demand float64
	// Tokens may be spent at once; negative after overspending.
	Tokens float64
}

// Levels is the leader's account of the customers' rates: a token bucket for each
// customer from which all entries spend, and the demand of all entries.
type Levels struct {
	buckets map[string]*bucket
	reports map[string]*levelReport // by control VM
	totals  map[string]float64      // sum of the demands of all reports, by customer
}

// levelReport is the last report of a control VM.
type levelReport struct {
	at     time.Duration
	demand map[string]float64 // by customer
}

// bucket holds the remaining tokens of a customer's burst; it is negative after
// overspending.
type bucket struct {
	tokens     float64
	refilledAt time.Duration
}

// NewLevels returns Levels without reports.
func NewLevels() *Levels {
	return &Levels{buckets: map[string]*bucket{}, reports: map[string]*levelReport{}, totals: map[string]float64{}}
}

// RecordReport records the demand at the entries of a control VM, which replaces the
// one of its last report, and what they spent since. It returns the control VMs that
// have timed out.
func (l *Levels) RecordReport(now time.Duration, vm string, demand, spent map[string]float64) (removed []string) {
	for name, tokens := range spent {
		if b := l.buckets[name]; b != nil {
			b.tokens -= tokens
		}
	}
	l.removeReport(vm)
	l.reports[vm] = &levelReport{at: now, demand: demand}
	for name, tokens := range demand {
		l.totals[name] += tokens
	}
	for name, other := range l.reports {
		if now-other.at > entryTimeout {
			l.removeReport(name)
			removed = append(removed, name)
		}
	}
	return removed
}

func (l *Levels) removeReport(vm string) {
	r := l.reports[vm]
	if r == nil {
		return
	}
	delete(l.reports, vm)
	for name, tokens := range r.demand {
		l.totals[name] -= tokens
	}
}

// List returns the levels of the customers that have a rate.
func (l *Levels) List(now time.Duration, customers []catalog.Customer) []Level {
	out := make([]Level, 0, len(customers))
	for i := range customers {
		c := &customers[i]
		if c.Rate <= 0 {
			continue
		}
		out = append(out, Level{Customer: c.Name, Rate: c.Rate, Burst: c.Burst, Demand: l.totals[c.Name], Tokens: l.refill(now, c)})
	}
	return out
}

// refill adds the tokens since the last refill to a customer's bucket and returns
// its level.
func (l *Levels) refill(now time.Duration, c *catalog.Customer) float64 {
	burst := max(c.Burst, 1)
	b := l.buckets[c.Name]
	if b == nil {
		b = &bucket{tokens: burst * initialLevel, refilledAt: now}
		l.buckets[c.Name] = b
	}
	b.tokens = min(burst, b.tokens+c.Rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	return b.tokens
}

// Shares divides the customers' levels between the entries of one control VM: the
// rate by recent demand, the burst by what is left of it over all entries.
type Shares struct {
	demandMeter
	// allEntries is the number of entries of all control VMs, as of the last levels.
	allEntries int
	levels     map[string]Level
	levelsAt   time.Duration
	// unreported is what was spent since the last report to the leader, and reported
	// what a report contains that the leader has not answered. The levels contain
	// neither.
	unreported, reported map[string]float64
}

// NewShares returns Shares without entries and levels.
func NewShares() *Shares {
	return &Shares{demandMeter: newDemandMeter(), levels: map[string]Level{}, unreported: map[string]float64{}, reported: map[string]float64{}}
}

// RecordUsage adds the usage of an entry since its last report.
func (s *Shares) RecordUsage(now time.Duration, entry string, usage map[string]Usage) {
	for name, u := range usage {
		s.unreported[name] += u.Spent
	}
	s.record(now, entry, usage)
}

// Expire removes the entries that have timed out, and returns them.
func (s *Shares) Expire(now time.Duration) (removed []string) { return s.expire(now) }

// Remove removes an entry, which now watches another control VM. What it spent stays
// in the next report.
func (s *Shares) Remove(entry string) { s.remove(entry) }

// TakeReport returns the report to the leader: the recent demand at all entries, and
// what was spent since the last report. SetLevels applies the leader's answer. If there
// is none, ReturnReport must be called.
func (s *Shares) TakeReport() (demand, spent map[string]float64) {
	s.reported, s.unreported = s.unreported, map[string]float64{}
	return maps.Clone(s.totals), s.reported
}

// ReturnReport adds what the last report contained to the next one.
func (s *Shares) ReturnReport() {
	for name, tokens := range s.reported {
		s.unreported[name] += tokens
	}
	s.reported = map[string]float64{}
}

// SetLevels replaces the levels by those of the leader, which contain all usage up
// to the last TakeReport. entries is the number of entries of all control VMs.
func (s *Shares) SetLevels(now time.Duration, entries int, levels []Level) {
	s.allEntries, s.levelsAt = entries, now
	s.reported = map[string]float64{}
	s.levels = make(map[string]Level, len(levels))
	for _, l := range levels {
		s.levels[l.Customer] = l
	}
}

// EntryCount returns the number of entries of all control VMs, but at least 1.
func (s *Shares) EntryCount() int { return max(1, s.allEntries, len(s.entries)) }

// ForEntry returns the entry's shares of the customers' rates.
func (s *Shares) ForEntry(now time.Duration, entry string) map[string]Share {
	own := s.entries[entry]
	if own == nil {
		return nil
	}
	out := make(map[string]Share, len(s.levels))
	for name := range s.levels {
		fraction := s.fraction(own, name)
		left := s.tokens(now, name)
		if left > 0 {
			left *= max(fraction, min(minLevelFraction, maxLevelSum/float64(s.EntryCount())))
		} else {
			left *= fraction
		}
		out[name] = Share{Fraction: fraction, Level: left}
	}
	return out
}

func (s *Shares) fraction(own *entryUsage, name string) float64 {
	even := 1 / float64(s.EntryCount())
	total := max(s.levels[name].Demand, s.totals[name])
	if total < 1 { // demands below one token are dropped
		return even
	}
	return evenFraction*even + (1-evenFraction)*own.demand[name]/total
}

// tokens returns what is left of a customer's burst, as far as this control VM knows.
func (s *Shares) tokens(now time.Duration, name string) float64 {
	l := s.levels[name]
	refilled := min(max(l.Burst, 1), l.Tokens+l.Rate*(now-s.levelsAt).Seconds())
	return refilled - s.unreported[name] - s.reported[name]
}
