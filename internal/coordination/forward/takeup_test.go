package forward

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/coordination/pool"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

// takeUp is the header of a request that takes up the stream of the attempt id-0.
func takeUp() map[string]string { return map[string]string{"Resume": "1", "Resumes": "id-0"} }

func streamOf(attempt string) uint64 { return streamKey("h", attempt) }

// modelsAt is the origin of a stream that began at a version of the service models.
func modelsAt(version string) streamOrigin { return streamOrigin{"models", version} }

// Guards against a stream that its caller takes up and that goes on at another version
// than that which the leader names.
func TestStreamTakenUpGoesOnAtTheVersionThatTheLeaderNames(t *testing.T) {
	leader := &streamLeader{versions: map[uint64]string{streamOf("id-0"): "v1.1"}}
	withLeader(t, leader, versionedEndpoints("v1", "v2", "v1.1", "v1"), func(t *testing.T, e *ledEntry) {
		for range 8 {
			if status, code, _ := e.do("/resumed/x", takeUp(), restOfStream()); status != 200 {
				t.Fatalf("status %d, result %s", status, code)
			}
		}
		if sent := e.sentTo(); slices.ContainsFunc(sent, func(id string) bool { return id != "e3" }) {
			t.Errorf("sent to %v, want e3 only", sent)
		}
		if n := leader.calls(); n != 1 {
			t.Errorf("%d calls to the leader for one stream, want 1: the entry knows it then", n)
		}
	})
}

// Guards against a stream that its caller takes up at the entry which began it, and that
// goes on at another version or asks the leader for what the entry knows.
func TestEntryKnowsTheVersionOfItsStreams(t *testing.T) {
	leader := &streamLeader{}
	withLeader(t, leader, versionedEndpoints("v1", "v2", "v1", "v2"), func(t *testing.T, e *ledEntry) {
		e.do("/resumed/x", map[string]string{"Id": "id-0"}, reply{status: 200, header: sealed(), body: firstEvent, length: -1})
		for range 8 {
			if status, code, _ := e.do("/resumed/x", takeUp(), restOfStream()); status != 200 {
				t.Fatalf("status %d, result %s", status, code)
			}
		}
		odd := func(id string) bool { return id == "e1" || id == "e3" }
		for _, id := range e.sentTo() {
			if odd(id) != odd(e.sentTo()[0]) {
				t.Errorf("sent to %v", e.sentTo())
			}
		}
		if leader.calls() != 0 {
			t.Errorf("%d calls to the leader, want none", leader.calls())
		}
	})
}

// Guards against an attempt that takes up a stream and that counts as the begin of
// another one, at whose version the stream would go on.
func TestAttemptThatTakesUpAStreamBeginsNone(t *testing.T) {
	leader := &streamLeader{versions: map[uint64]string{streamOf("id-0"): "v1"}}
	withLeader(t, leader, versionedEndpoints("v1", "v2"), func(t *testing.T, e *ledEntry) {
		e.do("/resumed/x", takeUp(), restOfStream())
		if _, found := e.server.mu.streams.Origin(e.server.now(), streamOf("id-1")); found {
			t.Error("the attempt counts as a stream")
		}
		if v, _ := e.server.mu.streams.Origin(e.server.now(), streamOf("id-0")); v != modelsAt("v1") {
			t.Errorf("the stream began at %v, want v1", v)
		}
	})
}

// Guards against a request that takes up a stream and waits long for a leader that does
// not answer, or that is run although nobody knows the version.
func TestStreamIsRefusedInTimeWithoutLeader(t *testing.T) {
	for name, leader := range map[string]*streamLeader{
		"silent":     {delay: -1},
		"fails":      {fails: 1 << 20},
		"not in use": {versions: map[uint64]string{}},
	} {
		withLeader(t, leader, versionedEndpoints("v1", "v1"), func(t *testing.T, e *ledEntry) {
			var running sync.WaitGroup
			for range 50 {
				running.Go(func() {
					if status, code, took := e.do("/resumed/x", takeUp()); status != 503 || code != "4013" || took > lookupTimeout {
						t.Errorf("%s: status %d, result %s after %v", name, status, code, took)
					}
				})
				time.Sleep(7 * time.Millisecond)
			}
			running.Wait()
			if sent := e.sentTo(); len(sent) != 0 {
				t.Errorf("%s: sent to %v", name, sent)
			}
		})
	}
}

