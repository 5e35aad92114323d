package forward

import (
	"time"

	"github.com/radishloom/radishloom/internal/coordination/directory"
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

// Buckets hold an entry's parts of the customers' rates as token buckets. Each
// answer of the leader sets their levels; between answers they refill with the
// entry's part of the rate.
type Buckets struct {
	entries int
	shares  map[string]directory.Share
	levels  map[string]*bucket
	contact time.Duration
}

type bucket struct {
	level float64
	at    time.Duration
	// asked and spent since the last report to the leader.
	asked, spent float64
}

// NewBuckets returns buckets without shares.
func NewBuckets() *Buckets {
	return &Buckets{entries: 1, shares: map[string]directory.Share{}, levels: map[string]*bucket{}}
}

// SetShares takes over an answer of the leader, which knows what was spent up
// to the last TakeUsage.
func (b *Buckets) SetShares(now time.Duration, shares map[string]directory.Share, entries int) {
	b.shares = shares
	b.entries = max(1, entries)
	b.contact = now
	for name, share := range shares {
		l := b.bucket(now, name)
		l.level = share.Level - l.spent
		l.at = now
	}
}

func (b *Buckets) bucket(now time.Duration, name string) *bucket {
	l := b.levels[name]
	if l == nil {
		l = &bucket{at: now}
		b.levels[name] = l
	}
	return l
}

// TakeUsage returns what was asked and spent since the last call.
func (b *Buckets) TakeUsage() map[string]directory.Usage {
	out := make(map[string]directory.Usage, len(b.levels))
	for name, l := range b.levels {
		if l.asked != 0 || l.spent != 0 {
			out[name] = directory.Usage{Requested: l.asked, Spent: l.spent}
		}
		l.asked, l.spent = 0, 0
	}
	return out
}

func (b *Buckets) part(now time.Duration, name string) float64 {
	even := 1 / float64(b.entries)
	part := even
	if share, ok := b.shares[name]; ok {
		part = share.Fraction
	}
	if now-b.contact > shareTrust {
		return min(part, even*lonelyShare)
	}
	return part
}

// Take charges a request. If the customer's part is used up it returns false
// and the time after which the request would pass.
func (b *Buckets) Take(now time.Duration, c *catalog.Customer, cost float64) (bool, time.Duration) {
	if c == nil || c.Rate <= 0 {
		return true, 0
	}
	part := b.part(now, c.Name)
	rate, burst := c.Rate*part, max(c.Burst, c.Rate)*part
	l := b.bucket(now, c.Name)
	l.asked += cost
	if grown := l.level + rate*(now-l.at).Seconds(); grown <= burst {
		l.level = grown
	} else {
		l.level = max(l.level, burst)
	}
	l.at = now
	// A request larger than the part of the burst passes when the bucket is full;
	// the level then goes below zero.
	need := min(cost, burst)
	if l.level >= need {
		l.level -= cost
		l.spent += cost
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
		l.spent -= cost
	}
}
