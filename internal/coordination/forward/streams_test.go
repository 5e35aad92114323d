package forward

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/coordination/pool"
)

// Guards against reports while a service has one version, and against streams that the
// leader does not learn of when a second one appears.
func TestStreamsAreReportedWhileVersionsDiffer(t *testing.T) {
	withLeader(t, &streamLeader{term: 1}, versionedEndpoints("v1", "v1"), func(t *testing.T, e *ledEntry) {
		begin := func(attempt string) {
			e.do("/resumed/x", map[string]string{"Id": attempt}, reply{status: 200, header: sealed(), body: firstEvent, length: -1})
		}
		begin("id-0")
		time.Sleep(time.Second)
		if e.leader.calls() != 0 {
			t.Errorf("%d calls while the service has one version, want none", e.leader.calls())
		}
		list := versionedEndpoints("v1", "v1", "v2")
		for i := range list {
			list[i].VersionsDiffer = true
		}
		e.server.SetEndpoints(list)
		begin("id-2")
		time.Sleep(time.Second)
		if got := e.leader.begun(); len(got) != 2 || got[streamOf("id-0")] != "v1" || got[streamOf("id-2")] == "" {
			t.Errorf("reported %v, want both streams", got)
		}
		calls := e.leader.calls()
		for i := range 100 {
			begin(fmt.Sprintf("id-%d", 3+i))
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		if n := e.leader.calls() - calls; n > 11 || len(e.leader.begun()) != 102 {
			t.Errorf("%d calls in a second for %d streams, want at most 11 and all 102", n, len(e.leader.begun()))
		}
		calls = e.leader.calls()
		time.Sleep(10 * time.Second)
		if n := e.leader.calls() - calls; n != 0 {
			t.Errorf("%d calls with nothing to report", n)
		}
	})
}

// Guards against streams that a new leader never learns of, and against the loss of a
// report that failed.
func TestStreamsAreReportedAgainToANewLeader(t *testing.T) {
	list := versionedEndpoints("v1", "v1")
	list[0].VersionsDiffer = true
	withLeader(t, &streamLeader{term: 1, fails: 3}, list, func(t *testing.T, e *ledEntry) {
		begin := func(attempt string) {
			e.do("/resumed/x", map[string]string{"Id": attempt}, reply{status: 200, header: sealed(), body: firstEvent, length: -1})
		}
		begin("id-0")
		time.Sleep(time.Second)
		e.leader.mu.Lock()
		e.leader.term, e.leader.requests = 2, nil
		e.leader.mu.Unlock()
		begin("id-2")
		time.Sleep(time.Second)
		if got := e.leader.begun(); len(got) != 2 || e.leader.calls() != 2 {
			t.Errorf("the new leader knows %v after %d calls, want both streams after 2", got, e.leader.calls())
		}
	})
}

// Guards against streams of which the leader does not learn although other entries cannot
// tell their service by the path: on a split route, after a route has moved, and at an
// entry that started after a route may have moved.
func TestStreamsOfUnclearServicesAreReported(t *testing.T) {
	begin := func(e *ledEntry, attempt string) {
		t.Helper()
		e.do("/resumed/x", map[string]string{"Id": attempt}, reply{status: 200, header: sealed(), body: firstEvent, length: -1})
		time.Sleep(time.Second)
	}
	want := func(e *ledEntry, attempts ...string) {
		t.Helper()
		got := e.leader.begun()
		for _, a := range attempts {
			if got[streamOf(a)] != "v1" {
				t.Errorf("stream %s is reported as %q, want v1", a, got[streamOf(a)])
			}
		}
		if len(got) != len(attempts) {
			t.Errorf("%d streams are reported, want %v", len(got), attempts)
		}
	}
	withLeader(t, &streamLeader{term: 1}, versionedEndpoints("v1", "v1"), func(_ *testing.T, e *ledEntry) {
		e.server.SetCatalog(catalogOf(2, resumableRoute("/resumed/", "models")))
		begin(e, "before")
		want(e)
		e.server.SetCatalog(catalogOf(3, resumableRoute("/resumed/", "models"), resumableRoute("/resumed/longer/", "other")))
		begin(e, "beside") // its path is clear here, but not to an entry that starts now
		want(e, "before", "beside")
		split := resumableRoute("/resumed/", "models", "other")
		split.Splits[1].Weight, split.Splits[0].Weight = 1, 1<<30
		e.server.SetCatalog(catalogOf(4, split))
		time.Sleep(2 * streamMemory)
		begin(e, "split")
		want(e, "before", "beside", "split")
		e.server.SetCatalog(catalogOf(5, resumableRoute("/resumed/", "models")))
		begin(e, "moved")
		want(e, "before", "beside", "split", "moved")
		time.Sleep(streamMemory)
		begin(e, "long after")
		want(e, "before", "beside", "split", "moved")
	})
	withLeader(t, &streamLeader{term: 1}, versionedEndpoints("v1", "v1"), func(_ *testing.T, e *ledEntry) {
		e.startLate()
		begin(e, "started late")
		want(e, "started late")
		time.Sleep(streamMemory)
		begin(e, "long after")
		want(e, "started late")
	})
}

// startLate makes the entry one that has just got its first catalog, after others may have
// been replaced.
func (e *ledEntry) startLate() {
	e.server.mu.Lock()
	e.server.mu.routeHistory = routeHistory{}
	e.server.mu.Unlock()
	e.server.SetCatalog(catalogOf(2, resumableRoute("/resumed/", "models")))
}

// forget makes the entry one that knows no stream, and the leader one that was not called.
func (e *ledEntry) forget() {
	e.server.mu.Lock()
	clear(e.server.mu.streams.byKey)
	e.server.mu.Unlock()
	e.leader.mu.Lock()
	e.leader.requests = nil
	e.leader.mu.Unlock()
	e.endpoints.mu.Lock()
	e.endpoints.replies = nil
	e.endpoints.mu.Unlock()
}

// watched passes the answer of a control VM to the entry that names the term of a leader.
func (e *ledEntry) watched(t *testing.T, term uint64) {
	t.Helper()
	if err := e.watcher.apply(e.server, "c", &peerv1.WatchResponse{Epoch: term, Partial: true}); err != nil {
		t.Fatal(err)
	}
}

// differingEndpoints returns two endpoints of a service that has several versions.
func differingEndpoints() []pool.Endpoint {
	list := versionedEndpoints("v1", "v1")
	list[0].VersionsDiffer, list[1].VersionsDiffer = true, true
	return list
}

// beginAt makes the entry hear of the leader of a term and begin the stream id-0.
func (e *ledEntry) beginAt(t *testing.T, term uint64) {
	t.Helper()
	e.watched(t, term)
	e.server.SetEndpoints(differingEndpoints())
	e.do("/resumed/x", map[string]string{"Id": "id-0"}, reply{status: 200, header: sealed(), body: firstEvent, length: -1})
	time.Sleep(time.Second)
}

// Guards against an entry that begins no streams, for example since it stops, and does not
// report those that it relays to a new leader.
func TestStreamsAreReportedToALeaderThatOnlyTheListNames(t *testing.T) {
	withLeader(t, &streamLeader{term: 1}, differingEndpoints(), func(t *testing.T, e *ledEntry) {
		e.beginAt(t, 1)
		newLeader := func(term uint64) {
			e.leader.mu.Lock()
			e.leader.term, e.leader.requests = term, nil
			e.leader.mu.Unlock()
			e.watched(t, term)
			e.server.SetEndpoints(differingEndpoints())
			time.Sleep(time.Second)
		}
		newLeader(2)
		if got := e.leader.begun(); got[streamOf("id-0")] != "v1" {
			t.Errorf("the new leader knows %v, want the stream", got)
		}
		newLeader(1) // an old list, from another control VM
		if n := e.leader.calls(); n != 0 {
			t.Errorf("%d calls after a list of an earlier leader, want none", n)
		}
	})
}

// Guards against a report that counts as made although only a leader of an earlier term
// has it.
func TestReportToAFormerLeaderIsRepeated(t *testing.T) {
	withLeader(t, &streamLeader{term: 1}, differingEndpoints(), func(t *testing.T, e *ledEntry) {
		e.beginAt(t, 2)
		e.leader.mu.Lock()
		e.leader.term, e.leader.requests = 2, nil
		e.leader.mu.Unlock()
		time.Sleep(time.Second)
		if got := e.leader.begun(); got[streamOf("id-0")] != "v1" {
			t.Errorf("the leader of the later term knows %v, want the stream", got)
		}
	})
}

// recordedStreams is a leader's record of streams, as their reports say.
type recordedStreams map[uint64]map[string]bool

func (r recordedStreams) apply(begun []*peerv1.BegunStream) {
	for _, b := range begun {
		if r[b.GetStream()] == nil {
			r[b.GetStream()] = map[string]bool{}
		}
		r[b.GetStream()][b.GetSoftwareVersion()] = true
	}
}

// Guards against a register that names another version than that at which all attempts of
// a stream began, that forgets to report a stream or a doubt, or that grows without
// bound, in any order of events.
func TestRegisterNeverNamesAWrongVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewStreamRegister()
		now := time.Duration(0)
		listed := map[string]string{"e1": "v1", "e2": "v2"}
		began := map[uint64][]*begunStream{} // the versions as of the begin
		truth := map[uint64]map[string]bool{}
		leader, term := recordedStreams{}, uint64(1)
		differ := map[string]bool{}
		version := func(id string) string { return listed[id] }
		report := func() {
			batch := r.TakeUnreported(now)
			if rapid.Bool().Draw(t, "lost") {
				r.NotReported(batch)
				return
			}
			leader.apply(encodeBegun(now, batch))
			r.Answered(term)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 8000).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0, 1:
				key := uint64(rapid.IntRange(0, 3).Draw(t, "stream"))
				endpoint := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "endpoint")
				unclear := rapid.Bool().Draw(t, "unclear")
				began[key] = append(began[key], r.Began(now, key, streamOrigin{"s", listed[endpoint]}, endpoint, unclear))
				if truth[key] == nil {
					truth[key] = map[string]bool{}
				}
				truth[key][listed[endpoint]] = true
			case 2:
				listed[rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "changed")] = rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version")
				confirmed := now - time.Duration(rapid.IntRange(0, 2000).Draw(t, "age"))*time.Millisecond
				r.SetEndpoints(confirmed, version, differ)
				for key, streams := range began {
					for _, b := range streams {
						if now-b.at <= versionLag && listed[b.endpoint] != b.origin.version && b.origin.version != "" {
							t.Fatalf("the stream that began %v ago counts as begun at %q; its endpoint has %q", now-b.at, b.origin.version, listed[b.endpoint])
						}
						if got, _ := r.Origin(now, key); now-b.at <= versionLag && b.origin.version == "" && got.version != "" {
							t.Fatalf("stream %d has the version %q although it is in doubt", key, got.version)
						}
					}
				}
			case 3:
				differ = map[string]bool{}
				if rapid.Bool().Draw(t, "differ") {
					differ["s"] = true
				}
				r.SetEndpoints(now, version, differ)
			case 4:
				report()
			case 5:
				term++
				leader = recordedStreams{}
			case 6:
				r.RoutesChanged()
			}
			for key, versions := range truth {
				origin, found := r.Origin(now, key)
				got := origin.version
				if key == 0 && found {
					t.Fatal("a stream without an identifier is known")
				}
				recent := map[string]bool{}
				for _, b := range began[key] {
					if now-b.at <= streamMemory {
						recent[b.origin.version] = true
					}
				}
				if got != "" && (!versions[got] || len(recent) > 1) {
					t.Fatalf("stream %d has the version %q, but began at %v", key, got, versions)
				}
			}
			if len(r.order) > maxStreams || len(r.byKey) > 3 {
				t.Fatalf("%d streams are kept", len(r.order))
			}
		}
		// The first answer may be that of a new leader, which the second report is for.
		for range 2 {
			batch := r.TakeUnreported(now)
			leader.apply(encodeBegun(now, batch))
			r.Answered(term)
		}
		for key := range r.byKey {
			needed := differ["s"] || r.byKey[key].serviceUnclear
			if want, found := r.Origin(now, key); needed && found && !leader[key][want.version] {
				t.Fatalf("stream %d has the version %q, which the leader does not know: %v", key, want.version, leader[key])
			}
		}
	})
}

// Guards against a register that keeps every stream of a busy minute.
func TestRegisterIsBounded(t *testing.T) {
	r := NewStreamRegister()
	r.SetEndpoints(0, func(string) string { return "" }, map[string]bool{"s": true})
	for i := range 2 * maxStreams {
		r.Began(time.Second, uint64(i+1), streamOrigin{"s", "v"}, "e", false)
	}
	if len(r.order) > maxStreams || len(r.byKey) > maxStreams {
		t.Errorf("%d streams are kept, want at most %d", len(r.byKey), maxStreams)
	}
	if _, found := r.Origin(time.Second+streamMemory+1, 2*maxStreams); found {
		t.Error("a stream is known after its time")
	}
}
