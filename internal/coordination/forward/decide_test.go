package forward

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/coordination/directory"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

func modelEndpoint(id string) Endpoint {
	return Endpoint{
		Endpoint: directory.Endpoint{ID: id, Service: "models", Address: id + ":1", Slots: 4, Models: []directory.Resident{{Model: "m", Adapters: []string{"a"}}}},
		KVTotal:  10_000,
	}
}

func modelQuery(prompt, held int) *Query {
	return &Query{Service: "models", Model: "m", Prompt: prompt, Held: held}
}

// Prompts that arrive together at one engine stop its streams: a second one is
// spaced, and a single large one still passes.
func TestPromptsAreSpaced(t *testing.T) {
	table := NewTable()
	table.Update(0, []Endpoint{modelEndpoint("e")})
	large, _ := table.Pick(0, modelQuery(mostWindow*2, 100))
	if large == nil {
		t.Fatal("a large prompt does not pass an idle engine")
	}
	if again, why := table.Pick(0, modelQuery(1, 1)); again != nil || why != Full {
		t.Fatalf("a second prompt passes: %v", why)
	}
	table.Begun(large)
	if next, why := table.Pick(0, modelQuery(1, 1)); next == nil {
		t.Fatalf("no place after the first event: %v", why)
	}
}

// What other entries sent counts like the own requests, until they fall silent.
func TestLoadsOfOtherEntriesCount(t *testing.T) {
	table := NewTable()
	table.Update(0, []Endpoint{modelEndpoint("e")})
	table.loads.Take(0, &peerv1.LoadUpdate{Sender: "other", Seq: 2, Engines: []*peerv1.EngineLoad{{Endpoint: "e", Requests: 1, PromptTokens: mostWindow}}})
	if ticket, why := table.Pick(0, modelQuery(100, 100)); ticket != nil || why != Full {
		t.Fatalf("the other entry's prompt does not count: %v", why)
	}
	table.loads.Take(0, &peerv1.LoadUpdate{Sender: "other", Seq: 1})
	if ticket, _ := table.Pick(0, modelQuery(100, 100)); ticket != nil {
		t.Fatal("an older update replaced a newer one")
	}
	if ticket, _ := table.Pick(peerAge+1, modelQuery(100, 100)); ticket == nil {
		t.Fatal("a silent entry still counts")
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
			work map[string]work
		}
		peers := map[string]*said{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "updates") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond
			name := rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "peer")
			u := &peerv1.LoadUpdate{Sender: name, Seq: uint64(rapid.IntRange(1, 40).Draw(t, "seq")), Full: rapid.Bool().Draw(t, "full")}
			for _, id := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b"}), 0, 2, rapid.ID[string]).Draw(t, "engines") {
				u.Engines = append(u.Engines, &peerv1.EngineLoad{Endpoint: id, Requests: uint32(rapid.IntRange(0, 3).Draw(t, "requests")), PromptTokens: 5})
			}
			p := peers[name]
			if p == nil {
				p = &said{work: map[string]work{}}
				peers[name] = p
			}
			l.Take(now, u)
			if u.GetSeq() > p.seq {
				p.seq, p.at = u.GetSeq(), now
				if u.GetFull() {
					clear(p.work)
				}
				for _, e := range u.GetEngines() {
					p.work[e.GetEndpoint()] = work{}
					if e.GetRequests() > 0 {
						p.work[e.GetEndpoint()] = work{int(e.GetRequests()), int(e.GetPromptTokens()), 0}
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
				want := work{}
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
	table.Update(0, []Endpoint{modelEndpoint("e")})
	first, _ := table.Pick(0, modelQuery(100, 8_000))
	table.Begun(first)
	if ticket, why := table.Pick(0, modelQuery(100, 2_000)); ticket != nil || why != Full {
		t.Fatalf("memory is overcommitted: %v", why)
	}
}

// The reasons for which a request has no place decide whether a load is asked
// for, so they must tell models, adapters and places apart.
func TestAbsences(t *testing.T) {
	table := NewTable()
	table.Update(0, []Endpoint{modelEndpoint("e")})
	for want, q := range map[Absence]*Query{
		NoEndpoints: {Service: "other"},
		NoModel:     {Service: "models", Model: "x"},
		NoAdapter:   {Service: "models", Model: "m", Adapter: "x"},
		None:        {Service: "models", Model: "m", Adapter: "a"},
	} {
		if _, why := table.peek(0, q); why != want {
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
	table.Update(0, []Endpoint{e})
	if ticket, _ := table.Pick(0, modelQuery(1, 1)); ticket != nil {
		t.Fatal("a leaving endpoint got a request")
	}
}

// Failures in a row eject an endpoint, and time brings it back.
func TestEjection(t *testing.T) {
	table := NewTable()
	table.Update(0, []Endpoint{modelEndpoint("e")})
	for range failuresToEject {
		ticket, _ := table.Pick(0, modelQuery(1, 1))
		table.Done(0, ticket, Failed, modelQuery(1, 1))
	}
	if ticket, _ := table.Pick(0, modelQuery(1, 1)); ticket != nil {
		t.Fatal("an endpoint that failed twice got a request")
	}
	if ticket, _ := table.Pick(ejectTime+1, modelQuery(1, 1)); ticket == nil {
		t.Fatal("an ejected endpoint never comes back")
	}
}

// The counts of an endpoint must return to zero whatever happens to requests,
// or it fills up without any.
func TestCountsReturnToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		list := []Endpoint{modelEndpoint("e1"), modelEndpoint("e2")}
		table.Update(0, list)
		var open []*Ticket
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				q := modelQuery(rapid.IntRange(1, 3000).Draw(t, "prompt"), rapid.IntRange(1, 4000).Draw(t, "held"))
				if ticket, _ := table.Pick(now, q); ticket != nil {
					open = append(open, ticket)
				}
			case 1:
				if len(open) > 0 {
					table.Begun(open[rapid.IntRange(0, len(open)-1).Draw(t, "begun")])
				}
			case 2:
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "done")
					table.Done(now, open[i], Result(rapid.IntRange(0, int(Absent)).Draw(t, "result")), modelQuery(1, 1))
					open = append(open[:i], open[i+1:]...)
				}
			default:
				table.Update(now, list)
			}
		}
		for _, ticket := range open {
			table.Done(now, ticket, Worked, modelQuery(1, 1))
		}
		for id, e := range table.endpoints {
			if e.own != (work{}) {
				t.Fatalf("%s keeps %+v", id, e.own)
			}
		}
	})
}

