package pool

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
)

const explainedAt = 10 * time.Second

// randomEntry returns an entry in a state that depends on the seed only. Its endpoints
// are engines, or those of a plain service.
func randomEntry(seed uint64, engines bool) *Entry {
	r := rand.New(rand.NewPCG(seed, 1))
	var list []Endpoint
	for i := range 1 + r.IntN(5) {
		in := plainWithSlots(fmt.Sprint("e", i), 1+r.IntN(3))
		if engines {
			in = engineWith(fmt.Sprint("e", i), 1+r.IntN(3), []string{"m", "m", "m", "other"}[r.IntN(4)])
		}
		in.Evacuated = r.IntN(8) == 0
		list = append(list, in)
	}
	e := NewEntry(Sender{Address: "self", Incarnation: 1}, "dc")
	e.SetEndpoints(0, list)
	e.Table.rand = func() float64 { return 0 }
	chance := func(n int, f func()) {
		if r.IntN(n) == 0 {
			f()
		}
	}
	loads := &peerv1.LoadUpdate{Seq: 1}
	for _, in := range list {
		target := e.Table.endpoints[in.ID]
		target.reserved = Usage{Requests: r.IntN(3), HeldTokens: r.IntN(9000)}
		target.others, target.othersAt = r.IntN(3), explainedAt
		chance(6, func() { target.leavingUntil = explainedAt + time.Second })
		chance(6, func() { target.ejectedUntil = explainedAt + time.Second })
		chance(6, func() { target.fullUntil = explainedAt + time.Second })
		chance(6, func() { e.Table.paused[in.ID] = explainedAt + 2*time.Second })
		chance(6, func() { target.missingUntil["m/"] = explainedAt + time.Second })
		chance(4, func() { e.Table.recordSlowdown(explainedAt-time.Second, target, 20+r.IntN(400)) })
		chance(4, func() {
			target.advice = Advice{Limited: true, RateLimit: r.Float64()}
			target.budget = limitBudget{level: r.Float64(), refilledAt: explainedAt - time.Second}
		})
		chance(4, func() {
			target.WarmUpRate, target.warmUntil = 1+r.Float64(), explainedAt+2*time.Second
			target.permits = []time.Duration{explainedAt - 1, explainedAt + time.Second}
		})
		loads.Engines = append(loads.Engines, &peerv1.EngineLoad{Endpoint: in.ID, Requests: uint32(r.IntN(2)), Waiting: r.IntN(2) == 0})
	}
	e.Table.loads.Apply([]time.Duration{0, explainedAt}[r.IntN(2)], Sender{Address: "peer"}, loads)
	chance(2, func() { e.broker.holdsOf(modelKey{"models", "m"}).releases = minHolds })
	e.broker.holdsOf(modelKey{"models", "m"}).seconds = 8 * r.Float64()
	e.Table.serviceHolds["plain"] = &holdTimes{seconds: 8 * r.Float64(), releases: minHolds}
	chance(2, func() {
		e.broker.contention[modelKey{"models", "m"}] = contention{since: explainedAt - 2*time.Second, last: explainedAt - overloadPause/2}
	})
	e.broker.readyAt[versionedModel{modelKey: modelKey{"models", "m"}}] = explainedAt + time.Duration(r.IntN(4))*time.Second
	e.setNow(explainedAt)
	return e
}

func randomQuery(t *rapid.T, engines bool) *Query {
	if !engines {
		return &Query{Service: "plain", Overcommit: 0.5}
	}
	prompt := rapid.IntRange(1, 3000).Draw(t, "prompt")
	return &Query{Service: "models", Model: "m", PromptTokens: prompt, HeldTokens: prompt + 100, Work: prompt}
}

