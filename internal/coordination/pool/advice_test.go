package pool

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/radishloom/radishloom/internal/coordination/directory"
	"github.com/radishloom/radishloom/internal/proptest"
)

const (
	// noticeTime is how long after the answer that told an entry of a limit its
	// requests count against it.
	noticeTime = 500 * time.Millisecond
	// graceTime is how long after an endpoint began to state a limit the limit
	// has to hold, in each span of limitWindow.
	graceTime   = 3 * time.Second
	limitWindow = 4 * time.Second
	// headTime is the time from a send to the head of the answer, answerTime to its
	// end.
	headTime   = 60 * time.Millisecond
	answerTime = 300 * time.Millisecond
)

// limitedEndpoint is an endpoint that states a limit from begins until ends.
type limitedEndpoint struct {
	rate         float64
	begins, ends time.Duration
	told         map[string]time.Duration // when each entry was first told, by name
	counted      []time.Duration          // arrivals from entries that were told
	arrivals     []time.Duration
}

func (e *limitedEndpoint) limited(now time.Duration) bool { return now >= e.begins && now < e.ends }

// arrive records a request of an entry.
func (e *limitedEndpoint) arrive(now time.Duration, entry string) {
	e.arrivals = append(e.arrivals, now)
	if told, ok := e.told[entry]; ok && now >= told+noticeTime {
		e.counted = append(e.counted, now)
	}
}

