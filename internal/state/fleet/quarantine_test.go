package fleet

import (
	"testing"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

func putQuarantine(term uint64, traits ...*statev1.QuarantinedTrait) *statev1.Command {
	return &statev1.Command{Op: &statev1.Command_PutQuarantine{PutQuarantine: &statev1.PutQuarantine{Term: term, Traits: traits}}}
}

// Guards against a quarantine that a snapshot loses or makes younger, and against the
// late command of a deposed leader that brings back what was lifted.
func TestQuarantineKeepsItsAgeAndTheLatestTermWins(t *testing.T) {
	m := New()
	m.Apply(1, at(5_000, putQuarantine(3, &statev1.QuarantinedTrait{Trait: "part/a", Crashes: 2, LastCrashMs: 700, Open: true})))
	m.Apply(2, at(9_000, &statev1.Command{Op: &statev1.Command_Stamp{Stamp: &statev1.Stamp{}}}))
	m = restored(t, m)
	m.Apply(3, at(10_000, putQuarantine(2)))
	got := m.Quarantine()
	if len(got) != 1 || got[0].GetTrait() != "part/a" || got[0].GetCrashes() != 2 || got[0].GetLastCrashMs() != 5_700 || !got[0].GetOpen() {
		t.Fatalf("quarantine %v, want part/a with its last crash 5.7 s ago", got)
	}
	m.Apply(4, putQuarantine(4))
	m.Apply(5, putQuarantine(3, &statev1.QuarantinedTrait{Trait: "part/a"}))
	if got := m.Quarantine(); len(got) != 0 {
		t.Fatalf("quarantine %v after a later term lifted it", got)
	}
}
