package directory

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/fleet"
	"github.com/radishloom/radishloom/internal/virtualtime"
)

// commitTime is how long the replicated state takes for a declaration.
const commitTime = 5 * time.Millisecond

// versionStore is the replicated state of the control VMs.
type versionStore struct {
	mu      sync.Mutex
	machine *fleet.Machine
	index   uint64
	down    bool
}

func newVersionStore() *versionStore { return &versionStore{machine: fleet.New()} }

func (v *versionStore) RecentVersions(context.Context) ([]*statev1.ServiceVersions, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.machine.RecentVersions(), nil
}

func (v *versionStore) PutRecentVersions(_ context.Context, p *statev1.PutRecentVersions) error {
	time.Sleep(commitTime)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.down {
		return errors.New("no quorum")
	}
	v.index++
	r := v.machine.Apply(v.index, &statev1.Command{Op: &statev1.Command_PutRecentVersions{PutRecentVersions: p}})
	if code := resultcode.Code(r.GetCode()); code != resultcode.OK {
		return resultcode.New(code, "%s", r.GetMessage())
	}
	return nil
}

func (v *versionStore) setDown(down bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down = down
}

func (v *versionStore) stored() []string {
	stored, _ := v.RecentVersions(context.Background())
	return nameVersions(decodeVersions(stored))
}

// leadingRole is the control role of a VM that leads in a term, which is zero if it does
// not. confirming is called while a quorum confirms that.
type leadingRole struct {
	fakeLeadership
	term       uint64
	confirming func()
	confirms   int
	// changed is the last change of the routes.
	changed routeChange
}

func (l *leadingRole) StreamRoutesChanged(context.Context) (uint64, time.Duration, error) {
	return l.changed.catalogVersion, l.changed.ago, nil
}

func (l *leadingRole) Leading(context.Context) (uint64, bool) { return l.term, l.term != 0 }

func (l *leadingRole) ConfirmOwnership(context.Context) (uint64, error) {
	l.confirms++
	if l.confirming != nil {
		l.confirming()
	}
	if l.term == 0 {
		return 0, notLeading()
	}
	return l.term, nil
}

// newVersionLeader returns the leader of a term, which has begun to take over what
// earlier leaders saved.
func newVersionLeader(t *testing.T, term uint64, store VersionStore) (*Server, *leadingRole) {
	t.Helper()
	role := &leadingRole{term: term}
	s := New(Config{Metrics: noMetrics{}, Log: slog.New(slog.DiscardHandler), Leadership: role, Quarantine: &fakeQuarantineStore{}, Versions: store})
	time.Sleep(time.Millisecond)
	if err := s.startTerm(t.Context(), term); err != nil || !s.stillLeads(t.Context()) {
		t.Fatalf("the term did not begin: %v", err)
	}
	s.saveVersions(t.Context())
	return s, role
}

// list lets a list arrive.
func list(t *testing.T, s *Server, endpoints []Endpoint) {
	t.Helper()
	s.setList(s.mu.term, slices.Clone(endpoints), 0, nil)
	s.saveVersions(t.Context())
}

// settle waits until no save is in flight.
func settle() {
	time.Sleep(2 * commitTime)
	synctest.Wait()
}

// versionsSent returns the version of each endpoint that a follower without a list gets,
// followed by a mark if the versions of its service differ, or nil if it gets none.
func versionsSent(t *testing.T, s *Server) map[string]string {
	t.Helper()
	s.mu.Lock()
	s.mu.published.packed = packedList{} // else it may be some versions old
	s.mu.Unlock()
	out := followLeader(t, s, newRelayState().takeReport(s.now(), "c", 0))
	if out.GetEpoch() == 0 {
		return nil
	}
	endpoints, err := UnpackEndpoints(out.GetPacked())
	if err != nil {
		t.Fatal(err)
	}
	sent := map[string]string{}
	for _, e := range endpoints {
		sent[e.GetId()] = e.GetSoftwareVersion()
		if e.GetVersionsDiffer() {
			sent[e.GetId()] += " differs"
		}
	}
	return sent
}

func wantSent(t *testing.T, s *Server, want map[string]string) {
	t.Helper()
	if got := versionsSent(t, s); !maps.Equal(got, want) || (got == nil) != (want == nil) {
		t.Errorf("followers get %v, want %v", got, want)
	}
}

