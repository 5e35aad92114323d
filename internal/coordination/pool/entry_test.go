package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/coordination/directory"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// fleet is a set of entries whose messages a test delays, loses and repeats.
type fleet struct {
	now     time.Duration
	entries map[string]*Entry
	names   []string
	list    []Endpoint
	mail    []posted
	// fate says what becomes of a message: the delay of each copy that arrives.
	fate func(from, to string) []time.Duration
	next uint64 // incarnation
}

type posted struct {
	at       time.Duration
	from, to string
	data     []byte
}

const oneWay = time.Millisecond

func newFleet(n int, list []Endpoint) *fleet {
	f := &fleet{entries: map[string]*Entry{}, list: list}
	f.fate = func(string, string) []time.Duration { return []time.Duration{oneWay} }
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("10.0.0.%d:7600", i+1))
	}
	for _, name := range f.names {
		f.start(name)
	}
	return f
}

// start gives an entry a new incarnation, which knows the list of endpoints and
// of entries.
func (f *fleet) start(name string) {
	f.next++
	e := NewEntry(Sender{name, f.next}, "dc")
	e.Owners.SetEntries(f.names)
	e.SetEndpoints(f.now, f.list)
	f.entries[name] = e
}

func (f *fleet) post(from string) {
	e := f.entries[from]
	for _, m := range e.Messages() {
		data, err := proto.Marshal(m.Message)
		if err != nil {
			panic(err)
		}
		for _, delay := range f.fate(from, m.To) {
			f.mail = append(f.mail, posted{f.now + delay, from, m.To, data})
		}
	}
}

// run lets time pass in steps of a millisecond.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += time.Millisecond
		due := f.mail
		f.mail = nil
		for _, p := range due {
			if p.at > f.now {
				f.mail = append(f.mail, p)
				continue
			}
			e := f.entries[p.to]
			if e == nil {
				continue
			}
			m := &peerv1.PlaceMessage{}
			if err := proto.Unmarshal(p.data, m); err != nil {
				panic(err)
			}
			e.Step(f.now, m)
			f.post(p.to)
		}
		if f.now%TickInterval != 0 {
			continue
		}
		for _, name := range f.names {
			if e := f.entries[name]; e != nil {
				e.Tick(f.now)
				f.post(name)
			}
		}
	}
}

func (f *fleet) ask(from string, q *Query, target, wait time.Duration, outcome func(Outcome)) *SlotRequest {
	a := f.entries[from].RequestSlot(f.now, q, f.now+target, f.now+wait, outcome)
	f.post(from)
	return a
}

func (f *fleet) done(from string, p *Grant, r Result) {
	f.entries[from].Release(f.now, p, r, false)
	f.post(from)
}

func (f *fleet) begun(from string, p *Grant) {
	f.entries[from].MarkPrefilled(f.now, p)
	f.post(from)
}

// givenOut is what all brokers together have given out at an endpoint.
func (f *fleet) givenOut(id string) int {
	n := 0
	for _, e := range f.entries {
		n += e.Table.endpoints[id].own.Requests
	}
	return n
}

func engineWith(id string, slots int, models ...string) Endpoint {
	e := Endpoint{Endpoint: directory.Endpoint{ID: id, Service: "models", Address: id + ":1", Slots: slots, DataCentre: "dc"}, KVTotal: 1_000_000}
	for _, m := range models {
		e.Models = append(e.Models, directory.Resident{Model: m})
	}
	return e
}

// Entries that each decided alone would take the same free place in the same
// instant. With a broker an engine never gets more requests than it has slots.
func TestEnginesAreNotOverfilled(t *testing.T) {
	f := newFleet(9, []Endpoint{engineWith("e1", 3, "m"), engineWith("e2", 3, "m")})
	granted := 0
	for range 4 {
		for _, name := range f.names {
			f.ask(name, modelQuery(1, 1), time.Second, time.Second, func(o Outcome) {
				if o.Grant != nil {
					granted++
				}
			})
		}
	}
	f.run(100 * time.Millisecond)
	if granted != 6 || f.givenOut("e1") != 3 || f.givenOut("e2") != 3 {
		t.Fatalf("%d places, %d and %d at the engines", granted, f.givenOut("e1"), f.givenOut("e2"))
	}
}

// load is a stream of requests of one model, with what became of them.
type load struct {
	model         string
	ends          time.Duration // of the requests; zero for none
	every         time.Duration // between two requests
	runs          time.Duration // of a request at its engine
	target, wait  time.Duration
	asked, inTime int
	late, refused int
	worstWait     time.Duration
	// refusedAfter is the longest time until a refusal, comeBack the shortest advice
	// to come back.
	refusedAfter, comeBack time.Duration
}