// Guards against a stream that is not continued because the leader was replaced while it
// was asked.
func TestNewLeaderIsAskedAgain(t *testing.T) {
	leader := &streamLeader{fails: 1, versions: map[uint64]string{streamOf("id-0"): "v1"}}
	withLeader(t, leader, versionedEndpoints("v1", "v2"), func(t *testing.T, e *ledEntry) {
		leader.failed = func() { e.watcher.controls.answered("c2") }
		if status, code, _ := e.do("/resumed/x", takeUp(), restOfStream()); status != 200 {
			t.Errorf("status %d, result %s", status, code)
		}
		if !slices.Equal(leader.addresses, []string{"c", "c2"}) {
			t.Errorf("called %v", leader.addresses)
		}
	})
}

// Guards against a caller that does not state the attempt which began its stream, and
// whose stream goes on at any version.
func TestCallerWithoutResumesIsAskedForByItsService(t *testing.T) {
	for _, version := range []string{"v1", ""} {
		leader := &streamLeader{only: map[string]string{"models": version}}
		withLeader(t, leader, versionedEndpoints("v2", "v1"), func(t *testing.T, e *ledEntry) {
			status, code, _ := e.do("/resumed/x", map[string]string{"Resume": "1"}, restOfStream())
			if served := status == 200 && slices.Equal(e.sentTo(), []string{"e2"}); served != (version != "") {
				t.Errorf("version %q: status %d, result %s, sent to %v", version, status, code, e.sentTo())
			}
			if q := leader.requests[0].GetQueries(); len(q) != 1 || q[0].GetService() != "models" {
				t.Errorf("queries %v", q)
			}
		})
	}
}

// Guards against a request that waits, or is run elsewhere, although no endpoint has the
// version of its stream any more.
func TestStreamOfAVersionThatNoLongerServesIsRefusedAtOnce(t *testing.T) {
	evacuated := versionedEndpoints("v1", "v2")
	evacuated[0].Evacuated = true
	leaving := versionedEndpoints("v1", "v2")
	leaving[0].Leaving = true
	for name, list := range map[string][]pool.Endpoint{
		"gone": versionedEndpoints("v2", "v2"), "evacuated": evacuated, "leaving": leaving,
	} {
		leader := &streamLeader{versions: map[uint64]string{streamOf("id-0"): "v1"}}
		withLeader(t, leader, list, func(t *testing.T, e *ledEntry) {
			status, code, took := e.do("/resumed/x", takeUp(), restOfStream())
			if status != 503 || code != "4013" || took > 2*pool.TickInterval || len(e.sentTo()) != 0 {
				t.Errorf("%s: status %d, result %s after %v, sent to %v", name, status, code, took, e.sentTo())
			}
			if len(e.server.mu.loading) != 0 {
				t.Errorf("%s: the leader is asked to load %v", name, e.server.mu.loading)
			}
		})
	}
}

// versionLoader records what is to be loaded and answers with an error, if it is set.
type versionLoader struct {
	err     error
	loaded  func()
	readyAt time.Time
	asked   []pool.MissingModel
}

func (l *versionLoader) Load(_ context.Context, m pool.MissingModel) (time.Duration, error) {
	l.asked = append(l.asked, m)
	if l.err != nil {
		return 0, l.err
	}
	if len(l.asked) == 1 {
		l.readyAt = time.Now().Add(time.Second)
		time.AfterFunc(time.Second, l.loaded)
	}
	return time.Until(l.readyAt), nil
}

