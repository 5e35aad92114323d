package pool

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Constants of the choice of a broker.
const (
	// downTime is how long an entry that did not answer is passed over, unless it is
	// heard of before.
	downTime = 3 * time.Second
	// brokersTried is how many entries are tried for a model before an entry gives
	// out places itself: after the loss of a data centre most of them answer.
	brokersTried = 3
)

// Owners says which entry is the broker of a model. Every entry comes to the same
// result from the same list; where lists differ, a model has two brokers for a
// moment.
type Owners struct {
	self    string
	entries []string
	down    map[string]time.Duration // until when
	// cached are the results without regard to entries that are down.
	cached map[modelKey][]string
}

// NewOwners returns Owners that know one entry.
func NewOwners(self string) *Owners {
	return &Owners{self: self, entries: []string{self}, down: map[string]time.Duration{}, cached: map[modelKey][]string{}}
}

// SetEntries replaces the list of entries; the own one is always part of it.
func (o *Owners) SetEntries(addresses []string) {
	o.entries = slices.Clone(addresses)
	if !slices.Contains(o.entries, o.self) {
		o.entries = append(o.entries, o.self)
	}
	clear(o.cached)
}

// BrokerOf returns the broker of a model.
func (o *Owners) BrokerOf(now time.Duration, key modelKey) string {
	for _, entry := range o.ranked(key) {
		if entry == o.self || now >= o.down[entry] {
			return entry
		}
	}
	return o.self
}

// MarkDown excludes an entry from being a broker for downTime.
func (o *Owners) MarkDown(now time.Duration, entry string) { o.down[entry] = now + downTime }

// MarkUp makes an entry eligible as a broker again.
func (o *Owners) MarkUp(entry string) { delete(o.down, entry) }

// Down lists the entries that are passed over.
func (o *Owners) Down(now time.Duration) []string {
	var out []string
	for entry, until := range o.down {
		if now < until {
			out = append(out, entry)
			continue
		}
		delete(o.down, entry)
	}
	slices.Sort(out)
	return out
}

// ranked returns the entries that may be the broker of a model, the first first.
func (o *Owners) ranked(key modelKey) []string {
	if found, ok := o.cached[key]; ok {
		return found
	}
	hash := xxhash.Sum64String(key.service + "/" + key.model)
	list := slices.Clone(o.entries)
	slices.SortFunc(list, func(a, b string) int {
		x, y := rendezvous(hash, a), rendezvous(hash, b)
		if x != y {
			if x > y {
				return -1
			}
			return 1
		}
		return slices.Compare([]byte(a), []byte(b))
	})
	list = list[:min(brokersTried, len(list))]
	o.cached[key] = list
	return list
}
