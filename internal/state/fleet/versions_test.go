package fleet

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// putVersions declares versions, each as SERVICE/VERSION, ordered by service.
func putVersions(term uint64, versions ...string) *statev1.Command {
	p := &statev1.PutRecentVersions{Term: term}
	for _, v := range versions {
		service, version, _ := strings.Cut(v, "/")
		if n := len(p.Services); n == 0 || p.Services[n-1].GetService() != service {
			p.Services = append(p.Services, &statev1.ServiceVersions{Service: service})
		}
		last := p.Services[len(p.Services)-1]
		last.Versions = append(last.Versions, version)
	}
	return &statev1.Command{Op: &statev1.Command_PutRecentVersions{PutRecentVersions: p}}
}

func wantVersions(t *testing.T, m *Machine, want ...string) {
	t.Helper()
	var got []string
	for _, s := range m.RecentVersions() {
		for _, v := range s.GetVersions() {
			got = append(got, s.GetService()+"/"+v)
		}
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("recent versions %v, want %v", got, want)
	}
}

// Guards against a late command of a deposed leader that takes away versions which the
// present one relies on, or that its sender takes for committed.
func TestStaleTermDoesNotChangeRecentVersions(t *testing.T) {
	m := New()
	m.Apply(1, putVersions(3, "s/v1", "s/v2"))
	m.Apply(2, putVersions(5, "s/v1", "s/v2", "t/v1"))
	r := m.Apply(3, putVersions(3, "s/v1"))
	if resultcode.Code(r.GetCode()) != resultcode.FencingTokenOld {
		t.Errorf("the declaration of an earlier term has the result %v", r)
	}
	wantVersions(t, m, "s/v1", "s/v2", "t/v1")
	m.Apply(4, putVersions(5, "s/v2"))
	wantVersions(t, m, "s/v2")
}

// Guards against a new leader that begins its term with less than earlier leaders declared,
// also if it repeats its first declaration, whose outcome it did not learn.
func TestFirstDeclarationOfATermTakesNoVersionAway(t *testing.T) {
	m := New()
	m.Apply(1, putVersions(3, "s/v1", "t/v1"))
	m.Apply(2, putVersions(5))
	m.Apply(2, putVersions(5))
	wantVersions(t, m, "s/v1", "t/v1")
	m.Apply(3, putVersions(6, "a/v9", "s/v2"))
	wantVersions(t, m, "a/v9", "s/v1", "s/v2", "t/v1")
}

// Guards against recent versions, or the term that declared them, which a snapshot loses,
// and against a snapshot of an earlier release that cannot be restored.
func TestRecentVersionsOutliveASnapshot(t *testing.T) {
	m := New()
	m.Apply(1, putVersions(3, "s/v1", "s/v2"))
	m = restored(t, m)
	m.Apply(2, putVersions(2, "s/v1"))
	wantVersions(t, m, "s/v1", "s/v2")

	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	old := &statev1.MachineSnapshot{}
	if err := proto.Unmarshal(data, old); err != nil {
		t.Fatal(err)
	}
	old.RecentVersions = nil
	if data, err = proto.Marshal(old); err != nil {
		t.Fatal(err)
	}
	if err := m.Restore(data); err != nil {
		t.Fatal(err)
	}
	wantVersions(t, m)
	m.Apply(3, putVersions(1, "s/v3"))
	wantVersions(t, m, "s/v3")
}
