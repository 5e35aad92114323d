package forward

import (
	"time"

	"github.com/radishloom/radishloom/internal/coordination/directory"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

const (
	// shareTTL is how long a share is valid without contact with the leader. The
	// leader gives an entry's share to other entries only after a longer time.
	shareTTL = 4 * time.Second
	// disconnectedShare is the fraction of an even share that an entry uses after
	// that.
	disconnectedShare = 0.5
)

// Buckets hold an entry's shares of the customers' rates as token buckets. Each
// response of the leader sets their levels; in between, they refill at the
// entry's share of the rate.
type Buckets struct {
	entries     int
	shares      map[string]directory.Share
	levels      map[string]*bucket
	lastContact time.Duration
}

type bucket struct {
	level   float64
	updated time.Duration
	// requested and spent tokens since the last report to the leader.
	requested, spent float64
}

// NewBuckets returns buckets without shares.
func NewBuckets() *Buckets {
	return &Buckets{entries: 1, shares: map[string]directory.Share{}, levels: map[string]*bucket{}}
}

// SetShares applies a response of the leader. The levels in it account for what
// was spent up to the last TakeUsage.
func (b *Buckets) SetShares(now time.Duration, shares map[string]directory.Share, entries int) {
	b.shares = shares
	b.entries = max(1, entries)
	b.lastContact = now
	for name, share := range shares {
		l := b.bucket(now, name)
		l.level = share.Level - l.spent
		l.updated = now
	}
}

func (b *Buckets) bucket(now time.Duration, name string) *bucket {
	l := b.levels[name]
	if l == nil {
		l = &bucket{updated: now}
		b.levels[name] = l
	}
	return l
}

// TakeUsage returns what was requested and spent since the last call.
func (b *Buckets) TakeUsage() map[string]directory.Usage {
	out := make(map[string]directory.Usage, len(b.levels))
	for name, l := range b.levels {
		if l.requested != 0 || l.spent != 0 {
			out[name] = directory.Usage{Requested: l.requested, Spent: l.spent}
		}
		l.requested, l.spent = 0, 0
	}
	return out
}

// fraction returns this entry's fraction of a customer's rate.
func (b *Buckets) fraction(now time.Duration, name string) float64 {
	even := 1 / float64(b.entries)
	fraction := even
	if share, ok := b.shares[name]; ok {
		fraction = share.Fraction
	}
	if now-b.lastContact > shareTTL {
		return min(fraction, even*disconnectedShare)
	}
	return fraction
}

// Take charges a request. If this entry's share of the customer's rate is used up,
// it returns false and the time after which the request would be admitted.
func (b *Buckets) Take(now time.Duration, c *catalog.Customer, cost float64) (bool, time.Duration) {
	if c == nil || c.Rate <= 0 {
		return true, 0
	}
	fraction := b.fraction(now, c.Name)
	rate, burst := c.Rate*fraction, max(c.Burst, c.Rate)*fraction
	l := b.bucket(now, c.Name)
	l.requested += cost
	if grown := l.level + rate*(now-l.updated).Seconds(); grown <= burst {
		l.level = grown
	} else {
		l.level = max(l.level, burst)
	}
	l.updated = now
	// A request that is larger than the share of the burst is admitted when the
	// bucket is full; the level then becomes negative.
	need := min(cost, burst)
	if l.level >= need {
		l.level -= cost
		l.spent += cost
		return true, 0
	}
	if rate <= 0 {
		return false, shareTTL
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
		l.spent -= cost
	}
}

// Check returns what Take would, and charges nothing.
func (b *Buckets) Check(now time.Duration, c *catalog.Customer, cost float64) (bool, time.Duration) {
	level := bucket{updated: now}
	if l := b.levels[c.Name]; l != nil {
		level = *l
	}
	copied := Buckets{entries: b.entries, shares: b.shares, lastContact: b.lastContact, levels: map[string]*bucket{c.Name: &level}}
	return copied.Take(now, c, cost)
}
