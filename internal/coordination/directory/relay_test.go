package directory

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/virtualtime"
)

// fakeLeadership is the control role of a follower. applied is the version of its
// catalog.
type fakeLeadership struct{ applied uint64 }

func (f *fakeLeadership) Leading(context.Context) (uint64, bool) { return 0, false }

func (f *fakeLeadership) ConfirmOwnership(context.Context) (uint64, error) { return 0, notLeading() }

func (f *fakeLeadership) StreamRoutesChanged(context.Context) (uint64, time.Duration, error) {
	return 0, 0, nil
}

func (f *fakeLeadership) Catalog(context.Context) (*statev1.Catalog, []*statev1.Member, error) {
	return &statev1.Catalog{Version: f.applied}, nil, nil
}

func (f *fakeLeadership) Leader(context.Context) (string, []*statev1.Member, error) {
	return "leader", nil, nil
}

func (f *fakeLeadership) CatalogChanged(version uint64) <-chan struct{} {
	c := make(chan struct{})
	if f.applied > version {
		close(c)
	}
	return c
}

// fakeLeader answers Follow calls at once, or not at all while it is silent.
type fakeLeader struct {
	silent   bool
	response *peerv1.FollowResponse
	requests []*peerv1.FollowRequest
}

func (f *fakeLeader) Follow(_ context.Context, _ string, r *peerv1.FollowRequest) (*peerv1.FollowResponse, error) {
	f.requests = append(f.requests, r)
	if f.silent {
		return nil, resultcode.New(resultcode.NoLeader, "timed out")
	}
	return f.response, nil
}

func newTestRelay(l *fakeLeadership, f *fakeLeader) *Relay {
	return NewRelay(RelayConfig{Leadership: l, Follower: f, VM: "control", Address: "here", Log: slog.New(slog.DiscardHandler)}, nil)
}

func watchRequest(entry string) *peerv1.WatchRequest {
	return &peerv1.WatchRequest{Entry: &statev1.Session{Vm: entry}, HoldMs: 100, LoadAddress: entry + ":1"}
}

func watch(t *testing.T, r *Relay, in *peerv1.WatchRequest) *peerv1.WatchResponse {
	t.Helper()
	out, err := r.Watch(t.Context(), in)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against a control VM that serves entries from an old copy while it is cut
// off from the leader: its entries would not learn of leaving endpoints and
// withdrawn keys, although other control VMs know them.
func TestRelayWithoutLeaderSendsEntriesElsewhere(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		leader := &fakeLeader{response: &peerv1.FollowResponse{Epoch: 3, EndpointsVersion: 1, LiveEntries: 1, Packed: packed(t, "a")}}
		r := newTestRelay(&fakeLeadership{}, leader)
		if out := watch(t, r, watchRequest("e")); !out.GetNotLeading() {
			t.Fatal("a control VM that never reached the leader answered an entry")
		}
		r.follow(t.Context())
		if out := watch(t, r, watchRequest("e")); out.GetNotLeading() || out.GetEpoch() != 3 || out.GetLeader() != "leader" {
			t.Fatalf("response right after the leader's: %v", out)
		}
		leader.silent = true
		time.Sleep(maxRelayAge + time.Millisecond)
		r.follow(t.Context())
		if out := watch(t, r, watchRequest("e")); !out.GetNotLeading() || out.GetEpoch() != 0 {
			t.Fatalf("response %v after the leader fell silent: %v", maxRelayAge, out)
		}
		leader.silent = false
		r.follow(t.Context())
		if out := watch(t, r, watchRequest("e")); out.GetNotLeading() {
			t.Fatal("the control VM reached the leader again, but refused the entry")
		}
	})
}