// ask asks for the version of a stream of the service s.
func ask(t *testing.T, s *Server, stream uint64) (string, error) {
	t.Helper()
	out, err := s.Streams(t.Context(), &peerv1.StreamsRequest{Queries: []*peerv1.StreamQuery{{Stream: stream, Service: "s"}}})
	if err != nil {
		return "", err
	}
	if len(out.GetSoftwareVersions()) != 1 || out.GetTerm() != s.mu.term {
		t.Errorf("response %v", out)
	}
	return out.GetSoftwareVersions()[0], nil
}

func wantAsked(t *testing.T, s *Server, stream uint64, want string) {
	t.Helper()
	if got, err := ask(t, s, stream); err != nil || got != want {
		t.Errorf("stream %d began at %q, error %v, want %q", stream, got, err, want)
	}
}

func report(t *testing.T, s *Server, stream uint64, version string) {
	t.Helper()
	if _, err := s.Streams(t.Context(), &peerv1.StreamsRequest{Begun: []*peerv1.BegunStream{{Stream: stream, SoftwareVersion: version}}}); err != nil {
		t.Errorf("report of stream %d: %v", stream, err)
	}
}

// Guards against a fresh fleet whose entries get an empty list, or wait for the next round
// of the leader's work for the first one.
func TestFirstListOfAFleetIsSentOnceItsVersionsAreCommitted(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s, _ := newVersionLeader(t, 1, newVersionStore())
		list(t, s, endpointsAt("v1", "v1"))
		wantSent(t, s, nil)
		time.Sleep(2*commitTime + time.Millisecond) // less than a round of the leader's work
		wantSent(t, s, map[string]string{"e0": "v1", "e1": "v1"})
	})
}

// Guards against endpoints at which streams begin although a later leader cannot know
// their version, and against other endpoints that are withheld with them.
func TestEndpointsOfANewVersionWaitUntilItIsCommitted(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		store := newVersionStore()
		s, _ := newVersionLeader(t, 1, store)
		list(t, s, endpointsAt("v1", "v1"))
		settle()
		store.setDown(true)
		list(t, s, endpointsAt("v1", "v1", "v2"))
		for range 3 {
			settle()
			wantSent(t, s, map[string]string{"e0": "v1 differs", "e1": "v1 differs"})
			wantAsked(t, s, 1, "v1")
			time.Sleep(versionsRetryDelay)
			s.saveVersions(t.Context())
		}
		store.setDown(false)
		settle()
		time.Sleep(versionsRetryDelay)
		s.saveVersions(t.Context())
		settle()
		wantSent(t, s, map[string]string{"e0": "v1 differs", "e1": "v1 differs", "e2": "v2 differs"})
		wantAsked(t, s, 1, "")
	})
}

// Guards against an endpoint that is sent with the version that it had before under its
// identifier, or with the new one before that is committed.
func TestEndpointThatChangesItsVersionIsWithheldUntilTheNewOneIsCommitted(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		store := newVersionStore()
		s, _ := newVersionLeader(t, 1, store)
		list(t, s, endpointsAt("v1", "v1"))
		settle()
		list(t, s, endpointsAt("v1", "v2"))
		wantSent(t, s, map[string]string{"e0": "v1 differs"})
		settle()
		wantSent(t, s, map[string]string{"e0": "v1 differs", "e1": "v2 differs"})
		list(t, s, endpointsAt("v2", "v1"))
		wantSent(t, s, map[string]string{"e0": "v2 differs", "e1": "v1 differs"})
	})
}

// Guards against the mark of several versions that stays, or ends while streams of the
// version that left may be taken up, and against a removal that is not saved.
func TestVersionsDifferUntilTheOldOneIsForgotten(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		store := newVersionStore()
		s, _ := newVersionLeader(t, 1, store)
		list(t, s, endpointsAt("v1", "v2"))
		settle()
		for range 59 {
			list(t, s, endpointsAt("v2", "v2"))
			time.Sleep(time.Second)
			s.stillLeads(t.Context())
		}
		wantSent(t, s, map[string]string{"e0": "v2 differs", "e1": "v2 differs"})
		wantAsked(t, s, 1, "")
		time.Sleep(time.Second)
		list(t, s, endpointsAt("v2", "v2"))
		settle()
		wantSent(t, s, map[string]string{"e0": "v2", "e1": "v2"})
		wantAsked(t, s, 1, "v2")
		if got := store.stored(); !slices.Equal(got, []string{"s v2"}) {
			t.Errorf("replicated state: %q", got)
		}
	})
}

