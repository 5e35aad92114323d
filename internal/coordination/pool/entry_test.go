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

// fleet is a set of entries connected by a network that can delay, lose and
// duplicate messages.
type fleet struct {
	now      time.Duration
	entries  map[string]*Entry
	names    []string
	list     []Endpoint
	inFlight []delivery
	// delays returns the delay of each copy of a message that arrives; none if it
	// is lost.
	delays      func(from, to string) []time.Duration
	incarnation uint64 // number of the last one
}

type delivery struct {
	at       time.Duration
	from, to string
	data     []byte
}

const oneWay = time.Millisecond

func newFleet(n int, list []Endpoint) *fleet {
	f := &fleet{entries: map[string]*Entry{}, list: list}
	f.delays = func(string, string) []time.Duration { return []time.Duration{oneWay} }
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("10.0.0.%d:7600", i+1))
	}
	for _, name := range f.names {
		f.start(name)
	}
	return f
}

// start starts a new incarnation of an entry that knows all endpoints and
// entries.
func (f *fleet) start(name string) {
	f.incarnation++
	e := NewEntry(Sender{name, f.incarnation}, "dc")
	e.Owners.SetEntries(f.names)
	e.SetEndpoints(f.now, f.list)
	f.entries[name] = e
}

func (f *fleet) sendMessages(from string) {
	e := f.entries[from]
	for _, m := range e.Messages() {
		data, err := proto.Marshal(m.Message)
		if err != nil {
			panic(err)
		}
		for _, delay := range f.delays(from, m.To) {
			f.inFlight = append(f.inFlight, delivery{f.now + delay, from, m.To, data})
		}
	}
}

// run advances time in steps of a millisecond, delivers messages and ticks
// entries.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += time.Millisecond
		due := f.inFlight
		f.inFlight = nil
		for _, msg := range due {
			if msg.at > f.now {
				f.inFlight = append(f.inFlight, msg)
				continue
			}
			e := f.entries[msg.to]
			if e == nil {
				continue
			}
			m := &peerv1.PlaceMessage{}
			if err := proto.Unmarshal(msg.data, m); err != nil {
				panic(err)
			}
			e.Step(f.now, m)
			f.sendMessages(msg.to)
		}
		if f.now%TickInterval != 0 {
			continue
		}
		for _, name := range f.names {
			if e := f.entries[name]; e != nil {
				e.Tick(f.now)
				f.sendMessages(name)
			}
		}
	}
}

func (f *fleet) request(from string, q *Query, target, wait time.Duration, outcome func(Outcome)) *SlotRequest {
	req := f.entries[from].RequestSlot(f.now, q, f.now+target, f.now+wait, outcome)
	f.sendMessages(from)
	return req
}

func (f *fleet) release(from string, grant *Grant, r Result) {
	f.entries[from].Release(f.now, grant, r, false)
	f.sendMessages(from)
}

func (f *fleet) markPrefilled(from string, grant *Grant) {
	f.entries[from].MarkPrefilled(f.now, grant)
	f.sendMessages(from)
}

