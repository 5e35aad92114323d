// Package admission decides in which order waiting requests are dispatched,
// which requests are refused early, and how many may be open.
//
// Every type is deterministic and not safe for concurrent use. Times are
// durations since the start of the process.
package admission

import (
	"cmp"
	"container/heap"
	"container/list"
	"slices"
	"time"
)

// Item is one waiting request. The queue owns it from Push until it is taken,
// removed, expired or evicted.
type Item struct {
	ID uint64
	// Class groups items that the same endpoints can take under the same
	// conditions.
	Class    string
	Customer string
	// Weight is the weight of the customer's fair share; zero counts as 1.
	Weight   uint32
	Priority int32
	// Tokens is the cost that is charged to the customer's fair share.
	Tokens uint64
	// LatestStart is the latest dispatch that can meet the deadline.
	LatestStart time.Duration
	// Value belongs to the caller.
	Value any

	seq         uint64
	due         time.Duration // orders the items of a lane; zero if the queue ignores deadlines
	flow        *flow
	element     *list.Element // in flow.arrivals
	heapIndex   int           // index in the heap of the lane
	expiryIndex int           // index in the expiry heap
}

// flow is one customer within one priority. All of its lanes use the same start
// tag, so that a customer has one fair share over all classes.
type flow struct {
	customer string
	startTag float64    // start tag of start-time fair queueing
	arrivals *list.List // of *Item, oldest first
}

// lane holds the items of one flow and one class, earliest deadline first.
type lane struct {
	flow  *flow
	items itemHeap
}

// level holds the lanes of one priority within one class.
type level struct {
	priority int32
	lanes    []*lane
}

// fairQueue is the state of fair queueing within one priority: the virtual time and
// the flows.
type fairQueue struct {
	priority    int32
	virtualTime float64
	flows       map[string]*flow
	waiting     int
}

// Queue orders items by priority, then by start-time fair queueing between
// customers (by tokens divided by weight), then by earliest deadline.
type Queue struct {
	limit      int
	seq        uint64
	classes    map[string][]*level // levels by falling priority
	fairQueues []*fairQueue        // by falling priority
	expiry     expiryHeap

	// unfair ignores the fair shares: the lanes of one priority are served by the
	// arrival of their heads. Tests set it to prove that they detect that.
	unfair bool
	// ignoreDeadlines also ignores deadlines within one customer.
	ignoreDeadlines bool
}

// OrderByArrival makes an empty queue first in, first out within each priority.
// The bench program uses it as a baseline.
func (q *Queue) OrderByArrival() { q.unfair, q.ignoreDeadlines = true, true }

// NewQueue returns a queue of at most limit items.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, classes: make(map[string][]*level)}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.expiry) }

// Push adds an item. If that exceeds the limit, it evicts and returns the newest
// item of the customer with the most items within the lowest waiting priority,
// which can be the new item. A customer that fills the queue thus loses its own
// items, and a low priority never displaces a higher one.
func (q *Queue) Push(it *Item) (evicted *Item) {
	q.insert(it)
	if q.Len() <= q.limit {
		return nil
	}
	lowest := q.fairQueues[len(q.fairQueues)-1]
	for i := len(q.fairQueues) - 1; i >= 0 && lowest.waiting == 0; i-- {
		lowest = q.fairQueues[i]
	}
	var longest *flow
	for _, f := range lowest.flows {
		if longest == nil || longerBacklog(f, longest) {
			longest = f
		}
	}
	evicted = longest.arrivals.Back().Value.(*Item)
	q.Remove(evicted)
	return evicted
}

// longerBacklog reports whether a has more items than b. It breaks ties by name,
// so that the eviction does not depend on the order of map iteration.
func longerBacklog(a, b *flow) bool {
	if a.arrivals.Len() != b.arrivals.Len() {
		return a.arrivals.Len() > b.arrivals.Len()
	}
	return a.customer < b.customer
}

func (q *Queue) insert(it *Item) {
	q.seq++
	it.seq = q.seq
	if !q.ignoreDeadlines {
		it.due = it.LatestStart
	}
	s := q.fairQueue(it.Priority)
	f := s.flows[it.Customer]
	if f == nil {
		f = &flow{customer: it.Customer, arrivals: list.New()}
		s.flows[it.Customer] = f
	}
	if f.arrivals.Len() == 0 {
		f.startTag = max(f.startTag, s.virtualTime)
	}
	s.waiting++
	it.flow = f
	it.element = f.arrivals.PushBack(it)
	l := q.lane(it)
	heap.Push(&l.items, it)
	heap.Push(&q.expiry, it)
}

func (q *Queue) fairQueue(priority int32) *fairQueue {
	i, found := slices.BinarySearchFunc(q.fairQueues, priority, func(s *fairQueue, p int32) int { return cmp.Compare(p, s.priority) })
	if !found {
		q.fairQueues = slices.Insert(q.fairQueues, i, &fairQueue{priority: priority, flows: make(map[string]*flow)})
	}
	return q.fairQueues[i]
}