// play sends loads from all entries in turn.
func (f *fleet) play(d time.Duration, loads ...*load) {
	type running struct {
		ends  time.Duration
		entry string
		place *Grant
	}
	var open []running
	for end := f.now + d; f.now < end; {
		for _, l := range loads {
			if f.now%l.every != 0 || (l.ends != 0 && f.now >= l.ends) {
				continue
			}
			name := f.names[l.asked%len(f.names)]
			asked := f.now
			l.asked++
			// The broker's answer has to arrive in time, too.
			f.ask(name, &Query{Service: "models", Model: l.model, PromptTokens: 1, HeldTokens: 1}, l.target-4*oneWay, l.wait, func(o Outcome) {
				waited := f.now - asked
				switch {
				case o.Grant == nil:
					l.refused++
					l.refusedAfter = max(l.refusedAfter, waited)
					if l.comeBack == 0 || o.RetryAfter < l.comeBack {
						l.comeBack = o.RetryAfter
					}
					return
				case waited <= l.target:
					l.inTime++
				default:
					l.late++
				}
				l.worstWait = max(l.worstWait, waited)
				open = append(open, running{f.now + l.runs, name, o.Grant})
			})
		}
		f.run(time.Millisecond)
		open = slices.DeleteFunc(open, func(r running) bool {
			if f.now < r.ends {
				return false
			}
			f.done(r.entry, r.place, Succeeded)
			return true
		})
	}
}

// Twice the load that an engine can carry: the places go to requests that can
// still be in time, at whatever entry they wait. Entries that dispatch alone
// give most places to requests that are late already.
func TestOverloadKeepsAnswersInTime(t *testing.T) {
	f := newFleet(9, []Endpoint{engineWith("e1", 4, "m")})
	l := &load{model: "m", every: 25 * time.Millisecond, runs: 200 * time.Millisecond, target: 400 * time.Millisecond, wait: 2 * time.Second}
	f.play(20*time.Second, l)
	places := int(20 * time.Second / l.runs * 4)
	if l.inTime < places*9/10 || l.late > places/20 {
		t.Fatalf("%d places: %d in time, %d late, %d refused of %d", places, l.inTime, l.late, l.refused, l.asked)
	}
}

// Under lasting overload a request that can no longer be in time gets no place
// before others that can. It is refused then, and not at the end of its caller's
// patience, and does not come back before new copies may have come.
func TestOverloadRefusesLateRequestsAtOnce(t *testing.T) {
	f := newFleet(9, []Endpoint{engineWith("e1", 4, "m")})
	l := &load{model: "m", every: 25 * time.Millisecond, runs: 200 * time.Millisecond, target: 400 * time.Millisecond, wait: 5 * time.Second}
	f.play(20*time.Second, l)
	if l.refused == 0 || l.refusedAfter > l.target+overloadTime+2*TickInterval || l.comeBack < comeBackMin {
		t.Fatalf("%d refused after up to %v, to come back in %v", l.refused, l.refusedAfter, l.comeBack)
	}
}

// A burst that the places can take in late, but whole, must not be refused.
func TestBurstIsServedLate(t *testing.T) {
	f := newFleet(9, []Endpoint{engineWith("e1", 4, "m")})
	burst := &load{
		model: "m", ends: 400 * time.Millisecond, every: 10 * time.Millisecond, runs: 200 * time.Millisecond,
		target: 400 * time.Millisecond, wait: 5 * time.Second,
	}
	f.play(4*time.Second, burst)
	if burst.refused != 0 || burst.late == 0 {
		t.Fatalf("%d in time, %d late, %d refused", burst.inTime, burst.late, burst.refused)
	}
}

// A busy model must not keep the other models of its engines from being served,
// though its broker learns of each free place first.
func TestSharedEngineServesTheRareModel(t *testing.T) {
	f := newFleet(9, []Endpoint{engineWith("e1", 4, "busy", "rare")})
	busy := &load{model: "busy", every: 20 * time.Millisecond, runs: 200 * time.Millisecond, target: 400 * time.Millisecond, wait: 2 * time.Second}
	rare := &load{model: "rare", every: 500 * time.Millisecond, runs: 200 * time.Millisecond, target: 400 * time.Millisecond, wait: 2 * time.Second}
	f.play(20*time.Second, busy, rare)
	if rare.inTime < rare.asked*9/10 {
		t.Fatalf("rare: %d in time, %d late, %d refused of %d", rare.inTime, rare.late, rare.refused, rare.asked)
	}
}

// The loss of a broker delays requests by the time in which its silence is
// noticed, and no longer.
func TestSilentBrokerIsReplaced(t *testing.T) {
	f := newFleet(5, []Endpoint{engineWith("e1", 4, "m")})
	broker := f.entries[f.names[0]].Owners.BrokerOf(0, modelKey{"models", "m"})
	f.entries[broker] = nil
	delete(f.entries, broker)
	f.names = slices.DeleteFunc(f.names, func(n string) bool { return n == broker })
	var took time.Duration
	f.ask(f.names[0], modelQuery(1, 1), time.Second, time.Second, func(o Outcome) {
		if o.Grant != nil {
			took = f.now
		}
	})
	f.run(500 * time.Millisecond)
	if took == 0 || took > brokerSilent+2*TickInterval {
		t.Fatalf("a place after %v", took)
	}
}

