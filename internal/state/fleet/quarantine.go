package fleet

import statev1 "github.com/radishloom/radishloom/api/state/v1"

// putQuarantine replaces the quarantine, unless a leader of a later term declared it.
func (m *Machine) putQuarantine(q *statev1.PutQuarantine) {
	if q.GetTerm() >= m.quarantine.GetDeclared().GetTerm() {
		m.quarantine = &statev1.QuarantineRecord{DeclaredMs: m.now, Declared: q}
	}
}

// Quarantine returns what is under quarantine or suspected, with the times since the
// last crashes at the present fleet time. The caller may keep the result.
func (m *Machine) Quarantine() []*statev1.QuarantinedTrait {
	elapsed := m.now - m.quarantine.GetDeclaredMs()
	var out []*statev1.QuarantinedTrait
	for _, t := range m.quarantine.GetDeclared().GetTraits() {
		out = append(out, &statev1.QuarantinedTrait{
			Trait: t.GetTrait(), Crashes: t.GetCrashes(), Open: t.GetOpen(),
			LastCrashMs: t.GetLastCrashMs() + elapsed,
		})
	}
	return out
}
