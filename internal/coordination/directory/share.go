package directory

import (
	"math"
	"time"
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
)

// Shares divides the customers' rates between entries by recent demand. Their
// sum is never above one.
type Shares struct {
	entries map[string]*entryUsage
}

type entryUsage struct {
	seen   time.Duration
	demand map[string]float64
	at     time.Duration
}

// NewShares returns Shares without entries.
func NewShares() *Shares { return &Shares{entries: map[string]*entryUsage{}} }

// Report adds what an entry was asked for since its last report.
func (s *Shares) Report(now time.Duration, entry string, usage map[string]float64) {
	e := s.entries[entry]
	if e == nil {
		e = &entryUsage{demand: map[string]float64{}, at: now}
		s.entries[entry] = e
	}
	e.seen = now
	decay := math.Exp(-(now - e.at).Seconds() / demandMemory.Seconds())
	e.at = now
	for name := range e.demand {
		e.demand[name] *= decay
		if e.demand[name] < 1 {
			delete(e.demand, name)
		}
	}
	for name, amount := range usage {
		e.demand[name] += amount
	}
	for name, other := range s.entries {
		if now-other.seen > entryTimeout {
			delete(s.entries, name)
		}
	}
}

// Entries returns the number of entries.
func (s *Shares) Entries() int { return max(1, len(s.entries)) }

// For returns the entry's parts by customer. Customers without demand are left
// out: each entry has an even part of theirs.
func (s *Shares) For(entry string) map[string]float64 {
	totals := map[string]float64{}
	for _, e := range s.entries {
		for name, amount := range e.demand {
			totals[name] += amount
		}
	}
	own := s.entries[entry]
	if own == nil {
		return nil
	}
	out := make(map[string]float64, len(totals))
	for name, total := range totals {
		out[name] = evenPart/float64(s.Entries()) + (1-evenPart)*own.demand[name]/total
	}
	return out
}