// reservedAt returns the number of slots that all brokers together have granted
// at an endpoint.
func (f *fleet) reservedAt(id string) int {
	n := 0
	for _, e := range f.entries {
		n += e.Table.endpoints[id].reserved.Requests
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

// Entries that decide alone would take the same free slot at the same time.
// With a broker an engine must never get more requests than it has slots.
func TestEnginesAreNotOverfilled(t *testing.T) {
	f := newFleet(9, []Endpoint{engineWith("e1", 3, "m"), engineWith("e2", 3, "m")})
	granted := 0
	for range 4 {
		for _, name := range f.names {
			f.request(name, modelQuery(1, 1), time.Second, time.Second, func(o Outcome) {
				if o.Grant != nil {
					granted++
				}
			})
		}
	}
	f.run(100 * time.Millisecond)
	if granted != 6 || f.reservedAt("e1") != 3 || f.reservedAt("e2") != 3 {
		t.Fatalf("%d slots granted, %d and %d counted at the engines, want 6, 3 and 3", granted, f.reservedAt("e1"), f.reservedAt("e2"))
	}
}

// load is a stream of requests for one model, with the counts of their results.
type load struct {
	model         string
	sendFor       time.Duration // no requests are sent afterwards; zero for no limit
	interval      time.Duration // between two requests
	duration      time.Duration // of a request at its engine
	target, wait  time.Duration
	sent, onTime  int
	late, refused int
	worstWait     time.Duration
	// maxRefusalTime is the longest time until a refusal, minRetryAfter the
	// shortest retry-after time.
	maxRefusalTime, minRetryAfter time.Duration
}

// play sends loads through all entries in turn.
func (f *fleet) play(d time.Duration, loads ...*load) {
	type running struct {
		ends  time.Duration
		entry string
		grant *Grant
	}
	var open []running
	for end := f.now + d; f.now < end; {
		for _, l := range loads {
			if f.now%l.interval != 0 || (l.sendFor != 0 && f.now >= l.sendFor) {
				continue
			}
			name := f.names[l.sent%len(f.names)]
			start := f.now
			l.sent++
			// The broker's answer has to arrive before the target, too.
			f.request(name, &Query{Service: "models", Model: l.model, PromptTokens: 1, HeldTokens: 1}, l.target-4*oneWay, l.wait, func(o Outcome) {
				waited := f.now - start
				switch {
				case o.Grant == nil:
					l.refused++
					l.maxRefusalTime = max(l.maxRefusalTime, waited)
					if l.minRetryAfter == 0 || o.RetryAfter < l.minRetryAfter {
						l.minRetryAfter = o.RetryAfter
					}
					return
				case waited <= l.target:
					l.onTime++
				default:
					l.late++
				}
				l.worstWait = max(l.worstWait, waited)
				open = append(open, running{f.now + l.duration, name, o.Grant})
			})
		}
		f.run(time.Millisecond)
		// A release may grant a slot at once, which appends to open.
		at := open
		open = nil
		for _, r := range at {
			if f.now < r.ends {
				open = append(open, r)
				continue
			}
			f.release(r.entry, r.grant, Succeeded)
		}
	}
}

// At twice the load that an engine can carry, slots must go to requests that
// can still be on time, whichever entry they wait at. Entries that dispatch
// alone would give most slots to late requests.
func TestOverloadKeepsAnswersOnTime(t *testing.T) {
	f := newFleet(9, []Endpoint{engineWith("e1", 4, "m")})
	l := &load{model: "m", interval: 25 * time.Millisecond, duration: 200 * time.Millisecond, target: 400 * time.Millisecond, wait: 2 * time.Second}
	f.play(20*time.Second, l)
	slots := int(20 * time.Second / l.duration * 4)
	if l.onTime < slots*9/10 || l.late > slots/20 {
		t.Fatalf("%d slots: %d on time, %d late, %d refused of %d", slots, l.onTime, l.late, l.refused, l.sent)
	}
}

// Under lasting overload a late request gets no slot before those that can
// still be on time. It must be refused soon and not at its deadline, with a
// retry-after time long enough for new replicas to load.
func TestOverloadRefusesLateRequestsAtOnce(t *testing.T) {
	f := newFleet(9, []Endpoint{engineWith("e1", 4, "m")})
	l := &load{model: "m", interval: 25 * time.Millisecond, duration: 200 * time.Millisecond, target: 400 * time.Millisecond, wait: 5 * time.Second}
	f.play(20*time.Second, l)
	if l.refused == 0 || l.maxRefusalTime > l.target+overloadDelay+2*TickInterval || l.minRetryAfter < retryAfterMin {
		t.Fatalf("%d refused after up to %v, with a retry-after time of at least %v", l.refused, l.maxRefusalTime, l.minRetryAfter)
	}
}

// A burst that can be served completely, though late, must not be refused.
func TestBurstIsServedLate(t *testing.T) {
	f := newFleet(9, []Endpoint{engineWith("e1", 4, "m")})
	burst := &load{
		model: "m", sendFor: 400 * time.Millisecond, interval: 10 * time.Millisecond, duration: 200 * time.Millisecond,
		target: 400 * time.Millisecond, wait: 5 * time.Second,
	}
	f.play(4*time.Second, burst)
	if burst.refused != 0 || burst.late == 0 {
		t.Fatalf("%d on time, %d late, %d refused", burst.onTime, burst.late, burst.refused)
	}
}

// A busy model must not starve the other models of its engines, although its
// broker is the first to learn of each free slot.
func TestSharedEngineServesTheRareModel(t *testing.T) {
	f := newFleet(9, []Endpoint{engineWith("e1", 4, "busy", "rare")})
	busy := &load{model: "busy", interval: 20 * time.Millisecond, duration: 200 * time.Millisecond, target: 400 * time.Millisecond, wait: 2 * time.Second}
	rare := &load{model: "rare", interval: 500 * time.Millisecond, duration: 200 * time.Millisecond, target: 400 * time.Millisecond, wait: 2 * time.Second}
	f.play(20*time.Second, busy, rare)
	if rare.onTime < rare.sent*9/10 {
		t.Fatalf("rare model: %d on time, %d late, %d refused of %d", rare.onTime, rare.late, rare.refused, rare.sent)
	}
}

// The loss of a broker must not delay requests much longer than
// brokerTimeout.
func TestSilentBrokerIsReplaced(t *testing.T) {
	f := newFleet(5, []Endpoint{engineWith("e1", 4, "m")})
	broker := f.entries[f.names[0]].Owners.BrokerOf(0, modelKey{"models", "m"})
	f.entries[broker] = nil
	delete(f.entries, broker)
	f.names = slices.DeleteFunc(f.names, func(n string) bool { return n == broker })
	var took time.Duration
	f.request(f.names[0], modelQuery(1, 1), time.Second, time.Second, func(o Outcome) {
		if o.Grant != nil {
			took = f.now
		}
	})
	f.run(500 * time.Millisecond)
	if took == 0 || took > brokerTimeout+2*TickInterval {
		t.Fatalf("slot granted after %v", took)
	}
}

// An entry that cannot reach an engine must not make the other entries avoid
// it, and must itself not be sent there again at once.
func TestFailuresOfOneEntryDoNotEjectEndpoint(t *testing.T) {
	f := newFleet(3, []Endpoint{engineWith("e1", 4, "m"), engineWith("e2", 4, "m")})
	cut, other := f.names[0], f.names[1]
	granted := map[string]map[string]int{cut: {}, other: {}}
	request := func(name string) {
		f.request(name, modelQuery(1, 1), time.Second, time.Second, func(o Outcome) {
			if o.Grant == nil {
				return
			}
			granted[name][o.Grant.EndpointID]++
			result := Succeeded
			if name == cut && o.Grant.EndpointID == "e1" {
				result = Failed
			}
			f.release(name, o.Grant, result)
		})
		f.run(5 * time.Millisecond)
	}
	for range 20 {
		request(cut)
	}
	for range 40 {
		request(other)
	}
	if granted[cut]["e1"] > failuresBeforeAvoid+1 {
		t.Errorf("the entry got %d slots at the engine that it cannot reach", granted[cut]["e1"])
	}
	if granted[other]["e1"] < 10 {
		t.Errorf("the other entry got only %d of 40 slots at the engine", granted[other]["e1"])
	}
}

// A request for a model that will be ready too late must be refused at once,
// with the time until the model is ready.
func TestLoadingModelIsRefusedAtOnce(t *testing.T) {
	f := newFleet(3, []Endpoint{engineWith("e1", 4, "m")})
	var got Outcome
	f.request(f.names[0], &Query{Service: "models", Model: "absent"}, time.Second, 2*time.Second, func(o Outcome) { got = o })
	f.run(10 * time.Millisecond)
	loads := 0
	for _, e := range f.entries {
		for _, n := range e.TakeMissingModels() {
			loads++
			e.SetReady(f.now, n, f.now+5*time.Second)
		}
	}
	for _, name := range f.names {
		f.sendMessages(name)
	}
	f.run(10 * time.Millisecond)
	if loads != 1 || got.Refusal != resultcode.ModelLoading || got.RetryAfter < 4*time.Second {
		t.Fatalf("%d entries report the missing model, want 1; outcome %+v", loads, got)
	}
}

// Whichever messages are lost, duplicated or reordered and whichever entries
// restart, a request must have at most one outcome. Once all requests have
// ended, no slot may remain counted at an engine, or it would fill up without
// requests.
func TestSlotsAreReleasedUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := map[string]string{"e1": "v1", "e2": "v2"}
		f := newFleet(4, []Endpoint{versioned("e1", versions["e1"], 2, "m", "n"), versioned("e2", versions["e2"], 2, "n")})
		loss := rapid.IntRange(0, 30).Draw(t, "loss in 100")
		f.delays = func(string, string) []time.Duration {
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
			slotRequest *SlotRequest
			entry       string
			incarnation *Entry
			outcomes    int
			grant       *Grant
			ended       bool
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
					if r.entry == name && r.incarnation == f.entries[name] && r.outcomes == 0 && !r.ended {
						r.ended = r.incarnation.Cancel(f.now, r.slotRequest)
						f.sendMessages(name)
						break
					}
				}
			case 3, 4, 5:
				for _, r := range all {
					if r.incarnation != f.entries[r.entry] || r.grant == nil || r.ended {
						continue
					}
					r.ended = true
					f.markPrefilled(r.entry, r.grant)
					f.release(r.entry, r.grant, Succeeded)
					break
				}
			default:
				r := &request{entry: name, incarnation: f.entries[name]}
				q := &Query{Service: "models", Model: rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model"), PromptTokens: 10, HeldTokens: 10}
				q.SoftwareVersion = rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "version")
				r.slotRequest = f.request(name, q, 100*time.Millisecond, 400*time.Millisecond, func(o Outcome) {
					r.outcomes++
					r.grant = o.Grant
					if r.grant != nil && q.SoftwareVersion != "" && versions[r.grant.EndpointID] != q.SoftwareVersion {
						t.Fatalf("slot at %s for a request that is restricted to %s", r.grant.EndpointID, q.SoftwareVersion)
					}
				})
				all = append(all, r)
			}
		}
		f.run(500 * time.Millisecond)
		for _, r := range all {
			if r.outcomes > 1 {
				t.Fatalf("a request has %d outcomes", r.outcomes)
			}
			if r.incarnation != f.entries[r.entry] || r.ended {
				continue
			}
			if r.grant != nil {
				f.release(r.entry, r.grant, Succeeded)
			} else if r.outcomes == 0 {
				r.incarnation.Cancel(f.now, r.slotRequest)
				f.sendMessages(r.entry)
			}
		}
		f.run(grantTTL + 2*refreshInterval)
		for _, id := range []string{"e1", "e2"} {
			if n := f.reservedAt(id); n != 0 {
				t.Fatalf("%d slots are still counted at %s", n, id)
			}
		}
		for name, e := range f.entries {
			if len(e.client.requests)+len(e.client.grants)+len(e.broker.pending)+len(e.broker.granted) != 0 {
				t.Fatalf("%s still has requests or slots", name)
			}
		}
	})
}