// Guards against a new leader that begins with less than the replicated set, and so takes
// the stream of a version that is gone for one of the version that is left. Its streams
// are unknown, as it has no records, until entries report them again.
func TestNewLeaderKeepsTheVersionsAndHasNoRecords(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		store := newVersionStore()
		first, _ := newVersionLeader(t, 1, store)
		list(t, first, endpointsAt("v1", "v2"))
		settle()
		report(t, first, 7, "v2")
		wantAsked(t, first, 7, "v2")

		second, _ := newVersionLeader(t, 2, store)
		settle()
		if _, err := ask(t, second, 7); err == nil {
			t.Error("a leader without a list answers")
		}
		list(t, second, endpointsAt("v1"))
		wantSent(t, second, map[string]string{"e0": "v1 differs"})
		wantAsked(t, second, 7, "")
		report(t, second, 7, "v2")
		wantAsked(t, second, 7, "v2")
		wantAsked(t, second, 8, "")
		time.Sleep(streamMemory)
		second.stillLeads(t.Context())
		list(t, second, endpointsAt("v1"))
		settle()
		wantAsked(t, second, 8, "v1")

		third, _ := newVersionLeader(t, 3, store)
		settle()
		list(t, third, endpointsAt("v1"))
		wantAsked(t, third, 8, "v1")
	})
}

// Guards against a new leader that publishes its list, or answers, before earlier leaders
// can no longer change the replicated versions.
func TestNewLeaderWithholdsItsListUntilTheVersionsAreTakenOver(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		store := newVersionStore()
		first, _ := newVersionLeader(t, 1, store)
		list(t, first, endpointsAt("v1"))
		settle()
		store.setDown(true)
		second, _ := newVersionLeader(t, 2, store)
		list(t, second, endpointsAt("v1"))
		settle()
		wantSent(t, second, nil)
		if _, err := ask(t, second, 1); err == nil {
			t.Error("a leader that does not know the versions answers")
		}
		store.setDown(false)
		time.Sleep(versionsRetryDelay)
		second.saveVersions(t.Context())
		settle()
		wantSent(t, second, map[string]string{"e0": "v1"})
	})
}

// Guards against a deposed leader that publishes a version after its declaration was
// refused, or forwarded to another VM.
func TestDeposedLeaderDoesNotPublishNewVersions(t *testing.T) {
	for name, depose := range map[string]func(t *testing.T, store *versionStore, role *leadingRole){
		"refused":   func(t *testing.T, store *versionStore, _ *leadingRole) { newVersionLeader(t, 2, store); settle() },
		"forwarded": func(_ *testing.T, _ *versionStore, role *leadingRole) { role.term = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				store := newVersionStore()
				first, role := newVersionLeader(t, 1, store)
				list(t, first, endpointsAt("v1"))
				settle()
				depose(t, store, role)
				list(t, first, endpointsAt("v1", "v2"))
				settle()
				wantSent(t, first, map[string]string{"e0": "v1 differs"})
			})
		})
	}
}

// Guards against an answer of a leader that was replaced between the arrival of the call
// and its answer, also if it leads again: another leader may have published a version.
func TestLeaderThatWasReplacedDuringACallRefusesToAnswer(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s, role := newVersionLeader(t, 1, newVersionStore())
		list(t, s, endpointsAt("v1"))
		settle()
		wantAsked(t, s, 1, "v1")
		refuses := func(name string, confirming func()) {
			t.Helper()
			role.confirming = confirming
			if got, err := ask(t, s, 1); err == nil {
				t.Errorf("%s: answers %q", name, got)
			}
			role.term, role.confirming = s.mu.term, nil
			s.stillLeads(t.Context())
			wantAsked(t, s, 1, "v1")
		}
		refuses("lost", func() { role.term = 0 })
		refuses("led again", func() { role.term = 3 })
		refuses("frozen", func() { time.Sleep(frozenTime) })
		refuses("led again, its work began", func() {
			role.term = 3
			if err := s.startTerm(t.Context(), 3); err != nil {
				t.Error(err)
			}
			s.saveVersions(t.Context())
			list(t, s, endpointsAt("v1"))
			settle()
			role.term = 1 // as read before
		})
	})
}

