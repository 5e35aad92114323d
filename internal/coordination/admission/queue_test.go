package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/radishloom/radishloom/internal/proptest"
	"github.com/radishloom/radishloom/internal/resultcode"
)

type flowKey struct {
	priority int32
	customer string
}

// oracle is a reference model of the queue: a plain list that is searched in full.
type oracle struct {
	items   []*Item
	seq     map[*Item]int
	n       int
	start   map[flowKey]float64
	virtual map[int32]float64
}

func key(it *Item) flowKey { return flowKey{it.Priority, it.Customer} }

func (o *oracle) backlog(k flowKey) (n int) {
	for _, it := range o.items {
		if key(it) == k {
			n++
		}
	}
	return n
}

func (o *oracle) push(it *Item) {
	if k := key(it); o.backlog(k) == 0 {
		o.start[k] = max(o.start[k], o.virtual[it.Priority])
	}
	o.n++
	o.seq[it] = o.n
	o.items = append(o.items, it)
}

func (o *oracle) remove(it *Item) {
	i := slices.Index(o.items, it)
	o.items = slices.Delete(o.items, i, i+1)
}

// victim returns the item to evict: the newest one of the longest backlog within
// the lowest priority.
func (o *oracle) victim() *Item {
	lowest := slices.MinFunc(o.items, func(a, b *Item) int { return int(a.Priority - b.Priority) }).Priority
	var best *Item
	for _, it := range o.items {
		if it.Priority != lowest {
			continue
		}
		if best == nil {
			best = it
			continue
		}
		a, b := o.backlog(key(it)), o.backlog(key(best))
		if a > b || a == b && (it.Customer < best.Customer || it.Customer == best.Customer && o.seq[it] > o.seq[best]) {
			best = it
		}
	}
	return best
}

func (o *oracle) before(a, b *Item) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if sa, sb := o.start[key(a)], o.start[key(b)]; key(a) != key(b) && sa != sb {
		return sa < sb
	}
	if a.LatestStart != b.LatestStart {
		return a.LatestStart < b.LatestStart
	}
	return o.seq[a] < o.seq[b]
}

// heads sorts all items and keeps the first of each class.
func (o *oracle) heads(classes []string) (heads []*Item) {
	all := slices.Clone(o.items)
	slices.SortFunc(all, func(a, b *Item) int {
		if o.before(a, b) {
			return -1
		}
		return 1
	})
	for _, it := range all {
		if slices.Contains(classes, it.Class) && !slices.ContainsFunc(heads, func(h *Item) bool { return h.Class == it.Class }) {
			heads = append(heads, it)
		}
	}
	return heads
}

func (o *oracle) take(it *Item) {
	k := key(it)
	o.virtual[it.Priority] = max(o.virtual[it.Priority], o.start[k])
	o.start[k] += float64(it.Tokens) / float64(max(1, it.Weight))
	o.remove(it)
}

// queueProperty compares the queue with the oracle.
func queueProperty(unfair bool) func(*rapid.T) {
	return func(t *rapid.T) {
		const limit = 12
		q := NewQueue(limit)
		q.unfair = unfair
		o := &oracle{seq: map[*Item]int{}, start: map[flowKey]float64{}, virtual: map[int32]float64{}}
		now := time.Duration(0)
		classes := []string{"m1", "m2", "m3"}
		var taken []*Item
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				it := &Item{
					Class: rapid.SampledFrom(classes).Draw(t, "class"), Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
					Priority: rapid.Int32Range(0, 2).Draw(t, "priority"), Tokens: rapid.Uint64Range(1, 1000).Draw(t, "tokens"),
					LatestStart: now + time.Duration(rapid.IntRange(0, 20).Draw(t, "start")),
				}
				it.Weight = map[string]uint32{"a": 1, "b": 2}[it.Customer]
				o.push(it)
				var want *Item
				if len(o.items) > limit {
					want = o.victim()
					o.remove(want)
				}
				if got := q.Push(it); got != want {
					t.Fatalf("evicted %+v, want %+v", got, want)
				}
			},
			"take": func(t *rapid.T) {
				some := classes[rapid.IntRange(0, 2).Draw(t, "from"):]
				got, want := q.Heads(some), o.heads(some)
				if !slices.Equal(got, want) {
					t.Fatalf("got %d heads, want %d, or the order differs", len(got), len(want))
				}
				if len(got) > 0 { // the endpoints may not be able to take the first ones
					it := rapid.SampledFrom(got).Draw(t, "taken")
					q.Take(it)
					o.take(it)
					taken = append(taken, it)
				}
			},
			"settle": func(t *rapid.T) {
				if len(taken) == 0 {
					t.Skip("nothing taken")
				}
				it := taken[0]
				taken = taken[1:]
				used := rapid.Uint64Range(0, it.Tokens).Draw(t, "used")
				q.AdjustCharge(it, used)
				o.start[key(it)] += (float64(used) - float64(it.Tokens)) / float64(max(1, it.Weight))
			},
			"remove": func(t *rapid.T) {
				if len(o.items) == 0 {
					t.Skip("empty")
				}
				it := rapid.SampledFrom(o.items).Draw(t, "item")
				o.remove(it)
				q.Remove(it)
			},
			"expire": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 10).Draw(t, "time"))
				for _, it := range q.Expire(now) {
					if it.LatestStart >= now {
						t.Fatalf("%+v expired at %d, before its latest start passed", it, now)
					}
					o.remove(it)
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(o.items) {
					t.Fatalf("%d items, want %d", q.Len(), len(o.items))
				}
				for _, it := range o.items {
					if it.LatestStart < now && !slices.Contains(q.expiry, it) {
						t.Fatal("an item past its latest start is missing from the expiry heap")
					}
				}
			},
		})
	}
}

