package directory

import (
	"maps"
	"time"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

// evacuationListDelay is how long after the end of an evacuation a list must have been
// requested to say which endpoints of the data centre warm up. The list lags by up to a
// second.
const evacuationListDelay = 2 * time.Second

// WarmUps decides which endpoints warm up, from the platform's list, the start times in
// reports and the ends of evacuations. It belongs to one term of a leader. The time of
// each call must not be before that of the last one.
type WarmUps struct {
	// listed is set once the term has had a list.
	listed    bool
	endpoints map[string]*warmUpState
	// evacuationEnds is when the last evacuation of a data centre ended. The entry is
	// removed once a list is recent enough to tell which of its endpoints warm up.
	evacuationEnds map[string]time.Duration
}

// warmUpState is what is known about the warm-up of one endpoint.
type warmUpState struct {
	service, address, dataCentre string
	// until is the end of the warm-up as far as the list, reports and the first listing
	// tell.
	until time.Duration
	// started is the start time in the last report; zero before the first one.
	started int64
	// warming is the state at the last call of Changes.
	warming bool
}

// WarmUpChange is the beginning or the end of an endpoint's warm-up.
type WarmUpChange struct {
	EndpointID, Service string
	Warming             bool
}

// NewWarmUps returns WarmUps that know no endpoints.
func NewWarmUps() *WarmUps {
	return &WarmUps{endpoints: map[string]*warmUpState{}, evacuationEnds: map[string]time.Duration{}}
}

// SetList records a list that was requested at requestedAt and arrived now. service
// returns a service of the catalog, or nil. An endpoint with a new address is a new
// endpoint.
func (w *WarmUps) SetList(now, requestedAt time.Duration, list []Endpoint, service func(name string) *catalog.Service) {
	seen := make(map[string]bool, len(list))
	for _, in := range list {
		seen[in.ID] = true
		e := w.endpoints[in.ID]
		isNew := e == nil || e.address != in.Address
		if isNew {
			e = &warmUpState{address: in.Address}
			w.endpoints[in.ID] = e
		}
		e.service, e.dataCentre = in.Service, in.DataCentre
		e.until = max(e.until, now+in.WarmUpLeft)
		if isNew && w.listed && in.WarmUpLeft == 0 {
			e.until = now + warmUpTimeOf(service(in.Service))
		}
	}
	maps.DeleteFunc(w.evacuationEnds, func(_ string, end time.Duration) bool { return requestedAt >= end+evacuationListDelay })
	for id := range w.endpoints {
		if !seen[id] {
			delete(w.endpoints, id) // an endpoint that is back after a silence is a new one
		}
	}
	w.listed = true
}

// SetStarted records the start time in an engine's report. The first report of a term
// tells nothing: the engine may have started long ago.
func (w *WarmUps) SetStarted(now time.Duration, id string, started int64, s *catalog.Service) {
	e := w.endpoints[id]
	if e == nil {
		return
	}
	if e.started != 0 && e.started != started {
		e.until = max(e.until, now+warmUpTimeOf(s))
	}
	e.started = started
}

// EvacuationEnded records that the evacuation of a data centre has ended. Its endpoints
// may all have started during it, while the list still says otherwise.
func (w *WarmUps) EvacuationEnded(now time.Duration, dataCentre string) {
	w.evacuationEnds[dataCentre] = now
}

// Warming reports whether an endpoint warms up, as of the last call of Changes.
func (w *WarmUps) Warming(id string) bool {
	e := w.endpoints[id]
	return e != nil && e.warming
}

// Count returns the number of endpoints that warm up, as of the last call of Changes.
func (w *WarmUps) Count() int {
	n := 0
	for _, e := range w.endpoints {
		if e.warming {
			n++
		}
	}
	return n
}

// Changes returns the endpoints that began or ended to warm up since the last call.
// Endpoints of services without a warm-up never warm up.
func (w *WarmUps) Changes(now time.Duration, service func(name string) *catalog.Service) []WarmUpChange {
	var out []WarmUpChange
	for id, e := range w.endpoints {
		_, evacuationEnded := w.evacuationEnds[e.dataCentre]
		warming := warmUpTimeOf(service(e.service)) > 0 && (now < e.until || evacuationEnded)
		if warming != e.warming {
			e.warming = warming
			out = append(out, WarmUpChange{EndpointID: id, Service: e.service, Warming: warming})
		}
	}
	return out
}

// warmUpTimeOf returns how long endpoints of a service warm up; zero without a warm-up.
func warmUpTimeOf(s *catalog.Service) time.Duration {
	if s == nil || s.WarmUpRate <= 0 {
		return 0
	}
	return s.WarmUpTime
}
