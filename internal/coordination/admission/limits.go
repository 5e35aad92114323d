package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// Limiter bounds the open requests of each customer and of the VM.
type Limiter struct {
	limit    int
	open     int
	customer map[string]int
}

// NewLimiter returns a Limiter that allows limit open requests on the VM.
func NewLimiter(limit int) *Limiter {
	return &Limiter{limit: limit, customer: make(map[string]int)}
}

// Open returns the number of open requests.
func (g *Limiter) Open() int { return g.open }

// Acquire counts a request as open, or returns the code of its refusal. A
// customerLimit of zero means half of the VM's limit, so that one customer cannot
// lock out the others. The last eighth of the VM's limit is for urgent requests
// only.
func (g *Limiter) Acquire(customer string, customerLimit int, urgent bool) resultcode.Code {
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

// Release ends an open request.
func (g *Limiter) Release(customer string) {
	g.open--
	g.customer[customer]--
	if g.customer[customer] == 0 {
		delete(g.customer, customer)
	}
}

// ReservedShare is the share of the slots of each endpoint that is reserved for a
// priority and those above it.
type ReservedShare struct {
	Priority     int32
	SharePercent int
}

// ReservedShares computes how many slots of an endpoint's window each priority may
// use.
type ReservedShares struct {
	shares []ReservedShare // by rising priority, one for each priority
}

// NewReservedShares returns ReservedShares. Of several shares of the same priority,
// the largest counts.
func NewReservedShares(shares []ReservedShare) ReservedShares {
	sorted := slices.Clone(shares)
	slices.SortFunc(sorted, func(a, b ReservedShare) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.SharePercent, a.SharePercent))
	})
	sorted = slices.CompactFunc(sorted, func(a, b ReservedShare) bool { return a.Priority == b.Priority })
	return ReservedShares{shares: sorted}
}

// Urgent reports whether a priority is above the lowest one. With fewer than two
// priorities, all are urgent.
func (r ReservedShares) Urgent(priority int32) bool {
	return len(r.shares) < 2 || priority > r.shares[0].Priority
}

// Limit returns the number of requests in flight at which a priority gets no
// further slot of a window. The lowest priority always has one slot. Each
// priority with a reserved share has at least one slot more than the next lower
// one, even beyond the window: with many entries a window is a single slot, which
// a low priority would otherwise occupy.
func (r ReservedShares) Limit(window int, priority int32) int {
	above := 0
	for _, l := range r.shares {
		if l.Priority > priority {
			above += l.SharePercent
		}
	}
	limit := 0
	higher := 0
	for _, l := range r.shares {
		higher += l.SharePercent
	}
	for i, l := range r.shares {
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

// reserved returns percent of the window, rounded up so that a small share is at
// least one slot.
func reserved(window, percent int) int {
	return (window*min(percent, 100) + 99) / 100
}

// ServiceTimes estimates how long a request of each class takes. It tracks the
// median of the observed times: a request with less time left than that would
// more likely than not be cut off by its deadline and waste its slot. With the
// 10th percentile instead, most slots went to requests that did not finish under
// overload.
type ServiceTimes struct {
	estimate map[string]time.Duration
}

// NewServiceTimes returns a ServiceTimes whose estimate is zero for each class.
func NewServiceTimes() *ServiceTimes {
	return &ServiceTimes{estimate: make(map[string]time.Duration)}
}

// Observe adds an observed time. The steps up and down are equal, so the estimate
// settles where half of the times lie below it.
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

// Estimate returns the estimated time of a request of the class.
func (s *ServiceTimes) Estimate(class string) time.Duration { return s.estimate[class] }