// Guards against a stream that is given up, or continued at another version, because the
// only endpoint of its version with the model has gone.
func TestStreamWaitsForItsModelAtItsVersion(t *testing.T) {
	for _, refused := range []bool{false, true} {
		list := versionedEndpoints("v1", "v2")
		list[0].Models = nil
		leader := &streamLeader{versions: map[uint64]string{streamOf("id-0"): "v1"}}
		withLeader(t, leader, list, func(t *testing.T, e *ledEntry) {
			loader := &versionLoader{loaded: func() { e.server.SetEndpoints(versionedEndpoints("v1", "v2")) }}
			if refused {
				loader.err = resultcode.New(resultcode.NoEndpoint, "no endpoint with the version can load the model")
			}
			e.server.cfg.Loader = loader
			status, code, took := e.do("/resumed/x", takeUp(), restOfStream())
			if want := (pool.MissingModel{Service: "models", Model: "m", SoftwareVersion: "v1"}); len(loader.asked) == 0 || loader.asked[0] != want {
				t.Errorf("asked to load %v, want %v", loader.asked, want)
			}
			switch {
			case refused && (status != 503 || code != "4013" || took > 2*pool.TickInterval || len(e.sentTo()) != 0):
				t.Errorf("status %d, result %s after %v, sent to %v, want an immediate refusal", status, code, took, e.sentTo())
			case !refused && (status != 200 || !slices.Equal(e.sentTo(), []string{"e1"})):
				t.Errorf("status %d, result %s, sent to %v, want e1", status, code, e.sentTo())
			}
		})
	}
}

// Guards against a caller that is told to begin a new stream while its service gets no
// requests at all.
func TestStreamOfAnEvacuatedServiceIsNotBegunAnew(t *testing.T) {
	list := versionedEndpoints("v1", "v1")
	list[0].Evacuated, list[1].Evacuated = true, true
	leader := &streamLeader{versions: map[uint64]string{streamOf("id-0"): "v1"}}
	withLeader(t, leader, list, func(t *testing.T, e *ledEntry) {
		if status, code, _ := e.do("/resumed/x", takeUp()); status != 503 || code != "4001" {
			t.Errorf("status %d, result %s, want 503 and 4001", status, code)
		}
	})
}

// Guards against an endpoint without a version, or one that left the list and came back
// with another version, at which streams of other versions go on.
func TestStreamsStayAwayFromAHoleInTheList(t *testing.T) {
	leader := &streamLeader{}
	withLeader(t, leader, versionedEndpoints("", ""), func(t *testing.T, e *ledEntry) {
		e.do("/resumed/x", map[string]string{"Id": "id-0"}, brokenStream(), restOfStream())
		if status, code, _ := e.do("/resumed/x", takeUp(), restOfStream()); status != 503 || code != "4013" || len(e.sentTo()) != 1 {
			t.Errorf("without versions: status %d, result %s, sent to %v", status, code, e.sentTo())
		}
	})
	withLeader(t, leader, versionedEndpoints("v1"), func(t *testing.T, e *ledEntry) {
		e.do("/resumed/x", map[string]string{"Id": "id-0"}, reply{status: 200, header: sealed(), body: firstEvent, length: -1})
		e.server.SetEndpoints(nil)
		e.server.SetEndpoints(versionedEndpoints("v2", "v1"))
		if status, code, _ := e.do("/resumed/x", takeUp(), restOfStream()); status != 503 || code != "4013" || len(e.sentTo()) != 1 {
			t.Errorf("back in the list: status %d, result %s, sent to %v", status, code, e.sentTo())
		}
	})
}

// Guards against many requests that take up streams and each of which costs the leader a
// call of its own.
func TestManyStreamsTakenUpAtOnceMakeFewCalls(t *testing.T) {
	leader := &streamLeader{delay: 20 * time.Millisecond, versions: map[uint64]string{}}
	var attempts []string
	for i := range 300 {
		attempts = append(attempts, "a"+string(rune('A'+i)))
		leader.versions[streamOf(attempts[i])] = "v1"
	}
	withLeader(t, leader, versionedEndpoints("v1", "v2"), func(t *testing.T, e *ledEntry) {
		var running sync.WaitGroup
		for _, attempt := range attempts {
			running.Go(func() {
				if v := e.server.lookUpStream(t.Context(), lookupKey{stream: streamOf(attempt), service: "models"}); v.origin != modelsAt("v1") {
					t.Errorf("stream %s: origin %v", attempt, v)
				}
			})
		}
		running.Wait()
		if leader.calls() > 5 || leader.mostRunning != 1 {
			t.Errorf("%d calls, up to %d at once, want at most 5 and 1", leader.calls(), leader.mostRunning)
		}
	})
}

