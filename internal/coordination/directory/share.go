package directory

import (
	"math"
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

// Constants of the division of rates.
const (
	// demandMemory is the time constant of an entry's measured demand.
	demandMemory = 1500 * time.Millisecond
	// evenPart of each rate is divided evenly, so that an entry can serve a
	// customer that it has not seen yet.
	evenPart = 0.2
	// entryTimeout is how long an entry that no longer calls keeps its share. It
	// is above the time for which the entry itself trusts the share.
	entryTimeout = 6 * time.Second
	// freePart is the least part of a customer's level that an entry may spend at
	// once. The parts add up to more than the level: few entries meet a burst in
	// the same instant, and what they overspend is made up for afterwards.
	freePart = 0.35
	// freeEntries bounds the sum of these parts where there are many entries.
	freeEntries = 3.0
	// firstLevel is the part of the burst that a new leader starts with. It does
	// not know what was spent before.
	firstLevel = 0.3
)

// Shares divides the customers' rates between entries: the rate by recent
// demand, the burst by a level that all entries draw on and report to.
type Shares struct {
	entries map[string]*entryUsage
	levels  map[string]*level
	// totals are the sums of the entries' demands by customer.
	totals map[string]float64
	// version grows when an entry comes, goes or has another address. listed is the
	// list of addresses as of listedVersion.
	version, listedVersion uint64
	listed                 []string
	listedAt               time.Duration
}

type entryUsage struct {
	address string
	seen    time.Duration
	demand  map[string]float64
	at      time.Duration
}

// level is what is left of a customer's burst; it is negative after overspending.
type level struct {
	tokens float64
	at     time.Duration
}

// Usage is what a customer requested and spent at an entry since its last report,
// in tokens.
type Usage struct{ Requested, Spent float64 }

// Share is what an entry may use of a customer's rate.
type Share struct {
	// Fraction is the fraction of the rate, from 0 to 1.
	Fraction float64
	// Level may be spent at once; a negative one has to be made up for first.
	Level float64
}

// NewShares returns Shares without entries.
func NewShares() *Shares {
	return &Shares{entries: map[string]*entryUsage{}, levels: map[string]*level{}, totals: map[string]float64{}}
}

// RecordUsage adds the usage of an entry since its last report, and removes the
// entries that have timed out.
func (s *Shares) RecordUsage(now time.Duration, entry string, usage map[string]Usage) {
	e := s.entries[entry]
	if e == nil {
		e = &entryUsage{demand: map[string]float64{}, at: now}
		s.entries[entry] = e
	}
	e.seen = now
	decay := math.Exp(-(now - e.at).Seconds() / demandMemory.Seconds())
	e.at = now
	for name, demand := range e.demand {
		if kept := demand * decay; kept >= 1 {
			s.set(e, name, kept)
		} else {
			s.set(e, name, 0)
		}
	}
	for name, u := range usage {
		s.set(e, name, e.demand[name]+u.Requested)
		if l := s.levels[name]; l != nil {
			l.tokens -= u.Spent
		}
	}
	for name, other := range s.entries {
		if now-other.seen > entryTimeout {
			for customer := range other.demand {
				s.set(other, customer, 0)
			}
			delete(s.entries, name)
			s.version++
		}
	}
}

// set replaces an entry's demand for a customer.
func (s *Shares) set(e *entryUsage, customer string, demand float64) {
	s.totals[customer] += demand - e.demand[customer]
	if demand == 0 {
		delete(e.demand, customer)
		return
	}
	e.demand[customer] = demand
}

// SetAddress records where an entry takes datagrams of others.
func (s *Shares) SetAddress(entry, address string) {
	if e := s.entries[entry]; e != nil && e.address != address {
		e.address = address
		s.version++
	}
}

// Addresses returns where entries take datagrams of others, and the version of
// that list. A list is kept for peersInterval.
func (s *Shares) Addresses(now time.Duration) (list []string, version uint64) {
	if s.listedVersion == s.version || (s.listed != nil && now-s.listedAt < peersInterval) {
		return s.listed, s.listedVersion
	}
	s.listed, s.listedVersion, s.listedAt = nil, s.version, now
	for _, e := range s.entries {
		if e.address != "" {
			s.listed = append(s.listed, e.address)
		}
	}
	slices.Sort(s.listed)
	return s.listed, s.listedVersion
}

// EntryCount returns the number of entries, but at least 1.
func (s *Shares) EntryCount() int { return max(1, len(s.entries)) }

// ForEntry returns the entry's shares of the customers' rates.
func (s *Shares) ForEntry(now time.Duration, entry string, customers []catalog.Customer) map[string]Share {
	own := s.entries[entry]
	if own == nil {
		return nil
	}
	out := make(map[string]Share, len(customers))
	for i := range customers {
		c := &customers[i]
		if c.Rate <= 0 {
			continue
		}
		part := s.part(own, c.Name)
		left := s.refill(now, c)
		if left > 0 {
			left *= max(part, min(freePart, freeEntries/float64(s.EntryCount())))
		} else {
			left *= part
		}
		out[c.Name] = Share{Fraction: part, Level: left}
	}
	return out
}

func (s *Shares) part(own *entryUsage, name string) float64 {
	even := 1 / float64(s.EntryCount())
	total := s.totals[name]
	if total < 1 { // demands below one token are forgotten
		return even
	}
	return evenPart*even + (1-evenPart)*own.demand[name]/total
}

// refill brings a customer's level up to date and returns it.
func (s *Shares) refill(now time.Duration, c *catalog.Customer) float64 {
	burst := max(c.Burst, 1)
	l := s.levels[c.Name]
	if l == nil {
		l = &level{tokens: burst * firstLevel, at: now}
		s.levels[c.Name] = l
	}
	l.tokens = min(burst, l.tokens+c.Rate*(now-l.at).Seconds())
	l.at = now
	return l.tokens
}