// Guards against a stream that goes on at the service to which its route was moved, since
// an entry started into the later catalog, or does not have it yet, and against an answer
// that is withheld from an entry which knows all routes.
func TestServiceOfAPathIsNotBelievedAfterAChangeOfRoutes(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s, role := newVersionLeader(t, 1, newVersionStore())
		list(t, s, endpointsAt("v1"))
		settle()
		time.Sleep(reportsDue)
		s.stillLeads(t.Context())
		want := func(changed routeChange, catalogVersion uint64, earlierUnknown bool, version string) {
			t.Helper()
			role.changed = changed
			q := &peerv1.StreamQuery{Stream: 1, Service: "s", CatalogVersion: catalogVersion, EarlierRoutesUnknown: earlierUnknown}
			out, err := s.Streams(t.Context(), &peerv1.StreamsRequest{Queries: []*peerv1.StreamQuery{q}})
			if err != nil || out.GetSoftwareVersions()[0] != version {
				t.Errorf("changed %+v, catalog %d, earlier unknown %t: %v, error %v, want %q", changed, catalogVersion, earlierUnknown, out, err, version)
			}
		}
		never, lately, longAgo := routeChange{0, time.Second}, routeChange{5, streamMemory}, routeChange{5, streamMemory + 1}
		want(never, 1, true, "v1")
		want(lately, 5, false, "v1")
		want(lately, 6, false, "v1")
		want(lately, 5, true, "")
		want(lately, 4, false, "")
		want(longAgo, 4, false, "")
		want(longAgo, 5, true, "v1")
		report(t, s, 1, "v1") // a record is believed whatever the routes are
		want(lately, 4, true, "v1")
	})
}

// Guards against answers of a VM that does not lead or was frozen, and against a quorum
// that is asked for each report.
func TestStreamsNeedALeaderAndQueriesAQuorum(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s, role := newVersionLeader(t, 1, newVersionStore())
		list(t, s, endpointsAt("v1"))
		settle()
		report(t, s, 1, "v1")
		if role.confirms != 0 {
			t.Errorf("a report needed %d confirmations", role.confirms)
		}
		wantAsked(t, s, 1, "v1")
		if role.confirms != 1 {
			t.Errorf("%d confirmations of an answer", role.confirms)
		}
		time.Sleep(frozenTime)
		if got, err := ask(t, s, 1); resultcode.Of(err) != resultcode.NoLeader {
			t.Errorf("a frozen leader answers %q, error %v", got, err)
		}
		s.stillLeads(t.Context())
		wantAsked(t, s, 1, "v1")
		if err := s.startTerm(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
		if got, err := ask(t, s, 1); resultcode.Of(err) != resultcode.NoLeader {
			t.Errorf("a VM that does not lead answers %q, error %v", got, err)
		}
	})
}

// Guards against a Server without a replicated state that publishes nothing.
func TestServerWithoutAVersionStorePublishesEachVersion(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s, _ := newVersionLeader(t, 1, nil)
		list(t, s, endpointsAt("v1"))
		wantSent(t, s, map[string]string{"e0": "v1"})
		wantAsked(t, s, 1, "v1")
		list(t, s, endpointsAt("v1", "v2"))
		wantSent(t, s, map[string]string{"e0": "v1 differs", "e1": "v2 differs"})
	})
}

// Guards against an endpoint whose other software version is no change of the list.
func TestChangedVersionIsAChangeOfTheList(t *testing.T) {
	s := newLeader(1)
	versions := fmt.Sprint(s.mu.published.version)
	changed := slices.Clone(s.mu.list)
	changed[0].SoftwareVersion = "v2"
	s.setList(1, changed, 0, nil)
	if now := fmt.Sprint(s.mu.published.version); now == versions {
		t.Error("no version of the list was published")
	}
}
