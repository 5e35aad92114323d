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

// Prompts that arrive together at one engine stop its streams: a second one is
// spaced, and a single large one still passes.
func TestPromptsAreSpaced(t *testing.T) {
	table := NewTable()
	table.Update([]Endpoint{modelEndpoint("e")})
	large, _ := table.Reserve(0, modelQuery(mostWindow*2, 100))
	if large == nil {
		t.Fatal("a large prompt does not pass an idle engine")
	}
	if again, why := table.Reserve(0, modelQuery(1, 1)); again != nil || why != Full {
		t.Fatalf("a second prompt passes: %v", why)
	}
	table.MarkPrefilled(large)
	if next, why := table.Reserve(0, modelQuery(1, 1)); next == nil {
		t.Fatalf("no place after the first event: %v", why)
	}
}

// What other brokers gave out counts like the own places, until they fall silent.
func TestLoadsOfOtherBrokersCount(t *testing.T) {
	other := Sender{Address: "other"}
	table := NewTable()
	table.Update([]Endpoint{modelEndpoint("e")})
	table.loads.Apply(0, other, &peerv1.LoadUpdate{Seq: 2, Engines: []*peerv1.EngineLoad{{Endpoint: "e", Requests: 1, PromptTokens: mostWindow}}})
	if ticket, why := table.Reserve(0, modelQuery(100, 100)); ticket != nil || why != Full {
		t.Fatalf("the other broker's prompt does not count: %v", why)
	}
	table.loads.Apply(0, other, &peerv1.LoadUpdate{Seq: 1})
	if ticket, _ := table.Reserve(0, modelQuery(100, 100)); ticket != nil {
		t.Fatal("an older update replaced a newer one")
	}
	if ticket, _ := table.Reserve(peerAge+1, modelQuery(100, 100)); ticket == nil {
		t.Fatal("a silent broker still counts")
	}
}

// The sum that places are chosen by is what the updates of all entries that are
// not silent say, in whatever order and however often they arrive.
func TestTotalIsTheSumOfPeers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLoads()
		type said struct {
			seq  uint64
			at   time.Duration
			work map[string]Usage
		}
		peers := map[string]*said{}
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
				p = &said{work: map[string]Usage{}}
				peers[name] = p
			}
			l.Apply(now, Sender{Address: name}, u)
			if u.GetSeq() > p.seq {
				p.seq, p.at = u.GetSeq(), now
				if u.GetFull() {
					clear(p.work)
				}
				for _, e := range u.GetEngines() {
					p.work[e.GetEndpoint()] = Usage{}
					if e.GetRequests() > 0 {
						p.work[e.GetEndpoint()] = Usage{int(e.GetRequests()), int(e.GetPromptTokens()), 0}
					}
				}
			}
			l.expire(now)
			for name, p := range peers {
				if now-p.at > peerAge {
					clear(p.work) // until it tells everything again
				}
				if now-p.at > 2*peerAge {
					delete(peers, name) // it may have started anew
				}
			}
			for _, id := range []string{"a", "b"} {
				want := Usage{}
				for _, p := range peers {
					if now-p.at <= peerAge {
						want.add(p.work[id])
					}
				}
				if got := l.At(now, id); got != want {
					t.Fatalf("at %v endpoint %s has %+v, want %+v", now, id, got, want)
				}
			}
		}
	})
}

// An engine whose memory for tokens is taken would interrupt streams to make
// room.
func TestMemoryForTokensBoundsRequests(t *testing.T) {
	table := NewTable()
	table.Update([]Endpoint{modelEndpoint("e")})
	first, _ := table.Reserve(0, modelQuery(100, 8_000))
	table.MarkPrefilled(first)
	if ticket, why := table.Reserve(0, modelQuery(100, 2_000)); ticket != nil || why != Full {
		t.Fatalf("memory is overcommitted: %v", why)
	}
}

// The reasons for which a request has no place decide whether a load is asked
// for, so they must tell models, adapters and places apart.
func TestAbsences(t *testing.T) {
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

// An endpoint that leaves gets nothing new, also if a newer list still shows it
// as usable to other entries.
func TestLeavingEndpointGetsNothing(t *testing.T) {
	table := NewTable()
	e := modelEndpoint("e")
	e.Leaving = true
	table.Update([]Endpoint{e})
	if ticket, _ := table.Reserve(0, modelQuery(1, 1)); ticket != nil {
		t.Fatal("a leaving endpoint got a request")
	}
}

// Failures in a row eject an endpoint, and time brings it back.
func TestEjection(t *testing.T) {
	table := NewTable()
	table.Update([]Endpoint{modelEndpoint("e")})
	for range failuresToEject {
		ticket, _ := table.Reserve(0, modelQuery(1, 1))
		table.Release(0, ticket, Failed, "m", "")
	}
	if ticket, _ := table.Reserve(0, modelQuery(1, 1)); ticket != nil {
		t.Fatal("an endpoint that failed twice got a request")
	}
	if ticket, _ := table.Reserve(ejectTime+1, modelQuery(1, 1)); ticket == nil {
		t.Fatal("an ejected endpoint never comes back")
	}
}

// The counts of an endpoint must return to zero whatever happens to requests,
// or it fills up without any.
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
				if ticket, _ := table.Reserve(now, q); ticket != nil {
					open = append(open, ticket)
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
		for _, ticket := range open {
			table.Release(now, ticket, Succeeded, "m", "")
		}
		for id, e := range table.endpoints {
			if e.own != (Usage{}) {
				t.Fatalf("%s keeps %+v", id, e.own)
			}
		}
	})
}

// Waiting requests get places by urgency, but one that is already late never
// goes before one that can still be in time.
func TestQueueOrder(t *testing.T) {
	table := NewTable()
	table.Update([]Endpoint{modelEndpoint("e")})
	var q Queue
	var got *Waiter
	var ticket *Reservation
	add := func(urgency int, target time.Duration) *Waiter {
		query := modelQuery(mostWindow, 1)
		query.Urgency = urgency
		w := &Waiter{Query: query, Target: target}
		w.Granted = func(t *Reservation) { got, ticket = w, t }
		q.Add(w)
		return w
	}
	late := add(0, 0)
	second := add(2, time.Hour)
	first := add(1, time.Hour)
	for i, want := range []*Waiter{first, second, late} {
		q.Dispatch(time.Second, table)
		if got != want {
			t.Fatalf("place %d went to another request", i)
		}
		table.MarkPrefilled(ticket)
	}
}
