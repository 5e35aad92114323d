package fleet

import (
	"testing"

	"google.golang.org/protobuf/proto"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// Guards against a change of the routes with resumable streams that the replicated state
// does not note, or notes for a catalog which has the same routes, across snapshots and in
// a state that an earlier release has written.
func TestChangeOfStreamRoutesIsNoted(t *testing.T) {
	m := New()
	put := func(version, routes, at uint64) {
		c := &statev1.PutCatalog{Catalog: &statev1.Catalog{Version: version}, StreamRoutes: routes}
		m.Apply(version, &statev1.Command{FleetTimeMs: at, Op: &statev1.Command_PutCatalog{PutCatalog: c}})
	}
	want := func(changedBy, changedMs uint64) {
		t.Helper()
		if got := m.StreamRoutes(); got.GetChangedBy() != changedBy || got.GetChangedMs() != changedMs {
			t.Errorf("changed by catalog %d at %d, want %d at %d", got.GetChangedBy(), got.GetChangedMs(), changedBy, changedMs)
		}
	}
	restart := func(forget bool) {
		t.Helper()
		data, err := m.Snapshot()
		s := &statev1.MachineSnapshot{}
		if err == nil {
			err = proto.Unmarshal(data, s)
		}
		if forget {
			s.StreamRoutes = nil
		}
		if err == nil {
			data, err = proto.Marshal(s)
		}
		if err == nil {
			m = New()
			err = m.Restore(data)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	want(0, 0)
	put(1, 7, 100) // the first catalog replaces none
	want(0, 0)
	put(2, 7, 200)
	want(0, 0)
	put(3, 8, 300)
	want(3, 300)
	put(3, 9, 350) // competes with the one before
	put(4, 8, 400)
	want(3, 300)
	restart(false)
	put(5, 8, 500)
	want(3, 300)
	put(6, 0, 600) // of an earlier release
	want(6, 600)
	put(7, 0, 700)
	want(7, 700)
	put(8, 8, 800)
	want(8, 800)
	put(9, 8, 900)
	restart(true)
	want(9, 900)
}
