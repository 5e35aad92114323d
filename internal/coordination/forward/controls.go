package forward

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

const (
	// An entry that watches another control VM than its preferred one tries that one
	// again after returnDelay plus a random part of returnSpread. Entries return
	// spread, so that a restarted control VM does not get all of them at once.
	returnDelay  = 5 * time.Second
	returnSpread = 5 * time.Second
)

// controlVMs is the list of control VMs that an entry may watch, the preferred ones
// first: those of its own data centre, each entry in an order of its own, so that
// changes cross to a data centre once and its entries are spread over its control
// VMs. It is safe for concurrent use.
type controlVMs struct {
	vm, dataCentre string // of this entry

	mu struct {
		sync.Mutex
		seeds     []string
		addresses []string
		current   int
		// fallback is the index that was in use before the preferred control VM was
		// tried again, or zero.
		fallback int
		returnAt time.Time
		// leader takes Load calls; empty if not known.
		leader string
	}
}

// setSeeds replaces the addresses from the settings.
func (c *controlVMs) setSeeds(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.seeds = addresses
	c.addLocked(addresses)
}

// addLocked appends the addresses that are not in the list yet.
func (c *controlVMs) addLocked(addresses []string) {
	for _, a := range addresses {
		if !slices.Contains(c.mu.addresses, a) {
			c.mu.addresses = append(c.mu.addresses, a)
		}
	}
}

// add appends control VMs that are not in the list yet. It keeps the order of the
// list, so that each control VM is called in its turn.
func (c *controlVMs) add(members []*statev1.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var addresses []string
	for _, m := range members {
		addresses = append(addresses, m.GetAddress())
	}
	c.addLocked(addresses)
}

// set replaces the list by the members in this entry's order, followed by the seeds,
// which remain as a fallback. current is the address that is in use.
func (c *controlVMs) set(members []*statev1.Member, current string) {
	sorted := slices.Clone(members)
	slices.SortStableFunc(sorted, func(a, b *statev1.Member) int {
		if x, y := c.isLocal(a), c.isLocal(b); x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Compare(c.hash(a), c.hash(b))
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, m := range sorted {
		if !slices.Contains(list, m.GetAddress()) {
			list = append(list, m.GetAddress())
		}
	}
	for _, a := range append(slices.Clone(c.mu.seeds), current) {
		if !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	if !slices.Equal(list, c.mu.addresses) {
		c.mu.addresses, c.mu.fallback = list, 0
	}
	c.mu.current = slices.Index(list, current)
}

func (c *controlVMs) isLocal(m *statev1.Member) bool {
	return c.dataCentre != "" && m.GetDataCentre() == c.dataCentre
}

func (c *controlVMs) hash(m *statev1.Member) uint64 {
	return xxhash.Sum64String(c.vm + "/" + m.GetAddress())
}

// address returns the address to call and the number of addresses in the list. From
// time to time it is the preferred one again.
func (c *controlVMs) address(now time.Time) (address string, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.mu.current == 0:
		c.mu.returnAt = time.Time{}
	case c.mu.returnAt.IsZero():
		c.mu.returnAt = now.Add(returnDelay + rand.N(returnSpread))
	case now.After(c.mu.returnAt):
		c.mu.returnAt = time.Time{}
		c.mu.fallback, c.mu.current = c.mu.current, 0
	}
	return c.mu.addresses[c.mu.current], len(c.mu.addresses)
}

// next selects the next address after a failed call: the one that was in use, if the
// call was a trial of the preferred one.
func (c *controlVMs) next() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.fallback > 0 {
		c.mu.current, c.mu.fallback = c.mu.fallback, 0
		return
	}
	c.mu.current = (c.mu.current + 1) % len(c.mu.addresses)
}

// answered records a response of the address in use, which names the leader.
func (c *controlVMs) answered(leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.fallback = 0
	c.mu.leader = leader
}

// loadAddress returns the address for Load calls: the leader, if it is known.
func (c *controlVMs) loadAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.leader != "" {
		return c.mu.leader
	}
	return c.mu.addresses[c.mu.current]
}