// Guards against a stream that began before an entry learned that its endpoint has
// another version, and that goes on at the version which the entry believed.
func TestStreamIsUnknownOnceItsEndpointHasChangedItsVersion(t *testing.T) {
	before, after := versionedEndpoints("v1", "v1"), versionedEndpoints("v2", "v1")
	for i := range before {
		before[i].VersionsDiffer, after[i].VersionsDiffer = true, true
	}
	before[1].Leaving = true // the stream begins at e1
	withLeader(t, &streamLeader{term: 1}, before, func(t *testing.T, e *ledEntry) {
		e.do("/resumed/x", map[string]string{"Id": "id-0"}, reply{status: 200, header: sealed(), body: firstEvent, length: -1})
		time.Sleep(time.Second)
		if v := e.leader.begun()[streamOf("id-0")]; v != "v1" {
			t.Fatalf("reported as %q, want v1", v)
		}
		e.server.SetEndpoints(after)
		if status, code, _ := e.do("/resumed/x", takeUp(), restOfStream()); status != 503 || code != "4013" || len(e.sentTo()) != 1 {
			t.Errorf("status %d, result %s, sent to %v", status, code, e.sentTo())
		}
		time.Sleep(time.Second)
		if v, reported := e.leader.begun()[streamOf("id-0")]; !reported || v != "" {
			t.Errorf("reported as %q, want as unknown", v)
		}
	})
}

// Guards against events of an endpoint that turned out to have another version between
// the send and its first event.
func TestVersionThatChangesBeforeTheFirstEventEndsTheStream(t *testing.T) {
	list := versionedEndpoints("v1")
	w := newFixture(t)
	w.server.SetEndpoints(list)
	w.server.mu.streams.Began(w.server.now(), streamOf("id-0"), modelsAt("v1"), "e0", false)
	w.server.cfg.Client = changingClient{w.endpoints, func() { w.server.SetEndpoints(versionedEndpoints("v2")) }}
	w.endpoints.replies = []reply{restOfStream()}
	status, h, body, err := w.do("/resumed/x", map[string]string{"Model": "m", "Resume": "1", "Resumes": "id-0"})
	if err != nil || status != http.StatusBadGateway || h.Get(resultcode.Header) != "4007" || hasEvents(h) || strings.Contains(body, "data:") {
		t.Errorf("status %d, header %v, body %q, error %v, want no event and the code of a broken stream", status, h, body, err)
	}
}

// Guards against a stream that counts as begun at the version which its endpoint had when
// the request was sent, or has afterwards, if it has changed meanwhile.
func TestVersionThatChangesWhileAStreamBeginsIsUnknown(t *testing.T) {
	w := newFixture(t)
	w.server.SetEndpoints(versionedEndpoints("v1"))
	w.server.cfg.Client = changingClient{w.endpoints, func() { w.server.SetEndpoints(versionedEndpoints("v2", "v1", "v2")) }}
	w.endpoints.replies = []reply{brokenStream(), restOfStream()}
	if _, _, body, err := w.do("/resumed/x", map[string]string{"Model": "m"}); err == nil || body != firstEvent {
		t.Errorf("body %q, error %v, want the first event and a broken answer", body, err)
	}
	if v, found := w.server.mu.streams.Origin(w.server.now(), streamOf("id-1")); v.version != "" || !found {
		t.Errorf("the stream began at %v, want it to be unknown", v)
	}
}

// Guards against an entry whose list of endpoints is older or newer than that of the
// broker, and that sends a stream to the endpoint which the broker believes to fit.
func TestGrantOfABrokerWithAnotherListIsNotUsed(t *testing.T) {
	servers := map[string]*Server{}
	var sent []*fakeEndpoints
	for _, name := range []string{"a", "b"} {
		endpoints := &fakeEndpoints{replies: []reply{restOfStream()}}
		s := newServer(t, endpoints)
		s.mu.entry = pool.NewEntry(pool.Sender{Address: name, Incarnation: 1}, "")
		s.cfg.Send = func(to string, m *peerv1.PlaceMessage) { go servers[to].Receive(m) }
		servers[name], sent = s, append(sent, endpoints)
	}
	newer, older := versionedEndpoints("v2", "v2", "v2", "v1"), versionedEndpoints("v1", "v1", "v1", "v1")
	for i, lists := range [][][]pool.Endpoint{{newer, older}, {older, newer}} {
		servers["a"].SetEndpoints(lists[0])
		servers["b"].SetEndpoints(lists[1])
		asking := servers[[]string{"a", "b"}[i]]
		for _, s := range servers {
			s.SetEntries([]string{"a", "b"})
		}
		asking.mu.streams.Began(asking.now(), streamOf("id-0"), modelsAt("v1"), "e0", false)
		e := &ledEntry{endpoints: sent[i], server: asking}
		status, code, _ := e.do("/resumed/x", takeUp())
		if status != 200 || !slices.Equal(e.sentTo(), []string{"e4"}) {
			t.Errorf("status %d, result %s, sent to %v, want e4", status, code, e.sentTo())
		}
	}
}

