package pool

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/coordination/directory"
)

func modelEndpoint(id string) Endpoint {
	return Endpoint{
		Endpoint: directory.Endpoint{ID: id, Service: "models", Address: id + ":1", Slots: 4, Models: []directory.Resident{{Model: "m", Adapters: []string{"a"}}}},
		KVTotal:  10_000,
	}
}

func modelQuery(prompt, held int) *Query {
	return &Query{Service: "models", Model: "m", PromptTokens: prompt, HeldTokens: held}
}

// Prompts that arrive together at one engine stall its streams. While one
// prompt is being read, a second one must wait, but a single large prompt must
// still be accepted.
func TestPromptsAreSpaced(t *testing.T) {
	table := NewTable()
	table.Update([]Endpoint{modelEndpoint("e")})
	large, _ := table.Reserve(0, modelQuery(maxPromptWindow*2, 100))
	if large == nil {
		t.Fatal("a large prompt got no slot at an idle engine")
	}
	if again, why := table.Reserve(0, modelQuery(1, 1)); again != nil || why != Full {
		t.Fatalf("a second prompt got a slot: %v", why)
	}
	table.MarkPrefilled(large)
	if next, why := table.Reserve(0, modelQuery(1, 1)); next == nil {
		t.Fatalf("no slot after the first event: %v", why)
	}
}

// Slots granted by other brokers must count like own ones until those brokers
// stop sending updates. An older update must not replace a newer one.
func TestLoadsOfOtherBrokersCount(t *testing.T) {
	other := Sender{Address: "other"}
	table := NewTable()
	table.Update([]Endpoint{modelEndpoint("e")})
	table.loads.Apply(0, other, &peerv1.LoadUpdate{Seq: 2, Engines: []*peerv1.EngineLoad{{Endpoint: "e", Requests: 1, PromptTokens: maxPromptWindow}}})
	if reservation, why := table.Reserve(0, modelQuery(100, 100)); reservation != nil || why != Full {
		t.Fatalf("the other broker's prompt does not count: %v", why)
	}
	table.loads.Apply(0, other, &peerv1.LoadUpdate{Seq: 1})
	if reservation, _ := table.Reserve(0, modelQuery(100, 100)); reservation != nil {
		t.Fatal("an older update replaced a newer one")
	}
	if reservation, _ := table.Reserve(peerTTL+1, modelQuery(100, 100)); reservation == nil {
		t.Fatal("an expired broker still counts")
	}
}

// The total of all peers must equal the sum of the latest updates of the peers
// that have not expired, in whatever order and however often updates arrive.
func TestTotalIsTheSumOfPeers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLoads()
		type lastUpdate struct {
			seq       uint64
			updatedAt time.Duration
			usage     map[string]Usage
		}
		peers := map[string]*lastUpdate{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "updates") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond
			name := rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "peer")
			u := &peerv1.LoadUpdate{Seq: uint64(rapid.IntRange(1, 40).Draw(t, "seq")), Full: rapid.Bool().Draw(t, "full")}
			for _, id := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b"}), 0, 2, rapid.ID[string]).Draw(t, "engines") {
				u.Engines = append(u.Engines, &peerv1.EngineLoad{Endpoint: id, Requests: uint32(rapid.IntRange(0, 3).Draw(t, "requests")), PromptTokens: 5})
			}
			p := peers[name]
			if p == nil {
				p = &lastUpdate{usage: map[string]Usage{}}
				peers[name] = p
			}
			l.Apply(now, Sender{Address: name}, u)
			if u.GetSeq() > p.seq {
				p.seq, p.updatedAt = u.GetSeq(), now
				if u.GetFull() {
					clear(p.usage)
				}
				for _, e := range u.GetEngines() {
					p.usage[e.GetEndpoint()] = Usage{}
					if e.GetRequests() > 0 {
						p.usage[e.GetEndpoint()] = Usage{int(e.GetRequests()), int(e.GetPromptTokens()), 0}
					}
				}
			}
			l.expire(now)
			for name, p := range peers {
				if now-p.updatedAt > peerTTL {
					clear(p.usage) // until the next full update
				}
				if now-p.updatedAt > 2*peerTTL {
					delete(peers, name) // it may have been restarted
				}
			}
			for _, id := range []string{"a", "b"} {
				want := Usage{}
				for _, p := range peers {
					if now-p.updatedAt <= peerTTL {
						want.add(p.usage[id])
					}
				}
				if got := l.At(now, id); got != want {
					t.Fatalf("at %v endpoint %s has %+v, want %+v", now, id, got, want)
				}
			}
		}
	})
}