func (q *Queue) lane(it *Item) *lane {
	levels := q.classes[it.Class]
	i, found := slices.BinarySearchFunc(levels, it.Priority, func(l *level, p int32) int { return cmp.Compare(p, l.priority) })
	if !found {
		levels = slices.Insert(levels, i, &level{priority: it.Priority})
		q.classes[it.Class] = levels
	}
	for _, l := range levels[i].lanes {
		if l.flow == it.flow {
			return l
		}
	}
	l := &lane{flow: it.flow}
	levels[i].lanes = append(levels[i].lanes, l)
	return l
}

// Heads returns the next item of each class, in dispatch order. If the endpoints
// cannot take the head of a class, they cannot take its other items either.
func (q *Queue) Heads(classes []string) []*Item {
	heads := make([]*Item, 0, len(classes))
	for _, class := range classes {
		if levels := q.classes[class]; len(levels) > 0 {
			heads = append(heads, q.head(levels[0]))
		}
	}
	slices.SortFunc(heads, func(a, b *Item) int {
		if q.before(a, b) {
			return -1
		}
		return 1
	})
	return heads
}

func (q *Queue) head(lv *level) (best *Item) {
	for _, l := range lv.lanes {
		if head := l.items[0]; best == nil || q.before(head, best) {
			best = head
		}
	}
	return best
}

// before reports whether a is dispatched before b.
func (q *Queue) before(a, b *Item) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if q.unfair {
		return a.seq < b.seq
	}
	if a.flow != b.flow && a.flow.startTag != b.flow.startTag {
		return a.flow.startTag < b.flow.startTag
	}
	if a.LatestStart != b.LatestStart {
		return a.LatestStart < b.LatestStart
	}
	return a.seq < b.seq
}

// Take removes an item for dispatch and charges its customer.
func (q *Queue) Take(it *Item) {
	s := q.fairQueue(it.Priority)
	s.virtualTime = max(s.virtualTime, it.flow.startTag)
	it.flow.startTag += float64(it.Tokens) / weight(it.Weight)
	q.Remove(it)
}

// AdjustCharge corrects the charge of a taken item once its actual cost is known.
func (q *Queue) AdjustCharge(it *Item, tokens uint64) {
	it.flow.startTag += (float64(tokens) - float64(it.Tokens)) / weight(it.Weight)
}

func weight(w uint32) float64 { return float64(max(1, w)) }

// Remove removes an item without charging its customer, for example because the
// caller left.
func (q *Queue) Remove(it *Item) {
	q.fairQueue(it.Priority).waiting--
	it.flow.arrivals.Remove(it.element)
	heap.Remove(&q.expiry, it.expiryIndex)
	levels := q.classes[it.Class]
	i := slices.IndexFunc(levels, func(l *level) bool { return l.priority == it.Priority })
	lv := levels[i]
	k := slices.IndexFunc(lv.lanes, func(l *lane) bool { return l.flow == it.flow })
	heap.Remove(&lv.lanes[k].items, it.heapIndex)
	if len(lv.lanes[k].items) > 0 {
		return
	}
	lv.lanes = slices.Delete(lv.lanes, k, k+1)
	if len(lv.lanes) > 0 {
		return
	}
	q.classes[it.Class] = slices.Delete(levels, i, i+1)
	if len(q.classes[it.Class]) == 0 {
		delete(q.classes, it.Class)
	}
}

// Expire removes and returns the items that can no longer meet their deadline.
func (q *Queue) Expire(now time.Duration) []*Item {
	var out []*Item
	for len(q.expiry) > 0 && q.expiry[0].LatestStart < now {
		it := q.expiry[0]
		q.Remove(it)
		out = append(out, it)
	}
	return out
}

// itemHeap orders the items of one lane by due, then by arrival.
type itemHeap []*Item

func (h itemHeap) Len() int { return len(h) }
func (h itemHeap) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return h[i].seq < h[j].seq
}

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *itemHeap) Push(x any) {
	it := x.(*Item)
	it.heapIndex = len(*h)
	*h = append(*h, it)
}

func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return it
}

// expiryHeap orders all items by latest start, then by arrival.
type expiryHeap []*Item

func (h expiryHeap) Len() int { return len(h) }
func (h expiryHeap) Less(i, j int) bool {
	if h[i].LatestStart != h[j].LatestStart {
		return h[i].LatestStart < h[j].LatestStart
	}
	return h[i].seq < h[j].seq
}

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex, h[j].expiryIndex = i, j
}

func (h *expiryHeap) Push(x any) {
	it := x.(*Item)
	it.expiryIndex = len(*h)
	*h = append(*h, it)
}

func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return it
}