// Waiting requests get places by urgency, but one that is already late never
// goes before one that can still be in time.
func TestQueueOrder(t *testing.T) {
	table := NewTable()
	table.Update(0, []Endpoint{modelEndpoint("e")})
	var q queue
	add := func(urgency int, target time.Duration) *waiter {
		query := modelQuery(mostWindow, 1)
		query.Urgency = urgency
		w := &waiter{query: query, target: target, ready: make(chan *Ticket, 1)}
		q.add(w)
		return w
	}
	late := add(0, 0)
	second := add(2, time.Hour)
	first := add(1, time.Hour)
	for i, want := range []*waiter{first, second, late} {
		q.dispatch(time.Second, table)
		select {
		case ticket := <-want.ready:
			table.Begun(ticket)
		default:
			t.Fatalf("place %d went to another request", i)
		}
	}
}

// The sum of further attempts of all entries stays within the fleet's bound for
// any pattern of requests and failures.
func TestBudgetsStayWithinTheFleetsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack, window = 0.2, 58.0, 10 * time.Second
		entries := rapid.IntRange(1, 12).Draw(t, "entries")
		budgets := make([]*Budget, entries)
		for i := range budgets {
			budgets[i] = NewBudget(window, ratio, slack)
			budgets[i].SetEntries(entries)
		}
		requests, retries := 0, 0
		now := 5 * window
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			b := budgets[rapid.IntRange(0, entries-1).Draw(t, "entry")]
			if rapid.Bool().Draw(t, "request") {
				b.Request(now, "s")
				requests++
			} else if b.Spend(now, "s") {
				retries++
			}
		}
		if float64(retries) > ratio*float64(requests)+slack {
			t.Fatalf("%d further attempts for %d requests", retries, requests)
		}
	})
}

// Entries with shares of one leader spend no more than rate, burst and the
// slack that the platform grants for the distance between them.
func TestEntriesStayWithinTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const seconds, tick = 8, 50 * time.Millisecond
		customer := &catalog.Customer{Name: "c", Rate: 20_000, Burst: 20_000, ByTokens: true}
		names := []string{"e1", "e2", "e3", "e4", "e5"}
		shares := directory.NewShares()
		buckets := map[string]*Buckets{}
		for _, n := range names {
			buckets[n] = NewBuckets()
		}
		offered := rapid.IntRange(1, 8).Draw(t, "times the rate")
		skew := rapid.IntRange(0, len(names)-1).Draw(t, "favoured entry")
		spent := 0.0
		for step := range int(seconds * time.Second / tick) {
			now := time.Duration(step) * tick
			for i, n := range names {
				if (step+i)%8 == 0 { // every 400 ms, at different times
					shares.Report(now, n, buckets[n].TakeUsage())
					buckets[n].SetShares(now, shares.For(now, n, []catalog.Customer{*customer}), shares.Entries())
				}
				count := offered * 20 * int(tick/time.Millisecond) / 1000 / len(names)
				if i == skew {
					count *= 2
				}
				for range max(1, count) {
					if ok, _ := buckets[n].Take(now, customer, 1000); ok {
						spent += 1000
					}
				}
			}
		}
		limit := (customer.Rate*seconds+customer.Burst)*1.1 + 11_000
		if spent > limit {
			t.Fatalf("%.0f tokens in %d s, %.0f are allowed", spent, seconds, limit)
		}
	})
}

// A small customer's single request must not be refused because a ninth of its
// burst is smaller than the request.
func TestSmallCustomerIsServed(t *testing.T) {
	shares := directory.NewShares()
	customer := catalog.Customer{Name: "c", Rate: 2700, Burst: 2700, ByTokens: true}
	for _, n := range []string{"1", "2", "3", "4", "5", "6", "7", "8", "9"} {
		shares.Report(0, n, nil)
	}
	shares.For(0, "1", []catalog.Customer{customer})
	b := NewBuckets()
	b.SetShares(2*time.Second, shares.For(2*time.Second, "1", []catalog.Customer{customer}), 9)
	if ok, wait := b.Take(2*time.Second, &customer, 1500); !ok {
		t.Fatalf("refused for %v", wait)
	}
}

// An entry that lost its leader keeps inside its part of the rate.
func TestLonelyEntryTakesLess(t *testing.T) {
	b := NewBuckets()
	customer := &catalog.Customer{Name: "c", Rate: 1000, Burst: 1000}
	b.SetShares(0, map[string]directory.Share{"c": {Part: 0.5, Level: 0}}, 4)
	if got := b.part(shareTrust, "c"); got != 0.5 {
		t.Fatalf("part %v while the share is trusted", got)
	}
	if got := b.part(shareTrust+1, customer.Name); got != lonelyShare/4 {
		t.Fatalf("part %v without a leader", got)
	}
}
