package quarantinehttp

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/suspect"
	"github.com/radishloom/radishloom/internal/resultcode"
)

type fakeDirectory struct {
	list []suspect.Suspect
	err  error
}

func (f *fakeDirectory) Suspects() (time.Duration, []suspect.Suspect, error) {
	return 5 * time.Second, f.list, f.err
}

func (f *fakeDirectory) LiftQuarantine(t suspect.Trait) (bool, error) {
	return len(f.list) > 0 && f.list[0].Trait == t, f.err
}

// Guards against an operator who cannot see or end a quarantine, and against an
// answer of a VM that does not lead, which knows of none.
func TestOperatorSeesAndLiftsQuarantine(t *testing.T) {
	f := &fakeDirectory{list: []suspect.Suspect{{Trait: suspect.PartTrait("a b"), Quarantined: true, Crashes: 2, Last: 2 * time.Second}}}
	call := func(method, path string) (int, string) {
		w := httptest.NewRecorder()
		New(f).ServeHTTP(w, httptest.NewRequest(method, path, nil))
		return w.Code, w.Body.String()
	}
	want := `[{"trait":"part/a b","quarantined":true,"crashes":2,"last_crash_ms":3000,"ends_in_ms":597000}]`
	if status, body := call(http.MethodGet, Path); status != http.StatusOK || strings.TrimSpace(body) != want {
		t.Errorf("list: status %d, %s", status, body)
	}
	if status, body := call(http.MethodDelete, Path+"/part/a%20b"); status != http.StatusNoContent {
		t.Errorf("lift: status %d, %s", status, body)
	}
	if status, _ := call(http.MethodDelete, Path+"/part/other"); status != http.StatusNotFound {
		t.Errorf("lift of what is not in quarantine: status %d", status)
	}
	f.err = resultcode.New(resultcode.NoLeader, "not the leader")
	if status, _ := call(http.MethodGet, Path); status != http.StatusServiceUnavailable {
		t.Errorf("at a VM that does not lead: status %d", status)
	}
}
