package directory

// Constants of the number of copies.
const (
	// copyLoad is the load for which a model gets one copy, in engines. An engine is
	// shared with other models, and bursts have to find room.
	copyLoad = 0.75
	// lackOf is the part of a copy that a model must lack before it gets one, and
	// surplus the part beyond what it should have that a model keeps: both keep
	// copies from moving to and fro with chance.
	lackOf  = 0.5
	surplus = 1.15
	// crowded is the mean load of a model's engines from which it gets a further one,
	// and roomy that below which it can give one away.
	crowded = 0.85
	roomy   = 0.7
	// searchSteps halve the interval in which the scale of all wishes is looked for.
	searchSteps = 12
)

// copiesWanted divides the places of all engines between the models that are
// asked for, by their load. If the places do not suffice, every model gets less,
// but one copy at least.
func (r *plan) copiesWanted() map[string]float64 {
	want := make(map[string]float64, len(r.models))
	for name := range r.models {
		if r.asked(name) || r.load[name] >= leastAsked {
			want[name] = r.load[name] / copyLoad
		}
	}
	places := float64(r.places())
	sum := func(scale float64) float64 {
		total := 0.0
		for _, w := range want {
			total += max(1, w*scale)
		}
		return total
	}
	low, high := 0.0, 1.0
	if sum(high) <= places {
		low = high
	}
	for range searchSteps {
		if mid := (low + high) / 2; sum(mid) <= places {
			low = mid
		} else {
			high = mid
		}
	}
	for name, w := range want {
		want[name] = max(1, w*low)
	}
	return want
}

// places is how many models the engines hold together at least.
func (r *plan) places() int {
	largest := 1.0
	for _, m := range r.models {
		largest = max(largest, m.MemoryMB)
	}
	each := int((r.service.Engine.MemoryMB - r.adapterMB*float64(r.service.Engine.AdapterSlots)) / largest)
	n := 0
	for _, e := range r.engines {
		if !e.Leaving {
			n += max(1, each)
		}
	}
	return n
}

// lacks says whether a model should get a further copy: it has fewer than it
// should, or its copies share their engines with other busy models.
func (r *plan) lacks(model string) bool {
	return r.want[model]-float64(len(r.pools[model])) >= lackOf || r.poolLoad(model) >= crowded
}

// spares says whether a model can give a copy away: nobody asks for it, or it
// keeps more than it should have, on engines that are not crowded by then.
func (r *plan) spares(model string) bool {
	if !r.asked(model) {
		return true
	}
	n := float64(len(r.pools[model]))
	return r.ready[model] > 1 && n-1 >= r.want[model]*surplus && r.poolLoad(model)*n/(n-1) < roomy
}