// Guards against a stream that is continued at another service of its route.
func TestStreamStaysAtTheServiceThatBeganIt(t *testing.T) {
	other := otherEndpoints("v1", "v1")
	leader := &streamLeader{only: map[string]string{"other": "v1", "models": "v1"}}
	withLeader(t, leader, append(versionedEndpoints("v1", "v1"), other...), func(t *testing.T, e *ledEntry) {
		c := testCatalog()
		c.Version++
		models := c.Services[1]
		models.Name = "other"
		c.Services = append(c.Services, models)
		for i := range c.Routes {
			if c.Routes[i].Name == "resumed" {
				c.Routes[i].Splits = []catalog.Split{{Service: "other", Weight: 99}, {Service: "models", Weight: 1}}
			}
		}
		e.server.SetCatalog(catalog.NewIndex(c))
		e.server.mu.streams.Began(e.server.now(), streamOf("id-0"), modelsAt("v1"), "e1", false)
		for range 8 {
			e.do("/resumed/x", takeUp(), restOfStream())
		}
		if sent := e.sentTo(); len(sent) != 8 || slices.ContainsFunc(sent, func(id string) bool { return id != "e1" && id != "e2" }) {
			t.Errorf("sent to %v", sent)
		}
		if status, code, _ := e.do("/resumed/x", map[string]string{"Resume": "1", "Resumes": "id-9"}); status != 503 || code != "4013" {
			t.Errorf("unknown service: status %d, result %s", status, code)
		}
	})
}

// Guards against a stream that goes on at the service to which its route was moved since,
// at the only version of that service.
func TestStreamOfARouteThatMovedIsUnknown(t *testing.T) {
	move := func(version uint64, service string) *catalog.Index {
		c := testCatalog()
		c.Version = version
		other := c.Services[1]
		other.Name = "other"
		c.Services = append(c.Services, other)
		for i := range c.Routes {
			if c.Routes[i].Name == "resumed" {
				c.Routes[i].Splits = []catalog.Split{{Service: service, Weight: 1}}
			}
		}
		return catalog.NewIndex(c)
	}
	leader := &streamLeader{only: map[string]string{"models": "v1", "other": "v1"}}
	withLeader(t, leader, versionedEndpoints("v1"), func(t *testing.T, e *ledEntry) {
		for i, moved := range []bool{false, true, true} {
			e.server.SetCatalog(move(uint64(2+i), []string{"models", "other", "models"}[i]))
			if status, code, _ := e.do("/resumed/x", takeUp(), restOfStream()); (code == "4013") != moved || (status == 200) == moved {
				t.Errorf("catalog %d: status %d, result %s", 2+i, status, code)
			}
			e.endpoints.replies = nil
			e.server.mu.Lock()
			clear(e.server.mu.streams.byKey) // the entry does not know the stream
			e.server.mu.Unlock()
		}
		time.Sleep(streamMemory + time.Second)
		if status, code, _ := e.do("/resumed/x", takeUp(), restOfStream()); status != 200 {
			t.Errorf("long after the change: status %d, result %s", status, code)
		}
	})
}

// otherEndpoints returns the endpoints o1, o2 and so on of the service other.
func otherEndpoints(versions ...string) []pool.Endpoint {
	out := versionedEndpoints(versions...)
	for i := range out {
		id := fmt.Sprintf("o%d", i+1)
		out[i].ID, out[i].Service, out[i].Address = id, "other", id+":1"
	}
	return out
}