// Guards against a wrong dispatch order, eviction or expiry: compares the queue
// with a brute-force model.
func TestQueue(t *testing.T) {
	proptest.Check(t, 100, 1, queueProperty(false))
	t.Run("unfair", func(t *testing.T) { proptest.MustFail(t, 100, 1, queueProperty(true)) })
}

// Guards against a higher priority with fewer slots than a lower one, and against
// a reserved share that the next lower priority can use up.
func TestReserve(t *testing.T) {
	proptest.Check(t, 100, 1, func(t *rapid.T) {
		shares := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) ReservedShare {
			return ReservedShare{Priority: rapid.Int32Range(0, 4).Draw(t, "priority"), SharePercent: rapid.IntRange(0, 60).Draw(t, "share")}
		}), 0, 5).Draw(t, "levels")
		r := NewReservedShares(shares)
		window := rapid.IntRange(1, 50).Draw(t, "window")
		for p := int32(-1); p < 5; p++ {
			low, high := r.Limit(window, p), r.Limit(window, p+1)
			share := slices.ContainsFunc(shares, func(l ReservedShare) bool { return l.Priority == p+1 && l.SharePercent > 0 })
			lowest := len(r.shares) > 0 && r.shares[0].Priority == p+1
			if low < 1 || high < low || share && !lowest && high == low || high > window+len(shares) {
				t.Fatalf("window %d, shares %v: limit of priority %d is %d, of priority %d is %d", window, shares, p, low, p+1, high)
			}
		}
	})
}

// Guards against more open requests than the limits allow, a customer that locks
// out the others, and an estimate of service times that misses the median.
func TestLimiterAndServiceTimes(t *testing.T) {
	g := NewLimiter(8)
	enter := func(customer string, limit int) resultcode.Code { return g.Acquire(customer, limit, false) }
	got := fmt.Sprint(enter("a", 1), enter("a", 1), enter("b", 4), enter("b", 0), enter("b", 0), enter("b", 0), enter("b", 0), enter("c", 2), enter("c", 2), enter("d", 0), g.Acquire("d", 0, true), g.Acquire("d", 0, true))
	want := "ok too_many_open ok ok ok ok too_many_open ok ok vm_overloaded ok vm_overloaded"
	g.Release("a")
	if got != want || enter("d", 0) != resultcode.VMOverloaded || g.Open() != 7 {
		t.Fatalf("got %s, want %s", got, want)
	}
	s := NewServiceTimes()
	for i := range 20000 {
		s.Observe("m", time.Duration(1+i*7919%100)*time.Millisecond)
	}
	if e := s.Estimate("m"); e < 40*time.Millisecond || e > 60*time.Millisecond {
		t.Fatalf("the median of 1 to 100 ms is estimated as %v, want 40 to 60 ms", e)
	}
}

// Guards against a first-in, first-out baseline that still orders by deadline.
func TestOrderByArrival(t *testing.T) {
	q := NewQueue(10)
	q.OrderByArrival()
	for i, latest := range []time.Duration{3, 1, 2} {
		q.Push(&Item{ID: uint64(i), Class: "c", LatestStart: latest * time.Second})
	}
	for i := range uint64(3) {
		it := q.Heads([]string{"c"})[0]
		if it.ID != i {
			t.Fatalf("item %d is dispatched next, want %d", it.ID, i)
		}
		q.Take(it)
	}
}