// Guards against a slot that stays counted for good when a request waits at a broker
// that learns from a list that the request got its slot elsewhere.
func TestListedSlotEndsTheWaitingRequest(t *testing.T) {
	f := newFleet(1, []Endpoint{engineWith("e1", 1, "m")})
	broker := f.entries[f.names[0]]
	other := Sender{"10.0.0.9:7600", 9}
	step := func(m *peerv1.PlaceMessage) {
		m.Sender, m.Incarnation = other.Address, other.Incarnation
		broker.Step(f.now, m)
	}
	request := func(id uint64) *peerv1.PlaceMessage {
		return &peerv1.PlaceMessage{Requests: []*peerv1.PlaceRequest{{Id: id, Service: "models", Model: "m", TargetMs: 5000, WaitMs: 5000}}}
	}
	step(request(1))
	step(request(2))
	step(&peerv1.PlaceMessage{Held: &peerv1.PlaceList{Places: []*peerv1.HeldPlace{{Id: 1, Endpoint: "e1"}, {Id: 2, Endpoint: "e1"}}}})
	for id := uint64(1); id <= 2; id++ {
		step(&peerv1.PlaceMessage{Reports: []*peerv1.PlaceReport{{Id: id, Released: true}}})
	}
	f.run(time.Second)
	if n := f.reservedAt("e1"); n != 0 {
		t.Fatalf("%d slots are still counted after both requests ended", n)
	}
}
