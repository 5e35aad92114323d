package config

import (
	"cmp"
	"fmt"
	"slices"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// CanHold reports whether an engine can hold a model at all, by its memory and
// accelerator type.
func CanHold(e *statev1.Endpoint, m *statev1.Model) bool {
	if e.GetKind() != statev1.EndpointKind_ENDPOINT_KIND_ENGINE || m.GetMemoryMb() > e.GetMemoryMb() {
		return false
	}
	types := m.GetAcceleratorTypes()
	return len(types) == 0 || slices.Contains(types, e.GetAcceleratorType())
}

// MinReplicas returns the least number of resident copies of a model.
func MinReplicas(m *statev1.Model) int {
	return max(1, int(m.GetMinReplicas()))
}

// engineRoom is the memory that is still free on an engine while models are
// packed, and which of them it already holds.
type engineRoom struct {
	endpoint *statev1.Endpoint
	free     uint64
	holds    map[string]bool
}

// checkCapacity reports pinned models that do not fit, models that no engine
// can hold, and minimum replicas that first-fit decreasing cannot pack.
func (v *validator) checkCapacity() {
	rooms := v.pinnedRooms()
	models := slices.Clone(v.config.GetModels())
	slices.SortStableFunc(models, func(a, b *statev1.Model) int {
		return cmp.Or(cmp.Compare(b.GetMemoryMb(), a.GetMemoryMb()), cmp.Compare(a.GetName(), b.GetName()))
	})
	for _, m := range models {
		v.packModel(rooms, m)
	}
}

func (v *validator) pinnedRooms() []*engineRoom {
	var rooms []*engineRoom
	for _, e := range v.config.GetEndpoints() {
		if e.GetKind() != statev1.EndpointKind_ENDPOINT_KIND_ENGINE {
			continue
		}
		room := &engineRoom{endpoint: e, free: e.GetMemoryMb(), holds: map[string]bool{}}
		rooms = append(rooms, room)
		field := fmt.Sprintf("endpoints[%s].pinned_models", e.GetName())
		v.checkNameList(field, e.GetPinnedModels())
		for _, name := range e.GetPinnedModels() {
			m := v.models[name]
			switch {
			case m == nil:
				v.add(field, name, "the name of a model")
			case !CanHold(e, m):
				v.add(field, name, "a model that fits the engine's memory and accelerator type")
			case m.GetMemoryMb() > room.free:
				v.add(field, name, fmt.Sprintf("pinned models of together at most %d MB", e.GetMemoryMb()))
			case !room.holds[name]:
				room.free -= m.GetMemoryMb()
				room.holds[name] = true
			}
		}
	}
	slices.SortStableFunc(rooms, func(a, b *engineRoom) int {
		return cmp.Compare(a.endpoint.GetName(), b.endpoint.GetName())
	})
	return rooms
}

func (v *validator) packModel(rooms []*engineRoom, m *statev1.Model) {
	able, placed := 0, 0
	for _, r := range rooms {
		if CanHold(r.endpoint, m) {
			able++
		}
		if r.holds[m.GetName()] {
			placed++
		}
	}
	field := fmt.Sprintf("models[%s]", m.GetName())
	want := MinReplicas(m)
	if able == 0 {
		v.add(field+".memory_mb", m.GetMemoryMb(), "a model that some engine can hold, by memory and accelerator type")
		return
	}
	if able < want {
		v.add(field+".min_replicas", want, fmt.Sprintf("at most the %d engines that can hold the model", able))
		return
	}
	for _, r := range rooms {
		if placed >= want {
			return
		}
		if r.holds[m.GetName()] || !CanHold(r.endpoint, m) || m.GetMemoryMb() > r.free {
			continue
		}
		r.free -= m.GetMemoryMb()
		r.holds[m.GetName()] = true
		placed++
	}
	if placed < want {
		v.add(field+".min_replicas", want, fmt.Sprintf("%d, as many as fit beside the larger models and the pinned ones", placed))
	}
}
