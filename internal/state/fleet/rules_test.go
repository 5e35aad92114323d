package fleet

import (
	"fmt"
	"testing"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

func at(ms uint64, c *statev1.Command) *statev1.Command {
	c.FleetTimeMs = ms
	return c
}

func syncCommand(e *statev1.EntrySync) *statev1.Command {
	return &statev1.Command{Op: &statev1.Command_SyncBatch{SyncBatch: &statev1.SyncBatch{Entries: []*statev1.EntrySync{e}}}}
}

func syncWanting(seq, want uint64) *statev1.EntrySync {
	return &statev1.EntrySync{
		Session: &statev1.Session{Vm: "vm", Incarnation: "1"}, Seq: seq,
		Usage: []*statev1.TokenUsage{{Customer: "acme", Want: want}},
	}
}

func beginClaim(key, attempt string) *statev1.Command {
	return &statev1.Command{Op: &statev1.Command_ClaimBegin{ClaimBegin: &statev1.ClaimBegin{
		Key: &statev1.ClaimKey{Customer: "acme", Route: "r", IdempotencyKey: key}, Attempt: attempt,
		Session: &statev1.Session{Vm: "vm", Incarnation: "1"},
	}}}
}

// Guards against sessions and leases that do not expire, a late sync that revives
// an ended session, and a claim that is granted again after its session ended.
func TestSessionsLeasesAndClaimsEnd(t *testing.T) {
	m := New()
	m.Apply(1, replace("", 0, document()))
	first := m.Apply(2, at(1000, syncCommand(syncWanting(1, 2000)))).GetSyncs()[0]
	if g := first.GetGrants()[0]; g.GetGranted() != 2000 || g.GetOutstanding() != 2000 {
		t.Fatalf("grant %v, want 2000 tokens granted and outstanding", g)
	}
	if r := m.Apply(3, beginClaim("k", "a1")); r.GetClaim().GetState() != statev1.ClaimState_CLAIM_STATE_GRANTED {
		t.Fatalf("claim in a live session: got %v", r)
	}
	m.Apply(4, at(5999, &statev1.Command{Op: &statev1.Command_Stamp{Stamp: &statev1.Stamp{}}}))
	if _, outstanding := m.Balance("acme"); outstanding != 2000 {
		t.Fatalf("%d tokens outstanding before the lease expired, want 2000", outstanding)
	}
	m.Apply(5, at(6000, &statev1.Command{Op: &statev1.Command_Stamp{Stamp: &statev1.Stamp{}}}))
	if level, outstanding := m.Balance("acme"); outstanding != 0 || level != 3000 {
		t.Fatalf("level %d, outstanding %d after the lease expired, want 3000 and 0 (written off)", level, outstanding)
	}
	m = restored(t, m)
	m.Apply(6, at(11_000, &statev1.Command{Op: &statev1.Command_Stamp{Stamp: &statev1.Stamp{}}}))
	if n := m.LiveSessions(); n != 0 {
		t.Fatalf("%d live sessions after 10 s without a sync", n)
	}
	for _, seq := range []uint64{1, 2} {
		if r := m.Apply(7, syncCommand(syncWanting(seq, 1))).GetSyncs()[0]; !r.GetSessionEnded() {
			t.Fatalf("late sync of an ended session: got %v", r)
		}
	}
	if r := m.Apply(8, beginClaim("k", "a2")); r.GetCode() != uint32(resultcode.ClaimMayHaveRun) {
		t.Fatalf("claim of an ended session: got %v", r)
	}
	if r := m.Apply(9, beginClaim("k2", "a3")); r.GetCode() != uint32(resultcode.ClaimUnavailable) {
		t.Fatalf("claim without a live session: got %v", r)
	}
	if m.Apply(10, at(5, &statev1.Command{})); m.FleetTime() != 11_000 {
		t.Fatalf("fleet time went back to %d", m.FleetTime())
	}
}

// Guards against a closed session whose unspent tokens are not returned to the
// customer's account.
func TestClosingReturnsLeases(t *testing.T) {
	m := New()
	m.Apply(1, replace("", 0, document()))
	m.Apply(2, syncCommand(syncWanting(1, 2000)))
	closing := syncWanting(2, 0)
	closing.Usage[0].Charged = 500
	closing.Closing = true
	m.Apply(3, syncCommand(closing))
	if level, outstanding := m.Balance("acme"); level != 4500 || outstanding != 0 || m.LiveSessions() != 0 {
		t.Fatalf("level %d, outstanding %d, %d live sessions after closing", level, outstanding, m.LiveSessions())
	}
}

// Guards against requests that are counted as running alone during a crash although
// another one ran too, and against suspicions that never expire.
func TestSuspects(t *testing.T) {
	m := New()
	report := func(crash string, prints ...string) {
		r := &statev1.SuspectReport{Endpoint: "e1", Crash: crash}
		for _, p := range prints {
			r.Fingerprints = append(r.Fingerprints, []byte(p))
		}
		m.Apply(1, &statev1.Command{Op: &statev1.Command_SuspectReport{SuspectReport: r}})
	}
	report("c1", "p")
	report("c1", "p")
	report("c2", "p")
	report("c3", "q")
	report("c3", "r")
	m = restored(t, m)
	version, list := m.Suspects()
	got := map[string]string{}
	for _, s := range list {
		got[string(s.GetFingerprint())] = fmt.Sprint(s.GetAlone(), s.GetInCompany())
	}
	if fmt.Sprint(got) != "map[p:2 0 q:0 1 r:0 1]" || version != 4 {
		t.Fatalf("suspects %v, version %d", got, version)
	}
	m.Apply(2, at(suspicionMs, &statev1.Command{}))
	if version, list := m.Suspects(); len(list) != 0 || version != 5 {
		t.Fatalf("%d suspects after their expiry, version %d", len(list), version)
	}
}

// Guards against a beginning of prompts that is blamed for repeats of one request, that
// counts as alone although another request ran, or that stays suspected after a request
// with it completed.
func TestBeginningsOfPromptsAreSuspects(t *testing.T) {
	m := New()
	report := func(crash, request string, beginnings ...string) {
		r := &statev1.SuspectReport{Endpoint: "e1", Crash: crash, Fingerprints: [][]byte{[]byte(request)}}
		for _, b := range beginnings {
			r.Beginnings = append(r.Beginnings, []byte(b))
		}
		m.Apply(1, &statev1.Command{Op: &statev1.Command_SuspectReport{SuspectReport: r}})
	}
	check := func(want string) {
		t.Helper()
		_, list := m.Suspects()
		got := map[string]string{}
		for _, s := range list {
			got[string(s.GetFingerprint())] = fmt.Sprint(s.GetAlone(), s.GetInCompany())
		}
		if fmt.Sprint(got) != want {
			t.Fatalf("suspects %v, want %v", got, want)
		}
	}
	report("c1", "p", "x")
	report("c2", "p", "x")
	check("map[p:2 0 x:1 0]")
	report("c3", "q", "x", "y")
	check("map[p:2 0 q:1 0 x:2 0 y:1 0]")
	report("c3", "r", "z")
	m = restored(t, m)
	check("map[p:2 0 q:0 1 r:0 1 x:1 1 y:0 1 z:0 1]")
	report("c2", "s")
	check("map[p:1 1 q:0 1 r:0 1 s:0 1 x:1 1 y:0 1 z:0 1]")
	version, _ := m.Suspects()
	m.Apply(2, &statev1.Command{Op: &statev1.Command_SuspectsCleared{SuspectsCleared: &statev1.SuspectsCleared{Fingerprints: [][]byte{[]byte("x"), []byte("unknown")}}}})
	check("map[p:1 1 q:0 1 r:0 1 s:0 1 y:0 1 z:0 1]")
	if after, _ := m.Suspects(); after != version+1 {
		t.Fatalf("version %d after the beginning was cleared, want %d", after, version+1)
	}
}

// Guards against a malformed report that stops every control VM.
func TestReportWithoutRequestsIsIgnored(t *testing.T) {
	m := New()
	m.Apply(1, &statev1.Command{Op: &statev1.Command_SuspectReport{SuspectReport: &statev1.SuspectReport{Endpoint: "e1", Crash: "c1", Beginnings: [][]byte{[]byte("x")}}}})
	if _, list := m.Suspects(); len(list) != 0 {
		t.Fatalf("suspects %v", list)
	}
}

// Guards against an unbounded history or unbounded request results, and against
// deltas from versions that are no longer in the history.
func TestHistoryAndRequestsAreBounded(t *testing.T) {
	m := New()
	m.Apply(1, replace("r0", 0, document()))
	for i := range maxRequests {
		m.Apply(2, upsert(fmt.Sprint("s", i), 99_999, false, nil))
	}
	if r := m.Apply(3, replace("r0", 0, document())); r.GetCode() != uint32(resultcode.ConfigConflict) {
		t.Fatalf("request older than the last %d: got %v", maxRequests, r)
	}
	if r := m.Apply(4, upsert("s9999", 1, false, nil)); r.GetIndex() != 2 {
		t.Fatalf("last request repeated: got %v", r)
	}
	for i := range maxVersions {
		m.Apply(5, upsert("", 0, true, &statev1.Config{Customers: []*statev1.Customer{{Name: "acme", RateTokensPerSecond: uint64(i + 1), BurstTokens: 1}}}))
	}
	if m.DeltaSince(1).GetFull() == nil || m.DeltaSince(2).GetFull() != nil || len(m.History(0)) != maxVersions {
		t.Fatalf("%d versions; delta from 1: %v", len(m.History(0)), m.DeltaSince(1))
	}
	expect(t, m.Apply(6, rollbackTo("", maxVersions+1, 1)), resultcode.VersionUnknown, maxVersions+1)
	expect(t, restored(t, m).Apply(6, rollbackTo("", maxVersions+1, 2)), resultcode.OK, maxVersions+2)
}

// Guards against orders of a replaced owner, orders to engines that have not
// reported their models, ignoring the memory of pinned models, and unloading a
// pinned model.
func TestOrdersFollowTheConfiguration(t *testing.T) {
	m := New()
	d := document()
	d.Endpoints[0].PinnedModels = []string{"m3"}
	m.Apply(1, replace("", 0, d))
	m.Apply(2, &statev1.Command{Op: &statev1.Command_TakeOwnership{TakeOwnership: &statev1.TakeOwnership{Owner: 1}}})
	order := func(token uint64, kind statev1.OrderKind, model string, memory uint64) resultcode.Code {
		r := m.Apply(3, &statev1.Command{Op: &statev1.Command_OrderIssue{OrderIssue: &statev1.OrderIssue{FencingToken: token, Endpoint: "e1", Kind: kind, Model: model, MemoryMb: memory}}})
		return resultcode.Code(r.GetCode())
	}
	const load, unload = statev1.OrderKind_ORDER_KIND_LOAD_MODEL, statev1.OrderKind_ORDER_KIND_UNLOAD_MODEL
	steps := []struct {
		got  func() resultcode.Code
		want resultcode.Code
	}{
		{func() resultcode.Code { return order(1, load, "m1", 30) }, resultcode.FencingTokenOld},
		{func() resultcode.Code { return order(2, load, "m1", 30) }, resultcode.MemoryOvercommitted},
		{func() resultcode.Code {
			return resultcode.Code(m.Apply(4, &statev1.Command{Op: &statev1.Command_EndpointObserved{EndpointObserved: &statev1.EndpointObserved{FencingToken: 2, Endpoint: "e1"}}}).GetCode())
		}, resultcode.OK},
		{func() resultcode.Code { return order(2, load, "m1", 29) }, resultcode.BadRequest},
		{func() resultcode.Code { return order(2, load, "m1", 31) }, resultcode.OK},
		{func() resultcode.Code { return order(2, load, "m2", 30) }, resultcode.MemoryOvercommitted},
		{func() resultcode.Code { return order(2, load, "none", 30) }, resultcode.ResourceUnknown},
		{func() resultcode.Code { return order(2, unload, "m3", 0) }, resultcode.BadRequest},
		{func() resultcode.Code { return order(2, unload, "m1", 0) }, resultcode.OK},
	}
	for i, s := range steps {
		if got := s.got(); got != s.want {
			t.Errorf("step %d got %v, want %v", i, got, s.want)
		}
	}
}
