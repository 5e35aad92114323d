package directory

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/catalog"
	"github.com/radishloom/radishloom/internal/virtualtime"
)

// fakeEvacuationStore is the replicated state of the control VMs.
type fakeEvacuationStore struct {
	version uint64
	records []*statev1.EvacuationRecord
	now     uint64
	down    bool
}

func (f *fakeEvacuationStore) FleetTime(context.Context) (uint64, error) { return f.now, nil }

func (f *fakeEvacuationStore) Evacuations(context.Context) (uint64, []*statev1.EvacuationRecord, error) {
	if f.down {
		return 0, nil, errors.New("the state cannot be read")
	}
	return f.version, f.records, nil
}

func (f *fakeEvacuationStore) set(dataCentre string, evacuated bool) {
	f.version++
	f.records = append([]*statev1.EvacuationRecord(nil), f.records...)
	for i, r := range f.records {
		if r.GetDataCentre() == dataCentre {
			f.records[i] = &statev1.EvacuationRecord{DataCentre: dataCentre, Evacuated: evacuated}
			return
		}
	}
	f.records = append(f.records, &statev1.EvacuationRecord{DataCentre: dataCentre, Evacuated: evacuated})
}

func (f *fakeEvacuationStore) evacuated(dataCentre string) bool {
	for _, r := range f.records {
		if r.GetDataCentre() == dataCentre {
			return r.GetEvacuated()
		}
	}
	return false
}

func evacuatedEndpoints(s *Server) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]bool{}
	for id, p := range s.mu.published.endpoints {
		if p.message.GetEvacuated() {
			out[id] = true
		}
	}
	return out
}

func twoDataCentres() []Endpoint {
	return []Endpoint{
		{ID: "a", Service: "s", Address: "a", DataCentre: "dc1", Slots: 8},
		{ID: "b", Service: "s", Address: "b", DataCentre: "dc2", Slots: 8},
	}
}

