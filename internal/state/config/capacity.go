package config

import (
	"cmp"
	"fmt"
	"slices"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// CanHold reports whether an engine without other models can hold the model, by
// its memory and accelerator type.
func CanHold(e *statev1.Endpoint, m *statev1.Model) bool {
	if e.GetKind() != statev1.EndpointKind_ENDPOINT_KIND_ENGINE || m.GetMemoryMb() > e.GetMemoryMb() {
		return false
	}
	types := m.GetAcceleratorTypes()
	return len(types) == 0 || slices.Contains(types, e.GetAcceleratorType())
}

// MinReplicas returns the minimum number of replicas of a model, at least 1.
func MinReplicas(m *statev1.Model) int {
	return max(1, int(m.GetMinReplicas()))
}

// engineCapacity tracks the free memory of an engine and the models that it
// holds while models are packed.
type engineCapacity struct {
	endpoint *statev1.Endpoint
	freeMB   uint64
	models   map[string]bool
}

// checkCapacity reports pinned models that do not fit, models that no engine
// can hold, and minimum numbers of replicas that first-fit decreasing bin
// packing cannot place.
func (v *validator) checkCapacity() {
	engines := v.packPinnedModels()
	models := slices.Clone(v.config.GetModels())
	slices.SortStableFunc(models, func(a, b *statev1.Model) int {
		return cmp.Or(cmp.Compare(b.GetMemoryMb(), a.GetMemoryMb()), cmp.Compare(a.GetName(), b.GetName()))
	})
	for _, m := range models {
		v.packModel(engines, m)
	}
}

// packPinnedModels checks the pinned models and returns the engines, sorted by
// name, with the pinned models in place.
func (v *validator) packPinnedModels() []*engineCapacity {
	var engines []*engineCapacity
	for _, e := range v.config.GetEndpoints() {
		if e.GetKind() != statev1.EndpointKind_ENDPOINT_KIND_ENGINE {
			continue
		}
		engine := &engineCapacity{endpoint: e, freeMB: e.GetMemoryMb(), models: map[string]bool{}}
		engines = append(engines, engine)
		field := fmt.Sprintf("endpoints[%s].pinned_models", e.GetName())
		v.checkNameList(field, e.GetPinnedModels())
		for _, name := range e.GetPinnedModels() {
			m := v.models[name]
			switch {
			case m == nil:
				v.add(field, name, "the name of a model")
			case !CanHold(e, m):
				v.add(field, name, "a model that fits the engine's memory and accelerator type")
			case m.GetMemoryMb() > engine.freeMB:
				v.add(field, name, fmt.Sprintf("pinned models of together at most %d MB", e.GetMemoryMb()))
			case !engine.models[name]:
				engine.freeMB -= m.GetMemoryMb()
				engine.models[name] = true
			}
		}
	}
	slices.SortStableFunc(engines, func(a, b *engineCapacity) int {
		return cmp.Compare(a.endpoint.GetName(), b.endpoint.GetName())
	})
	return engines
}

// packModel places the missing minimum replicas of a model on the first engines
// with enough free memory.
func (v *validator) packModel(engines []*engineCapacity, m *statev1.Model) {
	capable, placed := 0, 0
	for _, e := range engines {
		if CanHold(e.endpoint, m) {
			capable++
		}
		if e.models[m.GetName()] {
			placed++
		}
	}
	field := fmt.Sprintf("models[%s]", m.GetName())
	want := MinReplicas(m)
	if capable == 0 {
		v.add(field+".memory_mb", m.GetMemoryMb(), "a model that some engine can hold, by memory and accelerator type")
		return
	}
	if capable < want {
		v.add(field+".min_replicas", want, fmt.Sprintf("at most the %d engines that can hold the model", capable))
		return
	}
	for _, e := range engines {
		if placed >= want {
			return
		}
		if e.models[m.GetName()] || !CanHold(e.endpoint, m) || m.GetMemoryMb() > e.freeMB {
			continue
		}
		e.freeMB -= m.GetMemoryMb()
		e.models[m.GetName()] = true
		placed++
	}
	if placed < want {
		v.add(field+".min_replicas", want, fmt.Sprintf("%d, as many as fit beside the larger models and the pinned ones", placed))
	}
}