// worstWindow returns the largest number of counted requests in limitWindow.
func (e *limitedEndpoint) worstWindow() int {
	from := slices.IndexFunc(e.counted, func(at time.Duration) bool { return at >= e.begins+graceTime })
	if from < 0 {
		return 0
	}
	worst, list := 0, e.counted[from:]
	first := 0
	for i, at := range list {
		if at >= e.ends {
			break
		}
		for list[first] < at-limitWindow {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// allowed returns how many requests an endpoint may get in limitWindow.
func (e *limitedEndpoint) allowed() int { return int(1.5*e.rate*limitWindow.Seconds()) + 5 }

func (e *limitedEndpoint) arrivalsBetween(from, to time.Duration) int {
	n := 0
	for _, at := range e.arrivals {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// limitScene is a fleet whose requests reach endpoints that state limits.
type limitScene struct {
	*fleet
	endpoints map[string]*limitedEndpoint
	queues    map[string]*Queue // by entry, for plain services
	later     []laterStep
	refused   int
}

// laterStep is a step of an entry's incarnation at a moment.
type laterStep struct {
	at    time.Duration
	name  string
	entry *Entry
	run   func()
}

func newLimitScene(entries int, list []Endpoint) *limitScene {
	s := &limitScene{fleet: newFleet(entries, list), endpoints: map[string]*limitedEndpoint{}, queues: map[string]*Queue{}}
	for _, e := range list {
		s.endpoints[e.ID] = &limitedEndpoint{begins: 1 << 62, ends: 1 << 62, told: map[string]time.Duration{}}
	}
	for _, name := range s.names {
		s.queues[name] = &Queue{}
		s.seed(name)
	}
	return s
}

// seed replaces the random numbers of an entry, so that a run can be repeated.
func (s *limitScene) seed(name string) {
	s.entries[name].Table.rand = rand.New(rand.NewPCG(s.incarnation, 1)).Float64
}

// limit makes an endpoint state a limit for a while from now on.
func (s *limitScene) limit(id string, rate float64, d time.Duration) *limitedEndpoint {
	e := s.endpoints[id]
	e.rate, e.begins, e.ends = rate, s.now, s.now+d
	return e
}

func (s *limitScene) after(d time.Duration, name string, run func()) {
	s.later = append(s.later, laterStep{s.now + d, name, s.entries[name], run})
}

// sendTo sends a request to an endpoint. release runs when the answer has ended.
func (s *limitScene) sendTo(name, id string, release func()) {
	target, sentAt := s.endpoints[id], s.now
	target.arrive(s.now, name)
	s.after(headTime, name, func() {
		a := Advice{}
		if target.limited(s.now) {
			a = Advice{Limited: true, RateLimit: target.rate}
			if _, known := target.told[name]; !known {
				target.told[name] = s.now
			}
		}
		s.entries[name].RecordAdvice(s.now, sentAt, id, a)
		s.sendMessages(name)
	})
	s.after(answerTime, name, func() {
		release()
		s.sendMessages(name)
	})
}

// requestModel sends a request for a model through an entry.
func (s *limitScene) requestModel(name, model string) {
	q := &Query{Service: "models", Model: model, PromptTokens: 1, HeldTokens: 1}
	e := s.entries[name]
	s.request(name, q, 600*time.Millisecond, 2*time.Second, func(o Outcome) {
		if o.Grant == nil {
			s.refused++
			return
		}
		s.sendTo(name, o.Grant.EndpointID, func() { e.Release(s.now, o.Grant, Succeeded, false) })
	})
}

// requestService sends a request for a plain service through an entry.
func (s *limitScene) requestService(name string) {
	e, q := s.entries[name], s.queues[name]
	w := &Waiter{Query: &Query{Service: "plain", Overcommit: 1.5}, Target: s.now + 100*time.Millisecond, Deadline: s.now + 500*time.Millisecond}
	w.Granted = func(r *Reservation) {
		s.sendTo(name, r.EndpointID, func() { e.Table.Release(s.now, r, Succeeded, "", "") })
	}
	q.Add(w)
	q.Dispatch(s.now, e.Table)
	s.after(500*time.Millisecond, name, func() {
		if q.Remove(w) {
			s.refused++
		}
	})
}

// play calls send with entries in random order, at an interval between two calls.
func (s *limitScene) play(t *rapid.T, d, interval time.Duration, send func(name string)) {
	for end := s.now + d; s.now < end; {
		if s.now%interval == 0 {
			send(s.names[proptest.IntN(t, len(s.names))])
		}
		s.run(time.Millisecond)
		due := s.later
		s.later = nil
		for _, step := range due {
			switch {
			case step.at > s.now:
				s.later = append(s.later, step)
			case s.entries[step.name] == step.entry:
				step.run()
			}
		}
		if s.now%TickInterval == 0 {
			for _, name := range s.names {
				s.queues[name].Dispatch(s.now, s.entries[name].Table)
			}
		}
	}
}

// checkLimits fails if an endpoint got more than it may, or much less than its limit
// between from and to while there was more to do.
func (s *limitScene) checkLimits(t *rapid.T, from, to time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		e := s.endpoints[id]
		if e.rate == 0 {
			continue
		}
		if got := e.worstWindow(); got > e.allowed() {
			t.Fatalf("endpoint %s with a limit of %.1f a second got %d requests in %v, allowed are %d", id, e.rate, got, limitWindow, e.allowed())
		}
		want := int(0.5 * e.rate * (to - from).Seconds())
		if got := e.arrivalsBetween(from, to); got < want {
			t.Fatalf("endpoint %s with a limit of %.1f a second got %d requests in %v, want at least %d", id, e.rate, got, to-from, want)
		}
	}
}

// Guards against engines that get more requests than the limit that they state,
// summed over all entries, also when the broker of a model is replaced.
func TestEnginesGetNoMoreThanTheyState(t *testing.T) {
	for _, entries := range []int{9, 60} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			proptest.Check(t, 4, 1, func(t *rapid.T) {
				list := []Endpoint{engineWith("e1", 48, "m1", "m2"), engineWith("e2", 48, "m1", "m3"), engineWith("e3", 48, "m2", "m3")}
				s := newLimitScene(entries, list)
				send := func(name string) { s.requestModel(name, fmt.Sprint("m", 1+proptest.IntN(t, 3))) }
				s.play(t, 2*time.Second, 20*time.Millisecond, send)
				from := s.now
				for _, id := range []string{"e1", "e2"} {
					s.limit(id, 2+3*float64(proptest.IntN(t, 100))/100, 15*time.Second)
				}
				s.play(t, 7*time.Second, 20*time.Millisecond, send)
				broker := s.entries[s.names[0]].Owners.BrokerOf(s.now, modelKey{"models", "m1"})
				s.start(broker)
				s.seed(broker)
				delete(s.endpoints["e1"].told, broker)
				delete(s.endpoints["e2"].told, broker)
				s.play(t, 8*time.Second, 20*time.Millisecond, send)
				s.checkLimits(t, from+graceTime, s.now)
				ended := s.now
				s.play(t, 10*time.Second, 20*time.Millisecond, send)
				for _, id := range []string{"e1", "e2"} {
					if got := s.endpoints[id].arrivalsBetween(ended+5*time.Second, s.now); got < 35 {
						t.Fatalf("%s got %d requests in 5 s after its limit had ended", id, got)
					}
				}
			})
		})
	}
}

func plainEndpoint(id string) Endpoint {
	return Endpoint{Endpoint: directory.Endpoint{ID: id, Service: "plain", Address: id + ":1", Slots: 6}}
}

// Guards against endpoints of a plain service, where no broker grants slots, that
// get more requests than the limit that they state, summed over all entries.
func TestPlainEndpointsGetNoMoreThanTheyState(t *testing.T) {
	for _, entries := range []int{9, 60} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			proptest.Check(t, 4, 1, func(t *rapid.T) {
				s := newLimitScene(entries, []Endpoint{plainEndpoint("p1"), plainEndpoint("p2"), plainEndpoint("p3")})
				s.play(t, 2*time.Second, 25*time.Millisecond, s.requestService)
				from := s.now
				for _, id := range []string{"p1", "p2", "p3"} {
					s.limit(id, 2+3*float64(proptest.IntN(t, 100))/100, 20*time.Second)
				}
				s.play(t, 20*time.Second, 25*time.Millisecond, s.requestService)
				s.checkLimits(t, from+graceTime, s.now)
				ended := s.now
				s.play(t, 15*time.Second, 25*time.Millisecond, s.requestService)
				for _, id := range []string{"p1", "p2", "p3"} {
					if got := s.endpoints[id].arrivalsBetween(ended+10*time.Second, s.now); got < 30 {
						t.Fatalf("%s got %d requests in 5 s after its limit had ended", id, got)
					}
				}
			})
		})
	}
}