// Guards against a control VM with a stalled disk: it hears from the leader, but
// does not apply the catalog in which a key was withdrawn.
func TestRelayWithOldCatalogSendsEntriesElsewhere(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		leadership := &fakeLeadership{applied: 6}
		leader := &fakeLeader{response: &peerv1.FollowResponse{Epoch: 3, EndpointsVersion: 1, CatalogVersion: 7, Packed: packed(t)}}
		r := newTestRelay(leadership, leader)
		in := watchRequest("e")
		in.CatalogVersion = 6
		r.follow(t.Context())
		if out := watch(t, r, in); out.GetNotLeading() {
			t.Fatal("refused at once, though the catalog may just be on its way")
		}
		time.Sleep(maxCatalogLag + time.Millisecond)
		r.follow(t.Context())
		if out := watch(t, r, in); !out.GetNotLeading() {
			t.Fatalf("an entry is still served from an old catalog after %v", maxCatalogLag)
		}
		leadership.applied = 7
		r.follow(t.Context())
		if out := watch(t, r, in); out.GetCatalog().GetVersion() != 7 {
			t.Fatalf("response after the catalog was applied: %v", out)
		}
	})
}

func packed(t *testing.T, ids ...string) []byte {
	t.Helper()
	l := newEndpointList()
	for _, id := range ids {
		l.set(&peerv1.DirectoryEndpoint{Id: id})
	}
	p, err := l.pack()
	if err != nil {
		t.Fatal(err)
	}
	return p.data
}

// Guards against an endpoint that left and comes back to an entry, which changes from
// a control VM that knows of it to one that does not know yet.
func TestEntryNeverGetsOlderList(t *testing.T) {
	r := newRelayState()
	if _, err := r.apply(0, 0, &peerv1.FollowResponse{Epoch: 3, EndpointsVersion: 5, Packed: packed(t, "gone")}); err != nil {
		t.Fatal(err)
	}
	for _, has := range []*peerv1.WatchRequest{{Epoch: 3, EndpointsVersion: 6}, {Epoch: 4, EndpointsVersion: 1}} {
		out, err := r.respond(0, has)
		if err != nil {
			t.Fatal(err)
		}
		if !out.GetBehind() || out.GetEpoch() != 0 || out.GetPacked() != nil || len(out.GetEndpoints()) > 0 {
			t.Fatalf("an entry with epoch %d version %d got %v", has.GetEpoch(), has.GetEndpointsVersion(), out)
		}
	}
	// The answer of a former leader arrives after that of its successor.
	if _, err := r.apply(0, 0, &peerv1.FollowResponse{Epoch: 2, EndpointsVersion: 9, Packed: packed(t, "older")}); err != nil {
		t.Fatal(err)
	}
	if r.list.epoch != 3 || r.list.endpoints["older"] != nil {
		t.Fatalf("the list of an earlier leader replaced that of epoch 3: epoch %d", r.list.epoch)
	}
}

// Guards against reports of entries that are lost with a call to the leader: tokens
// that were spent would not be charged.
func TestReportsOutliveFailedCalls(t *testing.T) {
	leader := &fakeLeader{silent: true, response: &peerv1.FollowResponse{}}
	r := newTestRelay(&fakeLeadership{}, leader)
	in := watchRequest("e")
	in.Usage = []*peerv1.CustomerUsage{{Customer: "c", Tokens: 50, Spent: 40}}
	in.Demand = []*peerv1.ModelDemand{{Model: "m", Requests: 2, Tokens: 70, Waiting: 1}}
	r.mu.state.record(0, in)
	r.follow(t.Context())
	leader.silent = false
	r.follow(t.Context())
	got := leader.requests[1]
	if len(got.GetCustomers()) != 1 || got.GetCustomers()[0].GetSpent() != 40 || got.GetCustomers()[0].GetDemand() != 50 {
		t.Errorf("usage in the second call: %v", got.GetCustomers())
	}
	if len(got.GetDemand()) != 1 || got.GetDemand()[0].GetRequests() != 2 || got.GetDemand()[0].GetWaiting() != 1 {
		t.Errorf("demand in the second call: %v", got.GetDemand())
	}
	if len(got.GetEntries().GetEntries()) != 1 {
		t.Errorf("entries in the second call: %v", got.GetEntries())
	}
	r.follow(t.Context())
	if next := leader.requests[2]; next.GetCustomers()[0].GetSpent() != 0 {
		t.Errorf("the third call repeats what was reported: %v", next)
	}
}

