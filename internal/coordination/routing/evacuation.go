package routing

// Evacuated reports whether the endpoint is evacuated.
func (t *Table) Evacuated(name string) bool {
	e := t.endpoints[name]
	return e != nil && e.leaving&FromEvacuation != 0
}

// GroupEvacuated reports whether a group has no endpoint left because of an evacuation.
func (t *Table) GroupEvacuated(group string) bool {
	evacuated := false
	for _, e := range t.groups[group] {
		if e.leaving == 0 {
			return false
		}
		evacuated = evacuated || e.leaving&FromEvacuation != 0
	}
	return evacuated
}

// EnginesEvacuated reports whether no engine is left because of an evacuation, so that no
// model can be loaded elsewhere.
func (t *Table) EnginesEvacuated() bool {
	if !t.anyEvacuated {
		return false
	}
	evacuated := false
	for _, e := range t.endpoints {
		if !e.spec.Engine {
			continue
		}
		if e.leaving == 0 {
			return false
		}
		evacuated = evacuated || e.leaving&FromEvacuation != 0
	}
	return evacuated
}
