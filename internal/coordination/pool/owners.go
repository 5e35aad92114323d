package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the choice of a broker.
const (
	// downTime is how long an entry that did not answer is excluded, unless a
	// message of it arrives earlier.
	downTime = 3 * time.Second
	// maxBrokers is how many entries are tried as the broker of a model before an
	// entry grants slots itself. After the loss of a data centre, most of them
	// still answer.
	maxBrokers = 3
	// maxGranters is how many entries may give permits for an engine.
	maxGranters = 3
)

// Owners determines which entry is the broker of a model. Every entry computes
// the same result from the same list. Where lists differ, a model has two
// brokers until they agree again.
type Owners struct {
	self      string
	entries   []string
	downUntil map[string]time.Duration // until when an entry is excluded
	// cached holds the candidates of each model, including entries that are down.
	cached map[modelKey][]string
	// ranks holds this entry's rank at each endpoint that was asked for.
	ranks map[string]int
	// granterLists caches the result of granters by engine.
	granterLists map[string][]string
}

// NewOwners returns Owners that know only this entry.
func NewOwners(self string) *Owners {
	return &Owners{self: self, entries: []string{self}, downUntil: map[string]time.Duration{}, cached: map[modelKey][]string{}, ranks: map[string]int{}, granterLists: map[string][]string{}}
}

// SetEntries replaces the list of entries. This entry is always part of it.
func (o *Owners) SetEntries(addresses []string) {
	o.entries = slices.Clone(addresses)
	if !slices.Contains(o.entries, o.self) {
		o.entries = append(o.entries, o.self)
	}
	clear(o.cached)
	clear(o.ranks)
	clear(o.granterLists)
}

// BrokerOf returns the broker of a model.
func (o *Owners) BrokerOf(now time.Duration, key modelKey) string {
	for _, entry := range o.candidates(key) {
		if entry == o.self || now >= o.downUntil[entry] {
			return entry
		}
	}
	return o.self
}

// MarkDown excludes an entry from being a broker for downTime.
func (o *Owners) MarkDown(now time.Duration, entry string) { o.downUntil[entry] = now + downTime }

// MarkUp makes an entry eligible as a broker again.
func (o *Owners) MarkUp(entry string) { delete(o.downUntil, entry) }

// Down lists the entries that are marked down.
func (o *Owners) Down(now time.Duration) []string {
	var out []string
	for entry, until := range o.downUntil {
		if now < until {
			out = append(out, entry)
			continue
		}
		delete(o.downUntil, entry)
	}
	slices.Sort(out)
	return out
}

// candidates returns the entries that may be the broker of a model, in order of
// preference.
func (o *Owners) candidates(key modelKey) []string {
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
	list = list[:min(maxBrokers, len(list))]
	o.cached[key] = list
	return list
}

// rank returns this entry's position in the order in which entries share the limit
// of an endpoint. All entries compute the same order.
func (o *Owners) rank(endpoint string) int {
	if found, ok := o.ranks[endpoint]; ok {
		return found
	}
	own := shareOrder(endpoint, o.self)
	rank := 0
	for _, entry := range o.entries {
		if shareOrder(endpoint, entry) < own {
			rank++
		}
	}
	o.ranks[endpoint] = rank
	return rank
}

func shareOrder(endpoint, entry string) uint64 { return xxhash.Sum64String(endpoint + "/" + entry) }

// granters returns the entries that give permits for an engine that warms up, in order.
// All entries compute the same order.
func (o *Owners) granters(endpoint string) []string {
	if found, ok := o.granterLists[endpoint]; ok {
		return found
	}
	list := slices.Clone(o.entries)
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(shareOrder(endpoint, a), shareOrder(endpoint, b)), cmp.Compare(a, b))
	})
	list = list[:min(maxGranters, len(list))]
	o.granterLists[endpoint] = list
	return list
}