// Guards against an explanation that names another endpoint, or another refusal, than
// the request then gets.
func TestExplanationIsTheDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.Bool().Draw(t, "engines")
		e, q := randomEntry(rapid.Uint64().Draw(t, "seed"), engines), randomQuery(t, engines)
		target := explainedAt + time.Duration(rapid.IntRange(-500, 500).Draw(t, "target"))*time.Millisecond
		deadline := explainedAt + time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait"))*time.Millisecond
		queue := &Queue{}
		for i := range rapid.IntRange(0, 4).Draw(t, "earlier") {
			earlier := randomQuery(t, engines)
			earlier.Customer, earlier.Urgency = fmt.Sprint("c", i%2), i%3
			if engines {
				e.RequestSlot(explainedAt, earlier, target, explainedAt+time.Minute, func(Outcome) {})
			} else {
				queue.Add(&Waiter{Query: earlier, Target: target, Deadline: explainedAt + time.Minute, Granted: func(*Reservation) {}, Refused: func() {}})
				queue.Dispatch(explainedAt, e.Table)
				queue.RefuseFutile(explainedAt, e.Table)
			}
		}
		q.Urgency = rapid.IntRange(0, 2).Draw(t, "urgency")
		x := e.Explain(explainedAt, q, target, deadline, queue)
		var got string
		if engines {
			var outcome Outcome
			e.RequestSlot(explainedAt, q, target, deadline, func(o Outcome) { outcome = o })
			if outcome.Refusal != x.Refusal || outcome.RetryAfter.Milliseconds() != x.RetryMin.Milliseconds() {
				t.Fatalf("refused with %d after %v; explained %+v", outcome.Refusal, outcome.RetryAfter, x)
			}
			if outcome.Grant != nil {
				got = outcome.Grant.EndpointID
			}
		} else {
			refused := false
			w := &Waiter{Query: q, Target: target, Deadline: deadline, Granted: func(r *Reservation) { got = r.EndpointID }, Refused: func() { refused = true }}
			queue.Add(w)
			queue.Dispatch(explainedAt, e.Table)
			queue.RefuseFutile(explainedAt, e.Table)
			if refused != (x.Refusal != 0) || w.reason != x.Reason || (w.RetryAfter > 0 && w.RetryAfter != x.RetryMin) {
				t.Fatalf("refused %v for %v after %v; explained %+v", refused, w.reason, w.RetryAfter, x)
			}
		}
		want := ""
		if x.Reason == None {
			want = x.Candidates[0].Endpoint
		}
		if got != want {
			t.Fatalf("sent to %q; explained %+v", got, x)
		}
	})
}

// Guards against an explanation that takes a slot, a permit or a part of a limit, or
// that starts the budget of an endpoint that warms up.
func TestExplanationChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines, seed := rapid.Bool().Draw(t, "engines"), rapid.Uint64().Draw(t, "seed")
		e, same := randomEntry(seed, engines), randomEntry(seed, engines)
		queue := &Queue{}
		waiting := &Waiter{Query: randomQuery(t, engines), Target: explainedAt + time.Second}
		queue.Add(waiting)
		before, level := *waiting, *queue.levels[levelKey{waiting.Query.Service, waiting.Query.Urgency}]
		level.finish = maps.Clone(level.finish)
		e.Explain(explainedAt, randomQuery(t, engines), explainedAt, explainedAt+time.Second, queue)
		for _, entry := range []*Entry{e, same} {
			// Functions cannot be compared; the ranks are computed on demand.
			entry.Table.rand = nil
			clear(entry.Owners.ranks)
			clear(entry.Owners.cached)
		}
		b, other := e.broker, same.broker
		if !reflect.DeepEqual(e.Table, same.Table) || !reflect.DeepEqual(b.holds, other.holds) || !reflect.DeepEqual(b.contention, other.contention) {
			t.Fatal("the state of the endpoints or of the broker has changed")
		}
		if queue.Len() != 1 || !reflect.DeepEqual(*waiting, before) || !reflect.DeepEqual(*queue.levels[levelKey{waiting.Query.Service, waiting.Query.Urgency}], level) || len(b.queues)+len(b.pending)+len(b.waiting)+len(b.missing)+len(e.Messages()) > 0 || b.decisions != other.decisions {
			t.Fatal("a request was queued or a message is pending")
		}
	})
}

// Guards against a printed range that does not contain the retry-after time.
func TestRetryRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 9000).Draw(t, name)) * time.Millisecond
		}
		least, left := draw("least"), draw("left")
		after, largest := least+draw("more"), least+2*9*time.Second
		got := RetryWithin(after, left, rapid.Float64Range(0, 0.999).Draw(t, "random"))
		if low, high := RetryRange(least, largest, left); got < low || got > high {
			t.Fatalf("%v is not between %v and %v", got, low, high)
		}
	})
}
