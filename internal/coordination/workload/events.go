package workload

import (
	"math"

	"github.com/radishloom/radishloom/internal/coordination/statistics"
)

// Parameters of the number of tokens in an event.
const (
	// minSamples is the number of streams with a hint from which the tokens per
	// event of a service are known.
	minSamples = 24
	// minEventTokens and maxEventTokens bound the tokens per event.
	minEventTokens = 0.5
	maxEventTokens = 256
	// firstMedianStep is the first step, in powers of two, of the estimate of a median.
	firstMedianStep = 2
	// maxCustomers bounds the customers of a service, and maxServices the services,
	// whose streams are observed.
	maxCustomers = 64
	maxServices  = 64
)

// EventSizes learns how many tokens an event of a service's streams holds, which events
// do not state. A caller's hint for the output is right at the median, so the median
// ratio of the hint to the events of complete streams is the number of tokens in an
// event.
type EventSizes struct {
	services map[string]*eventSize
}

// eventSize is what is known of one service.
type eventSize struct {
	samples int
	// customers holds the median of each customer, as the exponent of a power of two.
	// The median over them counts, so that false hints of one customer do not spoil it.
	customers map[string]*statistics.Median
	// tokens is the median over customers, updated with each sample.
	tokens float64
}

// NewEventSizes returns EventSizes that know no service.
func NewEventSizes() *EventSizes { return &EventSizes{services: map[string]*eventSize{}} }

// Observe records a complete stream with a number of events. A hint of at least the
// stated limit does not count: the limit may have ended the stream.
func (s *EventSizes) Observe(service, customer string, f Features, events int) {
	if events <= 0 || f.Hint <= 0 || f.Hint >= f.OutputLimit {
		return
	}
	size := s.services[service]
	if size == nil {
		if len(s.services) >= maxServices {
			return
		}
		size = &eventSize{customers: map[string]*statistics.Median{}}
		s.services[service] = size
	}
	size.observe(customer, math.Log2(float64(f.Hint)/float64(events)))
}

func (s *eventSize) observe(customer string, x float64) {
	m := s.customers[customer]
	if m == nil {
		if len(s.customers) >= maxCustomers {
			return
		}
		m = &statistics.Median{}
		s.customers[customer] = m
	}
	m.Add(x, firstMedianStep)
	s.samples++
	s.tokens = statistics.Clip(math.Exp2(s.middle()), minEventTokens, maxEventTokens)
}

// middle returns the median over customers, each weighted by its streams up to
// minSamples. If several customers are equally close to the middle, it is their mean.
func (s *eventSize) middle() float64 {
	sum, n, least := 0.0, 0.0, math.MaxInt
	for _, candidate := range s.customers {
		distance := s.imbalance(candidate.Value())
		if distance < least {
			sum, n, least = 0, 0, distance
		}
		if distance == least {
			sum, n = sum+candidate.Value(), n+1
		}
	}
	return sum / n
}

// imbalance returns the difference of the weights below and above a value.
func (s *eventSize) imbalance(value float64) int {
	out := 0
	for _, m := range s.customers {
		switch weight := min(m.Count(), minSamples); {
		case m.Value() < value:
			out -= weight
		case m.Value() > value:
			out += weight
		}
	}
	return max(out, -out)
}

// Tokens returns the number of tokens of a number of events of a service, or false
// while the size of its events is not known.
func (s *EventSizes) Tokens(service string, events int) (int, bool) {
	size := s.services[service]
	if size == nil || size.samples < minSamples {
		return 0, false
	}
	return max(1, int(math.Round(size.tokens*float64(events)))), true
}
