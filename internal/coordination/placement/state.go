package placement

import (
	"cmp"
	"slices"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/config"
	"github.com/radishloom/radishloom/internal/state/order"
)

// copyKey identifies a copy of a model.
type copyKey struct{ engine, model, version string }

// copyState is one copy as the planner sees it.
type copyState struct {
	key      copyKey
	engine   *engineState
	memoryMB uint64
	// reported says that the last report lists the copy as ready; confirmed that
	// the engine confirmed its load and no later report denies it.
	reported, confirmed bool
	// loading copies are on their way in; overdue ones should have shown up in a
	// report by now.
	loading, overdue bool
	// unloading copies are subject to an open unload order.
	unloading bool
	draining  bool
	share     float64
}

func (c *copyState) ready() bool { return (c.reported || c.confirmed) && !c.unloading }

// stays is true for a copy that is not on its way out.
func (c *copyState) stays() bool {
	return c.engine.usable() && !c.draining && !c.unloading
}

// secure copies are those that an unload of another copy may rely on.
func (c *copyState) secure() bool { return c.reported && c.stays() && !c.engine.replacing(c) }

// counts is true for copies that will serve without another order.
func (c *copyState) counts() bool {
	return c.stays() && (c.ready() || c.loading && !c.overdue)
}

type engineState struct {
	cfg      *statev1.Endpoint
	ledger   EngineLedger
	live     bool
	leaving  bool
	freeMB   int64
	copies   []*copyState
	open     map[string]bool // models with an open order
	reported bool
	load     float64
	slots    float64
}

func (e *engineState) name() string { return e.cfg.GetName() }
func (e *engineState) usable() bool { return e.live && !e.leaving }

// slotSums are numbers of slots at two levels of use. At usableShare an engine
// has room for bursts; at the full level demand finds no slot. Both count, so
// that a fleet without room for bursts still spreads what exceeds its engines.
type slotSums [2]float64

func levels() slotSums { return slotSums{usableShare, 1} }

func (s slotSums) mean() float64 { return (s[0] + s[1]) / 2 }

// spare is the part of the engine's slots that more demand may use.
func (e *engineState) spare() slotSums {
	var out slotSums
	for i, level := range levels() {
		out[i] = max(0, level*e.slots-e.load)
	}
	return out
}

// gain is the part of unmet demand that a copy on an engine would serve there if
// freed slots of it were given up by other models.
func (e *engineState) gain(unmet slotSums, freed float64) float64 {
	var out slotSums
	for i, level := range levels() {
		out[i] = min(unmet[i], max(0, level*e.slots-e.load+freed))
	}
	return out.mean()
}

func (e *engineState) holds(model string) bool {
	return slices.ContainsFunc(e.copies, func(c *copyState) bool { return c.key.model == model })
}

// replacing is true while another version of the copy's model is on its way
// into the same engine, which may replace the copy in place.
func (e *engineState) replacing(c *copyState) bool {
	return slices.ContainsFunc(e.copies, func(o *copyState) bool {
		return o != c && o.key.model == c.key.model && o.loading
	})
}

func (e *engineState) pinned(model string) bool {
	return slices.Contains(e.cfg.GetPinnedModels(), model)
}

type modelState struct {
	cfg    *statev1.Model
	copies []*copyState
	demand Demand
	// slots is the number of requests that run or wait at once.
	slots float64
}

func (m *modelState) name() string    { return m.cfg.GetName() }
func (m *modelState) version() string { return m.cfg.GetVersion() }
func (m *modelState) min() int        { return config.MinReplicas(m.cfg) }

func (m *modelState) count(match func(*copyState) bool) int {
	n := 0
	for _, c := range m.copies {
		if match(c) {
			n++
		}
	}
	return n
}

func (m *modelState) current(c *copyState) bool { return c.key.version == m.version() }

// idle is true if an unload disturbs nobody.
func (m *modelState) idle() bool {
	return m.demand.Waiting == 0 && m.demand.Requests < idleRate
}

// state is one moment, with indexes.
type state struct {
	view    *View
	engines []*engineState
	byName  map[string]*engineState
	models  []*modelState
	byModel map[string]*modelState
	// loads is the number of loads that the weight store may be serving.
	loads int
	// blind is true while engines that may be live have not reported yet.
	blind bool
}

func (p *Planner) newState(v *View) *state {
	s := &state{view: v, byName: map[string]*engineState{}, byModel: map[string]*modelState{}}
	for _, m := range v.Config.GetModels() {
		d := v.Demand[m.GetName()]
		ms := &modelState{cfg: m, demand: d, slots: d.Tokens/tokensPerSlot + d.Waiting}
		s.models = append(s.models, ms)
		s.byModel[m.GetName()] = ms
	}
	for _, e := range v.Config.GetEndpoints() {
		if e.GetKind() == statev1.EndpointKind_ENDPOINT_KIND_ENGINE {
			s.addEngine(p, e)
		}
	}
	slices.SortFunc(s.models, func(a, b *modelState) int { return cmp.Compare(a.name(), b.name()) })
	slices.SortFunc(s.engines, func(a, b *engineState) int { return cmp.Compare(a.name(), b.name()) })
	for _, e := range s.engines {
		for _, c := range e.copies {
			if m := s.byModel[c.key.model]; m != nil {
				m.copies = append(m.copies, c)
			}
		}
	}
	s.spread(3)
	return s
}