// An entry that cannot reach an engine must not take it away from the others,
// and must not be sent there again at once.
func TestOneEntrysFailuresAreItsOwn(t *testing.T) {
	f := newFleet(3, []Endpoint{engineWith("e1", 4, "m"), engineWith("e2", 4, "m")})
	cut, other := f.names[0], f.names[1]
	at := map[string]map[string]int{cut: {}, other: {}}
	ask := func(name string) {
		f.ask(name, modelQuery(1, 1), time.Second, time.Second, func(o Outcome) {
			if o.Grant == nil {
				return
			}
			at[name][o.Grant.EndpointID]++
			result := Succeeded
			if name == cut && o.Grant.EndpointID == "e1" {
				result = Failed
			}
			f.done(name, o.Grant, result)
		})
		f.run(5 * time.Millisecond)
	}
	for range 20 {
		ask(cut)
	}
	for range 40 {
		ask(other)
	}
	if at[cut]["e1"] > failuresToAvoid+1 {
		t.Errorf("the entry was sent to the engine that it cannot reach %d times", at[cut]["e1"])
	}
	if at[other]["e1"] < 10 {
		t.Errorf("the other entry got %d of 40 places at the engine", at[other]["e1"])
	}
}

// A request for a model that will be resident too late is refused with the time
// at which it is.
func TestLoadingModelIsRefusedAtOnce(t *testing.T) {
	f := newFleet(3, []Endpoint{engineWith("e1", 4, "m")})
	var got Outcome
	f.ask(f.names[0], &Query{Service: "models", Model: "absent"}, time.Second, 2*time.Second, func(o Outcome) { got = o })
	f.run(10 * time.Millisecond)
	asked := 0
	for _, e := range f.entries {
		for _, n := range e.TakeMissingModels() {
			asked++
			e.SetReady(f.now, n.Service, n.Model, f.now+5*time.Second)
		}
	}
	for _, name := range f.names {
		f.post(name)
	}
	f.run(10 * time.Millisecond)
	if asked != 1 || got.Refusal != resultcode.ModelLoading || got.RetryAfter < 4*time.Second {
		t.Fatalf("%d entries ask for the load; %+v", asked, got)
	}
}

// Whatever is lost, repeated or reordered and whoever restarts: each request has
// one outcome at most, and once everybody is quiet nothing is counted at any
// engine any more, or it would fill up without requests.
func TestPlacesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(4, []Endpoint{engineWith("e1", 2, "m", "n"), engineWith("e2", 2, "n")})
		loss := rapid.IntRange(0, 30).Draw(t, "loss in 100")
		f.fate = func(string, string) []time.Duration {
			if rapid.IntRange(0, 99).Draw(t, "fate") < loss {
				return nil
			}
			copies := []time.Duration{time.Duration(rapid.IntRange(1, 30).Draw(t, "delay")) * time.Millisecond}
			if rapid.IntRange(0, 9).Draw(t, "repeated") == 0 {
				copies = append(copies, copies[0]+7*time.Millisecond)
			}
			return copies
		}
		type request struct {
			ask      *SlotRequest
			entry    string
			of       *Entry
			outcomes int
			place    *Grant
			ended    bool
		}
		var all []*request
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			f.run(time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * time.Millisecond)
			name := rapid.SampledFrom(f.names).Draw(t, "entry")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				f.start(name)
			case 1, 2:
				for _, r := range all {
					if r.entry == name && r.of == f.entries[name] && r.outcomes == 0 && !r.ended {
						r.ended = r.of.Cancel(f.now, r.ask)
						f.post(name)
						break
					}
				}
			case 3, 4, 5:
				for _, r := range all {
					if r.of != f.entries[r.entry] || r.place == nil || r.ended {
						continue
					}
					r.ended = true
					f.begun(r.entry, r.place)
					f.done(r.entry, r.place, Succeeded)
					break
				}
			default:
				r := &request{entry: name, of: f.entries[name]}
				q := &Query{Service: "models", Model: rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model"), PromptTokens: 10, HeldTokens: 10}
				r.ask = f.ask(name, q, 100*time.Millisecond, 400*time.Millisecond, func(o Outcome) {
					r.outcomes++
					r.place = o.Grant
				})
				all = append(all, r)
			}
		}
		f.run(500 * time.Millisecond)
		for _, r := range all {
			if r.outcomes > 1 {
				t.Fatalf("%d outcomes", r.outcomes)
			}
			if r.of != f.entries[r.entry] || r.ended {
				continue
			}
			if r.place != nil {
				f.done(r.entry, r.place, Succeeded)
			} else if r.outcomes == 0 {
				r.of.Cancel(f.now, r.ask)
				f.post(r.entry)
			}
		}
		f.run(placeAge + 2*refreshInterval)
		for _, id := range []string{"e1", "e2"} {
			if n := f.givenOut(id); n != 0 {
				t.Fatalf("%d places are still counted at %s", n, id)
			}
		}
		for name, e := range f.entries {
			if len(e.client.asks)+len(e.client.places)+len(e.broker.asking)+len(e.broker.places) != 0 {
				t.Fatalf("%s keeps requests or places", name)
			}
		}
	})
}