// Guards against streams of a split route that are refused after the loss of their entry,
// or that go on at the other service, also after a catalog has split the route or changed
// its weights.
func TestStreamOfASplitRouteGoesOnWhereItBegan(t *testing.T) {
	leader := &streamLeader{
		versions: map[uint64]string{streamOf("id-0"): "v1"}, services: map[uint64]string{streamOf("id-0"): "other"},
		only: map[string]string{"models": "v1", "other": "v1"},
	}
	weighted := resumableRoute("/resumed/", "models", "other")
	weighted.Splits[0].Weight = 99
	routes := map[string][]catalog.Route{
		"split":           {resumableRoute("/resumed/", "models", "other")},
		"split later":     {resumableRoute("/resumed/", "other"), resumableRoute("/resumed/", "models", "other")},
		"weights changed": {resumableRoute("/resumed/", "models", "other"), weighted},
	}
	for name, catalogs := range routes {
		t.Run(name, func(t *testing.T) {
			withLeader(t, leader, append(versionedEndpoints("v1", "v1"), otherEndpoints("v1", "v2")...), func(t *testing.T, e *ledEntry) {
				for i, r := range catalogs {
					e.server.SetCatalog(catalogOf(uint64(2+i), r))
				}
				for range 8 {
					if status, code, _ := e.do("/resumed/x", takeUp(), restOfStream()); status != 200 {
						t.Errorf("status %d, result %s", status, code)
					}
				}
				if sent := e.sentTo(); slices.ContainsFunc(sent, func(id string) bool { return id != "o1" }) {
					t.Errorf("sent to %v, want o1 only", sent)
				}
				if status, code, _ := e.do("/resumed/x", map[string]string{"Resume": "1", "Resumes": "not reported"}); status != 503 || code != "4013" {
					t.Errorf("unknown stream: status %d, result %s", status, code)
				}
			})
		})
	}
}

// Guards against a stream that goes on at a service to which the current catalog does not
// send the request, or at the service to which its path was given since.
func TestStreamOfAServiceThatTheRouteLostIsRefused(t *testing.T) {
	removed := resumableRoute("/resumed/", "models", "other")
	removed.Splits[1].Weight = 0
	routes := map[string][]catalog.Route{
		"moved":       {resumableRoute("/resumed/", "models")},
		"no weight":   {removed},
		"path below":  {resumableRoute("/resumed/", "other"), resumableRoute("/resumed/x", "models")},
		"path before": {resumableRoute("/re", "models")},
	}
	for name, next := range routes {
		for _, remembered := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, remembered: %t", name, remembered), func(t *testing.T) {
				leader := &streamLeader{versions: map[uint64]string{streamOf("id-0"): "v1"}, services: map[uint64]string{streamOf("id-0"): "other"}}
				withLeader(t, leader, append(versionedEndpoints("v1"), otherEndpoints("v1")...), func(t *testing.T, e *ledEntry) {
					e.server.SetCatalog(catalogOf(2, resumableRoute("/resumed/", "other")))
					if remembered {
						e.server.mu.streams.Began(e.server.now(), streamOf("id-0"), streamOrigin{"other", "v1"}, "o1", false)
					}
					e.server.SetCatalog(catalogOf(3, next...))
					status, code, took := e.do("/resumed/x", takeUp())
					if status != 503 || code != "4013" || took > pool.TickInterval || len(e.sentTo()) != 0 {
						t.Errorf("status %d, result %s after %v, sent to %v", status, code, took, e.sentTo())
					}
				})
			})
		}
	}
}

// Guards against requests of other routes that are refused because of a field which has
// no meaning there.
func TestOtherRoutesIgnoreTheVersion(t *testing.T) {
	w := newFixture(t, restOfStream())
	w.server.SetEndpoints(versionedEndpoints("v1", "v2"))
	if status, _, _, err := w.do("/stream/x", map[string]string{"Model": "m", "Resume": "1", "Resumes": "id-0"}); err != nil || status != 200 {
		t.Errorf("status %d, error %v", status, err)
	}
}

// outcomes counts requests that take up a stream, and resumptions that are refused.
type outcomes struct {
	noMetrics
	counts map[string]int
}

func (o outcomes) TakeUp(outcome string) { o.counts[outcome]++ }
func (o outcomes) ResumptionRefused()    { o.counts["resumption"]++ }