// Guards against an entry that was frozen, reads an old answer and ends a limit, or
// the leaving of an endpoint, for all entries.
func TestOldAnswerEndsNeitherALimitNorLeaving(t *testing.T) {
	f := newFleet(1, []Endpoint{plainEndpoint("p1")})
	e := f.entries[f.names[0]]
	endpoint := e.Table.endpoints["p1"]
	e.RecordAdvice(10*time.Second, 9*time.Second, "p1", Advice{Limited: true, RateLimit: 3, Leaving: true})
	e.RecordAdvice(12*time.Second, 9*time.Second, "p1", Advice{})
	if !endpoint.advice.Limited || !endpoint.leaving(12*time.Second) {
		t.Fatalf("after an answer to an older request: %+v, leaving %v", endpoint.advice, endpoint.leaving(12*time.Second))
	}
	e.RecordAdvice(13*time.Second, 12*time.Second, "p1", Advice{})
	if endpoint.advice.Limited {
		t.Fatal("the answer to a newer request did not end the limit")
	}
	for now := 13 * time.Second; now < 10*time.Second+LeavingTime; now += time.Second {
		messages := e.Table.adviceMessages(now)
		e.Table.applyAdvice(now, messages)
	}
	if end := 10*time.Second + LeavingTime; !endpoint.leaving(end-time.Second) || endpoint.leaving(end) {
		t.Fatalf("leaving until %v, want %v", endpoint.leavingUntil, end)
	}
}
