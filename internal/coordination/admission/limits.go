package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// Gate bounds the open requests of each customer and of the VM.
type Gate struct {
	limit    int
	open     int
	customer map[string]int
}

// NewGate returns a gate of limit open requests.
func NewGate(limit int) *Gate {
	return &Gate{limit: limit, customer: make(map[string]int)}
}

// Open is the number of open requests.
func (g *Gate) Open() int { return g.open }

// Enter counts a request in, or returns the code of its refusal. A customer
// limit of zero allows half of the VM's limit, so that one customer cannot
// lock out the others. The last eighth of the VM's limit is only for urgent
// requests.
func (g *Gate) Enter(customer string, customerLimit int, urgent bool) resultcode.Code {
	if customerLimit == 0 {
		customerLimit = max(1, g.limit/2)
	}
	if g.customer[customer] >= customerLimit {
		return resultcode.TooManyOpen
	}
	limit := g.limit
	if !urgent {
		limit -= limit / 8
	}
	if g.open >= limit {
		return resultcode.VMOverloaded
	}
	g.open++
	g.customer[customer]++
	return resultcode.OK
}

// Leave counts a request out.
func (g *Gate) Leave(customer string) {
	g.open--
	g.customer[customer]--
	if g.customer[customer] == 0 {
		delete(g.customer, customer)
	}
}

// Level is a priority with the share of each endpoint that is reserved for it
// and for higher ones.
type Level struct {
	Priority     int32
	SharePercent int
}

// Reserve tells how much of an endpoint's window each priority may fill.
type Reserve struct {
	levels []Level // by rising priority, one for each
}

// NewReserve merges levels of the same priority by taking the larger share.
func NewReserve(levels []Level) Reserve {
	sorted := slices.Clone(levels)
	slices.SortFunc(sorted, func(a, b Level) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.SharePercent, a.SharePercent))
	})
	sorted = slices.CompactFunc(sorted, func(a, b Level) bool { return a.Priority == b.Priority })
	return Reserve{levels: sorted}
}

// Urgent says whether a priority is above the lowest one, or the only one.
func (r Reserve) Urgent(priority int32) bool {
	return len(r.levels) < 2 || priority > r.levels[0].Priority
}

// Limit is the number of requests in flight at which a priority gets no
// further slot of a window. The lowest priority always has one slot, and each
// priority with a reserved share has at least one slot more than the next
// lower one: with many entries a window is a single slot, which a low priority
// would otherwise occupy.
func (r Reserve) Limit(window int, priority int32) int {
	above := 0
	for _, l := range r.levels {
		if l.Priority > priority {
			above += l.SharePercent
		}
	}
	limit := 0
	higher := 0
	for _, l := range r.levels {
		higher += l.SharePercent
	}
	for i, l := range r.levels {
		if l.Priority > priority {
			break
		}
		higher -= l.SharePercent
		lower := limit
		limit = max(lower, 1, window-reserved(window, higher))
		if l.SharePercent > 0 && i > 0 {
			limit = max(limit, lower+1)
		}
	}
	return max(limit, 1, window-reserved(window, above))
}

// reserved rounds up, so that a small share is at least one slot.
func reserved(window, percent int) int {
	return (window*min(percent, 100) + 99) / 100
}

// ServiceTimes estimates for each class how long a request takes: it follows
// the median of the measured times. A request with less time left would more
// likely than not be cut off by its deadline and waste its slot. (The lower
// tenth was tried: under overload most slots then went to requests that ended
// unfinished.)
type ServiceTimes struct {
	estimate map[string]time.Duration
}

// NewServiceTimes returns an empty estimate: zero for each class.
func NewServiceTimes() *ServiceTimes {
	return &ServiceTimes{estimate: make(map[string]time.Duration)}
}

// Observe adds a measured time. Equal steps up and down balance where half of
// the times lie below the estimate.
func (s *ServiceTimes) Observe(class string, d time.Duration) {
	e, known := s.estimate[class]
	switch {
	case !known:
		e = d
	case d < e:
		e -= e / 50
	default:
		e = min(d, e+e/50+1)
	}
	s.estimate[class] = e
}

// Estimate returns the time that a request of the class takes.
func (s *ServiceTimes) Estimate(class string) time.Duration { return s.estimate[class] }