// An engine with a full KV cache would have to preempt running streams.
func TestKVCacheBoundsRequests(t *testing.T) {
	table := NewTable()
	table.Update([]Endpoint{modelEndpoint("e")})
	first, _ := table.Reserve(0, modelQuery(100, 8_000))
	table.MarkPrefilled(first)
	if reservation, why := table.Reserve(0, modelQuery(100, 2_000)); reservation != nil || why != Full {
		t.Fatalf("the KV cache is overcommitted: %v", why)
	}
}

// The reason decides whether a model or adapter is loaded, so missing
// endpoints, models, adapters and slots must be told apart.
func TestUnavailableReasons(t *testing.T) {
	table := NewTable()
	table.Update([]Endpoint{modelEndpoint("e")})
	for want, q := range map[UnavailableReason]*Query{
		NoEndpoints: {Service: "other"},
		NoModel:     {Service: "models", Model: "x"},
		NoAdapter:   {Service: "models", Model: "m", Adapter: "x"},
		None:        {Service: "models", Model: "m", Adapter: "a"},
	} {
		if _, why := table.choose(0, q); why != want {
			t.Errorf("%+v: %v, want %v", q, why, want)
		}
	}
}

// An endpoint that is leaving must receive no new requests, although it is
// still in the list.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	table := NewTable()
	e := modelEndpoint("e")
	e.Leaving = true
	table.Update([]Endpoint{e})
	if reservation, _ := table.Reserve(0, modelQuery(1, 1)); reservation != nil {
		t.Fatal("a leaving endpoint got a request")
	}
}

// Consecutive failures eject an endpoint, but only for a limited time.
func TestEjection(t *testing.T) {
	table := NewTable()
	table.Update([]Endpoint{modelEndpoint("e")})
	for range failuresBeforeEject {
		reservation, _ := table.Reserve(0, modelQuery(1, 1))
		table.Release(0, reservation, Failed, "m", "")
	}
	if reservation, _ := table.Reserve(0, modelQuery(1, 1)); reservation != nil {
		t.Fatal("an endpoint that failed twice got a request")
	}
	if reservation, _ := table.Reserve(ejectTime+1, modelQuery(1, 1)); reservation == nil {
		t.Fatal("an endpoint got no request after its ejection time")
	}
}

// The usage of an endpoint must return to zero whatever happens to requests.
// Otherwise it would fill up without any.
func TestCountsReturnToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		list := []Endpoint{modelEndpoint("e1"), modelEndpoint("e2")}
		table.Update(list)
		var open []*Reservation
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				q := modelQuery(rapid.IntRange(1, 3000).Draw(t, "prompt"), rapid.IntRange(1, 4000).Draw(t, "held"))
				if reservation, _ := table.Reserve(now, q); reservation != nil {
					open = append(open, reservation)
				}
			case 1:
				if len(open) > 0 {
					table.MarkPrefilled(open[rapid.IntRange(0, len(open)-1).Draw(t, "begun")])
				}
			case 2:
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "done")
					table.Release(now, open[i], Result(rapid.IntRange(0, int(Absent)).Draw(t, "result")), "m", "")
					open = append(open[:i], open[i+1:]...)
				}
			default:
				table.Update(list)
			}
		}
		for _, reservation := range open {
			table.Release(now, reservation, Succeeded, "m", "")
		}
		for id, e := range table.endpoints {
			if e.reserved != (Usage{}) {
				t.Fatalf("%s still has usage %+v", id, e.reserved)
			}
		}
	})
}

// Waiting requests get slots by urgency, but a late request never goes before
// one that can still be on time.
func TestQueueOrder(t *testing.T) {
	table := NewTable()
	table.Update([]Endpoint{modelEndpoint("e")})
	var q Queue
	var got *Waiter
	var reservation *Reservation
	add := func(urgency int, target time.Duration) *Waiter {
		query := modelQuery(maxPromptWindow, 1)
		query.Urgency = urgency
		w := &Waiter{Query: query, Target: target}
		w.Granted = func(t *Reservation) { got, reservation = w, t }
		q.Add(w)
		return w
	}
	late := add(0, 0)
	second := add(2, time.Hour)
	first := add(1, time.Hour)
	for i, want := range []*Waiter{first, second, late} {
		q.Dispatch(time.Second, table)
		if got != want {
			t.Fatalf("slot %d went to another request", i)
		}
		table.MarkPrefilled(reservation)
	}
}