// Guards against a new leader that publishes a list without an evacuation that an earlier
// one acknowledged, at its first term and after it led before, and that begins its term
// although it cannot read the evacuations.
func TestNewLeaderPublishesTheEvacuationWithItsFirstList(t *testing.T) {
	store := &fakeEvacuationStore{}
	store.set("dc1", true)
	s := New(Config{Log: slog.New(slog.DiscardHandler), Evacuations: store, Quarantine: &fakeQuarantineStore{}})
	store.down = true
	if err := s.startTerm(t.Context(), 2); err == nil || s.mu.term != 0 {
		t.Fatalf("term %d began without the evacuations, error %v", s.mu.term, err)
	}
	store.down = false
	for term, want := range map[uint64]string{2: "a", 4: "b"} {
		if err := s.startTerm(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
		store.set("dc1", want == "a")
		store.set("dc2", want == "b")
		if err := s.startTerm(t.Context(), term); err != nil {
			t.Fatal(err)
		}
		s.setList(term, twoDataCentres(), 0, nil)
		if got := evacuatedEndpoints(s); len(got) != 1 || !got[want] {
			t.Fatalf("term %d: the first list has %v evacuated, want %s", term, got, want)
		}
	}
}

// Guards against a new leader that trusts its first list although an evacuation ended a
// moment ago, and against one that limits endpoints because of one that ended long ago.
func TestNewLeaderKnowsThatAnEvacuationEndedLately(t *testing.T) {
	for age, want := range map[time.Duration]int{evacuationListDelay - time.Millisecond: 1, evacuationListDelay: 0} {
		store := &fakeEvacuationStore{version: 2, now: 10_000 + uint64(age.Milliseconds())}
		store.records = []*statev1.EvacuationRecord{{DataCentre: "a", ChangedMs: 10_000}}
		s := New(Config{Metrics: noMetrics{}, Log: slog.New(slog.DiscardHandler), Evacuations: store, Quarantine: &fakeQuarantineStore{}})
		s.mu.index = catalog.NewIndex(&catalog.Catalog{Services: []catalog.Service{*warmUpService("slow")}})
		if err := s.startTerm(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
		s.setList(1, []Endpoint{slowEndpoint("e1", 0)}, 0, nil)
		if got := s.mu.warmUps.Count(); got != want {
			t.Errorf("%v after the end: %d endpoints warm up, want %d", age, got, want)
		}
	}
}

// Guards against an evacuation that waits for the interval between two versions of the
// list, that the next list of the platform reverts, and that is published again and again.
func TestEvacuationIsPublishedAtOnceAndStays(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		store := &fakeEvacuationStore{}
		s := New(Config{Log: slog.New(slog.DiscardHandler), Evacuations: store, Quarantine: &fakeQuarantineStore{}})
		if err := s.startTerm(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
		s.setList(1, twoDataCentres(), 0, nil)
		s.mu.Lock()
		s.mu.watchers.count = 100_000 // so that other changes wait
		s.schedulePublishLocked()
		s.mu.Unlock()
		store.set("dc2", true)
		s.updateEvacuations(t.Context())
		if got := evacuatedEndpoints(s); len(got) != 1 || !got["b"] {
			t.Fatalf("evacuated %v, want b", got)
		}
		version := s.mu.published.version
		for range 3 {
			s.setList(1, twoDataCentres(), 0, nil)
			s.updateEvacuations(t.Context())
		}
		if got := evacuatedEndpoints(s); len(got) != 1 || !got["b"] || s.mu.published.version != version {
			t.Fatalf("evacuated %v at version %d after %d, want b", got, s.mu.published.version, version)
		}
		store.set("dc2", false)
		s.updateEvacuations(t.Context())
		if got := evacuatedEndpoints(s); len(got) != 0 {
			t.Fatalf("evacuated %v after the end", got)
		}
		time.Sleep(200 * time.Second)
		synctest.Wait()
	})
}

// Guards against an evacuated engine that gets orders or counts as a replica, and against
// models that count too late once the evacuation has ended.
func TestEvacuatedEngineIsNoReplica(t *testing.T) {
	s := testService(4)
	p, now := newPlannerWith(s, []string{"m0", "m1"}, []string{"m0"})
	list := []Endpoint{{ID: "a", Service: "s", Address: "a", Slots: 8}, {ID: "b", Service: "s", Address: "b", Slots: 8}}
	p.RequestModel(now, "m3", "")
	if got := p.Plan(now, s); len(got) != 1 || got[0].Engine.ID != "b" {
		t.Fatalf("decisions: %+v", got)
	}
	p, now = newPlannerWith(s, []string{"m0", "m1"}, []string{"m0"})
	p.engines["a"].draining["m1"], p.engines["a"].replacement = now, "m3"
	list[0].Evacuated = true
	p.SetEndpoints(list)
	p.RequestModel(now, "m1", "")
	p.RequestModel(now, "m0", "")
	got := p.Plan(now+drainDelay, s)
	if len(got) != 1 || got[0].Engine.ID != "b" || got[0].Order.Model != "m1" {
		t.Fatalf("decisions while a is evacuated: %+v, want the load of m1 on b", got)
	}
	if d, on := p.PlanAdapter(now, s, "m1", "x", ""); d != nil || on != "" {
		t.Fatalf("adapter order %+v, loaded on %q", d, on)
	}
	list[0].Evacuated = false
	p.SetEndpoints(list)
	p.RecordReport(now, now, "a", Report{Models: []Resident{{Model: "m0"}, {Model: "m1"}}})
	if e := p.engines["a"]; !e.serves("m0") || !e.serves("m1") || e.replacement != "" {
		t.Fatalf("after the evacuation: %+v", e)
	}
	if d, _ := p.PlanAdapter(now, s, "m1", "x", ""); d == nil || d.Engine.ID != "a" {
		t.Fatalf("adapter order after the evacuation: %+v", d)
	}
}

// frozenLeadership is the control role of a leader that was frozen: it does not know yet
// whether another VM leads.
type frozenLeadership struct {
	fakeLeadership
	confirms bool
}

func (f *frozenLeadership) Leading(context.Context) (uint64, bool) { return 1, true }

func (f *frozenLeadership) ConfirmOwnership(context.Context) (uint64, error) {
	if !f.confirms {
		return 0, notLeading()
	}
	return 1, nil
}

// Guards against a leader that was frozen, and replaced meanwhile, which sends its list
// without a later evacuation to control VMs and entries that have none yet.
func TestFrozenLeaderSendsNoListBeforeAQuorumConfirms(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		role := &frozenLeadership{}
		s := New(Config{Log: slog.New(slog.DiscardHandler), Leadership: role, Evacuations: &fakeEvacuationStore{}, Quarantine: &fakeQuarantineStore{}})
		time.Sleep(time.Millisecond)
		if err := s.startTerm(t.Context(), 1); err != nil || !s.stillLeads(t.Context()) {
			t.Fatalf("the term did not begin: %v", err)
		}
		s.setList(1, twoDataCentres(), 0, nil)
		answers := func() bool {
			out, err := s.Follow(t.Context(), newRelayState().takeReport(s.now(), "c", 0))
			if err != nil {
				t.Fatal(err)
			}
			return !out.GetNotLeading()
		}
		if !answers() {
			t.Fatal("the leader does not answer")
		}
		time.Sleep(frozenTime)
		if answers() || s.stillLeads(t.Context()) || answers() {
			t.Fatal("the leader answers after a freeze before a quorum confirmed it")
		}
		role.confirms = true
		if !s.stillLeads(t.Context()) || !answers() {
			t.Fatal("the leader does not answer after a quorum confirmed it")
		}
	})
}

// Guards against a new leader that replaces the list of entries before all control VMs
// have reported theirs: the entries that it lacks would add their shares of a warming
// endpoint's rate to those of the others.
func TestNewLeaderLeavesTheListOfEntriesForAWhile(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s := New(Config{Log: slog.New(slog.DiscardHandler)})
		s.setTermLocked(2)
		peers := func(vm string, known uint64) []string {
			entries := &peerv1.WatchingEntries{Version: 1, Entries: []*peerv1.WatchingEntry{{Vm: "entry-" + vm, LoadAddress: vm}}}
			out, err := s.Follow(t.Context(), &peerv1.FollowRequest{Vm: vm, PeersVersion: known, Entries: entries})
			if err != nil {
				t.Fatal(err)
			}
			return out.GetPeers()
		}
		const earlier = 1<<32 + 7
		if got := peers("a", earlier); got != nil {
			t.Errorf("list of entries right after the election: %v", got)
		}
		if got := peers("b", 0); !slices.Equal(got, []string{"a", "b"}) {
			t.Errorf("list of entries for a control VM without one: %v", got)
		}
		time.Sleep(peersDelay)
		if got := peers("c", earlier); !slices.Equal(got, []string{"a", "b", "c"}) {
			t.Errorf("list of entries after the delay: %v", got)
		}
	})
}
