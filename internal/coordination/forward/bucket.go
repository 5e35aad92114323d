package forward

import (
	"time"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

// Constants of an entry's part of a rate while the leader is out of reach.
const (
	// shareTrust is how long a share holds without contact. The leader gives an
	// entry's share to others only later than that.
	shareTrust = 4 * time.Second
	// lonelyShare is what an entry takes afterwards, as a part of an even share.
	lonelyShare = 0.5
)

// Buckets hold an entry's parts of the customers' rates as token buckets.
type Buckets struct {
	entries int
	shares  map[string]float64
	levels  map[string]*bucket
	contact time.Duration
}

type bucket struct {
	level float64
	at    time.Duration
}

// NewBuckets returns buckets that are empty until the first shares come.
func NewBuckets() *Buckets {
	return &Buckets{entries: 1, shares: map[string]float64{}, levels: map[string]*bucket{}}
}

// SetShares takes over the parts of the rates, from 0 to 1. A customer that is
// not listed gets an even share.
func (b *Buckets) SetShares(now time.Duration, shares map[string]float64, entries int) {
	b.shares = shares
	b.entries = max(1, entries)
	b.contact = now
}

func (b *Buckets) share(now time.Duration, name string) float64 {
	even := 1 / float64(b.entries)
	share, ok := b.shares[name]
	if !ok {
		share = even
	}
	if now-b.contact > shareTrust {
		return min(share, even*lonelyShare)
	}
	return share
}

// Take charges a request. If the customer's part is used up it returns false
// and the time after which the request would pass.
func (b *Buckets) Take(now time.Duration, c *catalog.Customer, cost float64) (bool, time.Duration) {
	if c == nil || c.Rate <= 0 {
		return true, 0
	}
	share := b.share(now, c.Name)
	rate, burst := c.Rate*share, max(c.Burst, c.Rate)*share
	l := b.levels[c.Name]
	if l == nil {
		l = &bucket{level: burst, at: now}
		b.levels[c.Name] = l
	}
	l.level = min(burst, l.level+rate*(now-l.at).Seconds())
	l.at = now
	// A request larger than the part of the burst passes when the bucket is full;
	// the level then goes below zero.
	need := min(cost, burst)
	if l.level >= need {
		l.level -= cost
		return true, 0
	}
	if rate <= 0 {
		return false, shareTrust
	}
	return false, time.Duration((need - l.level) / rate * float64(time.Second))
}

// Refund returns the charge of a request that did not run.
func (b *Buckets) Refund(c *catalog.Customer, cost float64) {
	if c == nil {
		return
	}
	if l := b.levels[c.Name]; l != nil {
		l.level += cost
	}
}
