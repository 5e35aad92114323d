package directory

// Parameters of the desired numbers of replicas.
const (
	// targetReplicaLoad is the load, in engines, for which a model gets one replica. It
	// is below 1 because engines are shared with other models and need room for bursts.
	targetReplicaLoad = 0.75
	// minDeficit is the fraction of a replica that a model must be short of before it
	// gets one, and surplusFactor the multiple of the desired number that it keeps.
	// This hysteresis prevents replicas from being moved back and forth by random
	// changes in demand.
	minDeficit    = 0.5
	surplusFactor = 1.15
	// overloadedLoad is the mean load of a model's engines from which it gets a further
	// replica, and underutilizedLoad the mean load below which one of its replicas may
	// be evicted.
	overloadedLoad    = 0.85
	underutilizedLoad = 0.7
	// scaleSearchSteps is the number of bisection steps in the search for the scale of
	// the desired numbers.
	scaleSearchSteps = 12
)

// desiredReplicas divides the capacity of all engines between the models in demand,
// by their load. If the capacity does not suffice, the numbers are scaled down, but
// every model gets at least one replica.
func (r *plan) desiredReplicas() map[string]float64 {
	desired := make(map[string]float64, len(r.models))
	for name := range r.models {
		if r.inDemand(name) || r.load[name] >= minReachableLoad {
			desired[name] = r.load[name] / targetReplicaLoad
		}
	}
	capacity := float64(r.modelCapacity())
	sum := func(scale float64) float64 {
		total := 0.0
		for _, n := range desired {
			total += max(1, n*scale)
		}
		return total
	}
	low, high := 0.0, 1.0
	if sum(high) <= capacity {
		low = high
	}
	for range scaleSearchSteps {
		if mid := (low + high) / 2; sum(mid) <= capacity {
			low = mid
		} else {
			high = mid
		}
	}
	for name, n := range desired {
		desired[name] = max(1, n*low)
	}
	return desired
}

// modelCapacity returns how many models all engines hold together at least.
func (r *plan) modelCapacity() int {
	largest := 1.0
	for _, m := range r.models {
		largest = max(largest, m.MemoryMB)
	}
	perEngine := int((r.service.Engine.MemoryMB - r.adapterMB*float64(r.service.Engine.AdapterSlots)) / largest)
	n := 0
	for _, e := range r.engines {
		if !e.outOfUse() {
			n += max(1, perEngine)
		}
	}
	return n
}

// underReplicated reports whether a model should get a further replica: it has too
// few, or its replicas share their engines with other busy models.
func (r *plan) underReplicated(model string) bool {
	return r.desired[model]-r.capacityOf(model) >= minDeficit || r.poolLoad(model) >= overloadedLoad
}

// hasSurplus reports whether the replica of the model on an engine may be evicted: the
// model is not in demand, or it has more replicas than desired and its other engines would
// still be underutilized.
func (r *plan) hasSurplus(model string, e *engine) bool {
	if !r.inDemand(model) {
		return true
	}
	capacity := r.capacityOf(model)
	rest := capacity - e.capacity()
	return r.ready[model] > 1 && rest >= r.desired[model]*surplusFactor && r.poolLoad(model)*capacity/rest < underutilizedLoad
}
