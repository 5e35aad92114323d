package directory

import (
	"math"
	"slices"
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

// Shares divides the customers' rates between entries: the rate by recent demand,
// the burst by a token bucket for each customer from which all entries spend.
type Shares struct {
	entries map[string]*entryUsage
	buckets map[string]*bucket
	// totals holds the sum of all entries' demands by customer.
	totals map[string]float64
	// version grows when an entry is added, removed or has another address. addresses
	// is the list of addresses at addressesVersion.
	version, addressesVersion uint64
	addresses                 []string
	addressesAt               time.Duration
}

type entryUsage struct {
	address   string
	lastSeen  time.Duration
	demand    map[string]float64
	updatedAt time.Duration
}

// bucket holds the remaining tokens of a customer's burst; it is negative after
// overspending.
type bucket struct {
	tokens     float64
	refilledAt time.Duration
}

// Usage is what a customer requested and spent at an entry since its last report,
// in tokens.
type Usage struct{ Requested, Spent float64 }

// Share is an entry's share of a customer's rate.
type Share struct {
	// Fraction is the fraction of the rate, from 0 to 1.
	Fraction float64
	// Level is what may be spent at once; a negative level must be refilled first.
	Level float64
}

// NewShares returns Shares without entries.
func NewShares() *Shares {
	return &Shares{entries: map[string]*entryUsage{}, buckets: map[string]*bucket{}, totals: map[string]float64{}}
}

// RecordUsage adds the usage of an entry since its last report, and removes the
// entries that have timed out.
func (s *Shares) RecordUsage(now time.Duration, entry string, usage map[string]Usage) {
	e := s.entries[entry]
	if e == nil {
		e = &entryUsage{demand: map[string]float64{}, updatedAt: now}
		s.entries[entry] = e
	}
	e.lastSeen = now
	decay := math.Exp(-(now - e.updatedAt).Seconds() / demandTimeConstant.Seconds())
	e.updatedAt = now
	for name, demand := range e.demand {
		if kept := demand * decay; kept >= 1 {
			s.setDemand(e, name, kept)
		} else {
			s.setDemand(e, name, 0)
		}
	}
	for name, u := range usage {
		s.setDemand(e, name, e.demand[name]+u.Requested)
		if b := s.buckets[name]; b != nil {
			b.tokens -= u.Spent
		}
	}
	for name, other := range s.entries {
		if now-other.lastSeen > entryTimeout {
			for customer := range other.demand {
				s.setDemand(other, customer, 0)
			}
			delete(s.entries, name)
			s.version++
		}
	}
}

// setDemand replaces an entry's demand for a customer.
func (s *Shares) setDemand(e *entryUsage, customer string, demand float64) {
	s.totals[customer] += demand - e.demand[customer]
	if demand == 0 {
		delete(e.demand, customer)
		return
	}
	e.demand[customer] = demand
}

// SetAddress records the address at which an entry receives datagrams from others.
func (s *Shares) SetAddress(entry, address string) {
	if e := s.entries[entry]; e != nil && e.address != address {
		e.address = address
		s.version++
	}
}

// Addresses returns the addresses at which entries receive datagrams from others,
// and the version of that list. A list is kept for peersInterval.
func (s *Shares) Addresses(now time.Duration) (list []string, version uint64) {
	if s.addressesVersion == s.version || (s.addresses != nil && now-s.addressesAt < peersInterval) {
		return s.addresses, s.addressesVersion
	}
	s.addresses, s.addressesVersion, s.addressesAt = nil, s.version, now
	for _, e := range s.entries {
		if e.address != "" {
			s.addresses = append(s.addresses, e.address)
		}
	}
	slices.Sort(s.addresses)
	return s.addresses, s.addressesVersion
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
		fraction := s.fraction(own, c.Name)
		left := s.refill(now, c)
		if left > 0 {
			left *= max(fraction, min(minLevelFraction, maxLevelSum/float64(s.EntryCount())))
		} else {
			left *= fraction
		}
		out[c.Name] = Share{Fraction: fraction, Level: left}
	}
	return out
}

func (s *Shares) fraction(own *entryUsage, name string) float64 {
	even := 1 / float64(s.EntryCount())
	total := s.totals[name]
	if total < 1 { // demands below one token are dropped
		return even
	}
	return evenFraction*even + (1-evenFraction)*own.demand[name]/total
}

// refill adds the tokens since the last refill to a customer's bucket and returns
// its level.
func (s *Shares) refill(now time.Duration, c *catalog.Customer) float64 {
	burst := max(c.Burst, 1)
	b := s.buckets[c.Name]
	if b == nil {
		b = &bucket{tokens: burst * initialLevel, refilledAt: now}
		s.buckets[c.Name] = b
	}
	b.tokens = min(burst, b.tokens+c.Rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	return b.tokens
}