func (s *state) addEngine(p *Planner, cfg *statev1.Endpoint) {
	v := s.view
	r, reported := v.Reports[cfg.GetName()]
	e := &engineState{
		cfg: cfg, ledger: v.Ledger.Engines[cfg.GetName()], reported: reported,
		live:    reported && v.NowMs < r.AskedMs+v.LostAfterMs,
		leaving: r.Leaving || v.Leaving[cfg.GetName()],
		slots:   max(1, float64(cfg.GetSlots())),
		open:    map[string]bool{},
	}
	e.freeMB = int64(cfg.GetMemoryMb()) - int64(e.ledger.WorstMB)
	if !reported && v.NowMs < v.Ledger.TakenMs+v.LostAfterMs {
		s.blind = true
	}
	s.addReported(p, e, r)
	for i := range e.ledger.Orders {
		s.addOrder(p, e, r, &e.ledger.Orders[i])
	}
	slices.SortFunc(e.copies, func(a, b *copyState) int {
		return cmp.Or(cmp.Compare(a.key.model, b.key.model), cmp.Compare(a.key.version, b.key.version))
	})
	s.countLoads(e, r)
	s.engines = append(s.engines, e)
	s.byName[e.name()] = e
}

// countLoads counts what the engine may be loading. A lost engine counts for
// some time, since it may still be working.
func (s *state) countLoads(e *engineState, r Report) {
	last := r.AskedMs
	for _, o := range e.ledger.Orders {
		last = max(last, o.ExpiresMs())
	}
	if s.view.NowMs >= last+s.view.LostAfterMs+lostLoadMs {
		return
	}
	for _, c := range e.copies {
		if c.loading && !c.unloading {
			s.loads++
		}
	}
}

func (s *state) addReported(p *Planner, e *engineState, r Report) {
	for _, x := range r.Resident {
		key := copyKey{e.name(), x.Model, x.Version}
		_, draining := p.draining[key]
		e.copies = append(e.copies, &copyState{
			key: key, engine: e, memoryMB: x.MemoryMB, reported: x.Ready, loading: !x.Ready, draining: draining,
		})
	}
}

// addOrder enters an order of the ledger: a load that no report shows yet, or
// the end of a copy.
func (s *state) addOrder(p *Planner, e *engineState, r Report, o *order.Order) {
	model := o.Issue.GetModel()
	e.open[model] = true
	switch o.Issue.GetKind() {
	case statev1.OrderKind_ORDER_KIND_UNLOAD_MODEL:
		for _, c := range e.copies {
			if c.key.model == model && c.key.version == o.Issue.GetVersion() {
				c.unloading = true
			}
		}
	case statev1.OrderKind_ORDER_KIND_LOAD_MODEL:
		s.addLoad(p, e, r, o)
	}
}

func (s *state) addLoad(p *Planner, e *engineState, r Report, o *order.Order) {
	key := copyKey{e.name(), o.Issue.GetModel(), o.Issue.GetVersion()}
	i := slices.IndexFunc(e.copies, func(c *copyState) bool { return c.key == key })
	var c *copyState
	if i >= 0 {
		c = e.copies[i]
	}
	switch o.Outcome {
	case statev1.OrderOutcome_ORDER_OUTCOME_DONE:
		// A report asked for before this still may lack the copy.
		seen := p.confirmedAt(o.ID, s.view.NowMs)
		if r.AskedMs > seen+reportLagMs {
			return
		}
		if c == nil {
			c = &copyState{key: key, engine: e, memoryMB: o.Issue.GetMemoryMb()}
			e.copies = append(e.copies, c)
		}
		c.confirmed, c.loading = true, false
	case statev1.OrderOutcome_ORDER_OUTCOME_UNSPECIFIED:
		if c != nil {
			return
		}
		e.copies = append(e.copies, &copyState{
			key: key, engine: e, memoryMB: o.Issue.GetMemoryMb(), loading: true,
			overdue: s.view.NowMs > o.IssuedMs+overdueMs,
		})
	}
}

// spread divides the demand of each model between its copies so that the
// engines are used evenly, as a router does that prefers the least used one.
// Each round pours out one model after the other over what the others left.
func (s *state) spread(rounds int) {
	for range rounds {
		for _, m := range s.models {
			m.pour()
		}
	}
}

// pour fills the engines of a model's copies up to one common level of use.
func (m *modelState) pour() {
	var copies []*copyState
	for _, c := range m.copies {
		c.engine.load -= c.share
		c.share = 0
		if c.counts() {
			copies = append(copies, c)
		}
	}
	if len(copies) == 0 || m.slots == 0 {
		return
	}
	use := func(c *copyState) float64 { return c.engine.load / c.engine.slots }
	slices.SortStableFunc(copies, func(a, b *copyState) int { return cmp.Compare(use(a), use(b)) })
	level, load, slots := 0.0, 0.0, 0.0
	for i, c := range copies {
		load += c.engine.load
		slots += c.engine.slots
		level = (load + m.slots) / slots
		if i+1 == len(copies) || level <= use(copies[i+1]) {
			break
		}
	}
	for _, c := range copies {
		c.share = max(0, level*c.engine.slots-c.engine.load)
		c.engine.load += c.share
	}
}

// unmet is the part of a model's demand that its copies have no slots for.
func (m *modelState) unmet() slotSums {
	var out slotSums
	for _, c := range m.copies {
		for i, served := range c.served() {
			out[i] += c.share - served
		}
	}
	return out
}

// served is the part of a copy's share that has slots.
func (c *copyState) served() slotSums {
	var out slotSums
	for i, level := range levels() {
		out[i] = c.share * min(1, level*c.engine.slots/max(c.engine.load, 1e-9))
	}
	return out
}

// loss is the demand that would lose its slots without a copy.
func (m *modelState) loss(gone *copyState) slotSums {
	out := gone.served()
	for _, c := range m.copies {
		if c == gone || !c.counts() || c.loading {
			continue
		}
		for i, spare := range c.engine.spare() {
			out[i] = max(0, out[i]-spare)
		}
	}
	return out
}