// Guards against a broker list and shares that count an entry twice, or drop it, when
// it changes from one control VM to another.
func TestEntryOfTwoControlVMsCountsOnce(t *testing.T) {
	w := newWatchers()
	w.set("c1", 1, map[string]string{"e1": "e1:1", "e2": "e2:1"})
	w.set("c2", 1, map[string]string{"e2": "e2:1", "e3": "e3:1"})
	if list, _ := w.list(time.Second); w.count != 3 || fmt.Sprint(list) != "[e1:1 e2:1 e3:1]" {
		t.Fatalf("%d entries at %v", w.count, list)
	}
	if moved := fmt.Sprint(w.moved("c1"), w.moved("c2")); moved != "[e2] []" {
		t.Fatalf("entries that moved away: %s, want e2 from c1", moved)
	}
	w.set("c1", 2, map[string]string{"e1": "e1:1"}) // c1 noticed that e2 no longer calls
	w.set("c1", 3, map[string]string{"e1": "e1:1", "e2": "e2:1"})
	w.remove("c1")
	if moved := w.moved("c2"); len(moved) > 0 {
		t.Fatalf("%v moved away from c2 to a control VM that was lost", moved)
	}
	if list, _ := w.list(2 * time.Second); w.count != 2 || fmt.Sprint(list) != "[e2:1 e3:1]" {
		t.Fatalf("%d entries at %v after a control VM was lost", w.count, list)
	}
}

// Guards against a leader whose work grows with the number of entries: when 174 of 291
// entries restarted at the same moment, their calls took all of its processor, its
// reads timed out, it lost the leadership twice within 20 s, and models that callers
// asked for were never loaded.
func TestCallsToTheLeaderDoNotGrowWithEntries(t *testing.T) {
	const entries, duration = 300, 3 * time.Second
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), duration)
		defer cancel()
		leader := &changingLeader{}
		r := NewRelay(RelayConfig{Leadership: &fakeLeadership{}, Follower: leader, VM: "control", Log: slog.New(slog.DiscardHandler)}, nil)
		go r.Run(ctx)
		responses := make([]int, entries)
		for i := range entries {
			go func() {
				in := watchRequest(fmt.Sprint(i))
				for ctx.Err() == nil {
					out, err := r.Watch(ctx, in)
					if err != nil {
						return
					}
					if out.GetEpoch() != 0 {
						in.Epoch, in.EndpointsVersion = out.GetEpoch(), out.GetEndpointsVersion()
						responses[i]++
					}
				}
			}()
		}
		<-ctx.Done()
		synctest.Wait()
		if limit := int(duration/followInterval) + 1; leader.calls > limit || leader.calls < limit/4 {
			t.Errorf("%d calls to the leader in %v, want at most %d and not many fewer", leader.calls, duration, limit)
		}
		for i, n := range responses {
			if n < leader.calls/2 {
				t.Errorf("entry %d got %d of %d versions", i, n, leader.calls)
			}
		}
	})
}

// changingLeader has a new version of the list at each call.
type changingLeader struct{ calls int }

func (l *changingLeader) Follow(_ context.Context, _ string, r *peerv1.FollowRequest) (*peerv1.FollowResponse, error) {
	l.calls++
	if r.GetEpoch() == 0 {
		list := newEndpointList()
		p, err := list.pack()
		return &peerv1.FollowResponse{Epoch: 1, EndpointsVersion: 1, Packed: p.data}, err
	}
	e := &peerv1.DirectoryEndpoint{Id: "e", KvTotal: uint64(l.calls)}
	return &peerv1.FollowResponse{Epoch: 1, EndpointsVersion: uint64(l.calls), Partial: true, Endpoints: []*peerv1.DirectoryEndpoint{e}}, nil
}