// Guards against take-ups and refused resumptions that operators do not see.
func TestOutcomesOfTakeUpsAreCounted(t *testing.T) {
	leader := &streamLeader{versions: map[uint64]string{streamOf("known"): "v1", streamOf("gone"): "v0"}}
	withLeader(t, leader, versionedEndpoints("v1"), func(t *testing.T, e *ledEntry) {
		got := outcomes{counts: map[string]int{}}
		e.server.cfg.Metrics = got
		for _, attempt := range []string{"known", "known", "gone", "lost"} {
			e.do("/resumed/x", map[string]string{"Resume": "1", "Resumes": attempt}, reply{status: 200, header: sealed(), body: nextEvent, length: -1})
		}
		e.endpoints.replies = nil
		e.do("/resumed/x", map[string]string{"Id": "id-2"}, brokenStream())
		want := map[string]int{takeUpLeader: 1, takeUpOwnMemory: 1, takeUpNoEndpoint: 1, takeUpUnknown: 1, "resumption": 1}
		if !maps.Equal(got.counts, want) {
			t.Errorf("counted %v, want %v", got.counts, want)
		}
	})
}

// Guards against a request that is refused because it came while a call to the leader
// was in flight that nobody answered.
func TestLookupBehindASilentCallIsAnswered(t *testing.T) {
	leader := &streamLeader{delay: -1, versions: map[uint64]string{streamOf("id-0"): "v1"}}
	withLeader(t, leader, versionedEndpoints("v1", "v2"), func(t *testing.T, e *ledEntry) {
		go e.do("/resumed/x", map[string]string{"Resume": "1", "Resumes": "other"})
		time.Sleep(10 * time.Millisecond)
		leader.mu.Lock()
		leader.delay = 5 * time.Millisecond
		leader.mu.Unlock()
		if status, code, _ := e.do("/resumed/x", takeUp(), restOfStream()); status != 200 {
			t.Errorf("status %d, result %s", status, code)
		}
	})
}

// Guards against an entry that does not read the versions in its list.
func TestListHasSoftwareVersions(t *testing.T) {
	got := decodeEndpoints([]*peerv1.DirectoryEndpoint{{Id: "e1", SoftwareVersion: "v1", VersionsDiffer: true}, {Id: "e2"}})
	if got[0].SoftwareVersion != "v1" || !got[0].VersionsDiffer || got[1].SoftwareVersion != "" || got[1].VersionsDiffer {
		t.Errorf("decoded as %+v", got)
	}
}

// Guards against streams that are refused because a new leader has no list of endpoints in
// its first moments.
func TestLeaderThatRefusesAtFirstIsAskedAgain(t *testing.T) {
	leader := &streamLeader{fails: 2, versions: map[uint64]string{streamOf("id-0"): "v1"}}
	withLeader(t, leader, versionedEndpoints("v1", "v2"), func(t *testing.T, e *ledEntry) {
		if status, code, took := e.do("/resumed/x", takeUp(), restOfStream()); status != 200 || took > lookupTimeout {
			t.Errorf("status %d, result %s after %v", status, code, took)
		}
	})
}

// Guards against a stream that is given up because a new leader has not got the reports of
// all entries, and against a caller that is sent away for so short a time that the leader
// cannot know more when it returns.
func TestStreamThatANewLeaderMayLearnOfIsAskedForAgain(t *testing.T) {
	for _, pending := range []int{2, 1 << 20} {
		t.Run(fmt.Sprint(pending, " pending answers"), func(t *testing.T) {
			leader := &streamLeader{pending: pending}
			withLeader(t, leader, versionedEndpoints("v1", "v2"), func(t *testing.T, e *ledEntry) {
				time.AfterFunc(150*time.Millisecond, func() {
					leader.mu.Lock()
					defer leader.mu.Unlock()
					if pending == 2 {
						leader.versions = map[uint64]string{streamOf("id-0"): "v1"}
					}
				})
				started := time.Now()
				w := e.exchange("/resumed/x", takeUp(), restOfStream())
				code, retryAfter := w.Header().Get(resultcode.Header), w.Header().Get("Retry-After")
				if served := w.Code == 200; served != (pending == 2) || time.Since(started) > lookupTimeout {
					t.Errorf("status %d, result %s after %v", w.Code, code, time.Since(started))
				}
				if pending > 2 && (code != "4013" || retryAfter != "0.50" || leader.calls() > 6) {
					t.Errorf("result %s, Retry-After %s, %d calls to the leader", code, retryAfter, leader.calls())
				}
			})
		})
	}
}