// Guards against tokens that are spent twice: while a report is on its way to the
// leader, what it contains is neither in the leader's last levels nor in the next
// report.
func TestSpentTokensCountWhileReported(t *testing.T) {
	s := NewShares()
	s.RecordUsage(0, "e", nil)
	s.SetLevels(0, 1, []Level{{Customer: "c", Rate: 1, Burst: 100, Tokens: 100}})
	s.RecordUsage(0, "e", map[string]Usage{"c": {Requested: 80, Spent: 80}})
	if got := s.ForEntry(0, "e")["c"].Level; got > 20 {
		t.Errorf("%.0f of 20 tokens may be spent before the report", got)
	}
	s.TakeReport()
	if got := s.ForEntry(0, "e")["c"].Level; got > 20 {
		t.Errorf("%.0f of 20 tokens may be spent while the report is on its way", got)
	}
	s.ReturnReport()
	if got := s.ForEntry(0, "e")["c"].Level; got > 20 {
		t.Errorf("%.0f of 20 tokens may be spent after the report failed", got)
	}
	s.TakeReport()
	s.SetLevels(0, 1, []Level{{Customer: "c", Rate: 1, Burst: 100, Tokens: 20}})
	if got := s.ForEntry(0, "e")["c"].Level; got != 20 {
		t.Errorf("%.0f tokens may be spent after the leader's answer, want 20", got)
	}
}

// Guards against a control VM that reports entries for ever which no longer call it:
// the leader would count them, and others would choose them as brokers.
func TestEntriesOfAnIdleRelayTimeOut(t *testing.T) {
	r := newRelayState()
	r.record(0, watchRequest("e"))
	if set := r.takeReport(time.Second, "control", 0).GetEntries(); len(set.GetEntries()) != 1 {
		t.Fatalf("entries in the report: %v", set)
	}
	set := r.takeReport(entryTimeout+time.Second, "control", 0).GetEntries()
	if set == nil || len(set.GetEntries()) != 0 {
		t.Fatalf("entries in the report after no call for %v: %v", entryTimeout+time.Second, set)
	}
}

// Guards against a customer's rate that shrinks while entries change from one control
// VM to another: the former one would count their demand for entryTimeout more, and
// each entry would get about half of its share.
func TestDemandOfMovedEntryCountsOnce(t *testing.T) {
	former := newRelayState()
	in := watchRequest("e")
	in.Usage = []*peerv1.CustomerUsage{{Customer: "c", Tokens: 50, Spent: 40}}
	former.record(0, in)
	if _, err := former.apply(0, 0, &peerv1.FollowResponse{Moved: []string{"e"}}); err != nil {
		t.Fatal(err)
	}
	report := former.takeReport(0, "control", 0)
	if c := report.GetCustomers(); len(c) != 1 || c[0].GetDemand() != 0 || c[0].GetSpent() != 40 {
		t.Errorf("customers in the report after the entry moved: %v; want what it spent and no demand", c)
	}
	if set := report.GetEntries(); set == nil || len(set.GetEntries()) != 0 {
		t.Errorf("entries in the report after the entry moved: %v", set)
	}
}

// Guards against a control VM that counts as up to date although it could not apply
// the leader's list.
func TestUnreadableListIsNotConfirmed(t *testing.T) {
	r := newRelayState()
	if _, err := r.apply(0, 0, &peerv1.FollowResponse{Epoch: 3, EndpointsVersion: 1, Packed: []byte("no list")}); err == nil {
		t.Fatal("a list that cannot be read was applied")
	}
	if r.fresh(0) {
		t.Error("the copy counts as recent without the list")
	}
}
