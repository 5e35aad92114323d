package replica

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/proptest"
	"github.com/radishloom/radishloom/internal/state/fleet"
)

const (
	customer                 = "c"
	rate                     = 1000
	burst                    = 1000
	freshnessLeaseMs         = 4000
	maxAcceptAfterWithdrawal = freshnessLeaseMs * time.Millisecond
)

// world simulates several entries that sync with one state machine. Calls are
// lost before or after they are applied, and responses arrive late or out of
// order. Fleet time never runs faster than real time and sometimes stops.
type world struct {
	t          *rapid.T
	now        time.Duration
	wallOffset time.Duration // added to the wall clocks of the entries
	machine    *fleet.Machine
	logIndex   uint64
	fleetMs    uint64
	entries    []*simEntry
	pending    []response
	// admitted lists the charges at the time of their hold, generated those at the
	// time of the charge, without holds that outlived their lease.
	admitted, generated []charge
	// withdrawnAt is when the key was withdrawn, or -1.
	withdrawnAt time.Duration
}

type simEntry struct {
	core        *core
	holds       []hold
	lastVersion uint64 // highest version seen in force
	incarnation int
}

type hold struct {
	at     time.Duration
	tokens uint64
	// expired is set if the lease expired before the hold ended, so that the
	// account may have counted the tokens as spent before they were generated.
	expired bool
}

type response struct {
	entry  *simEntry
	sentAt Instant
	req    *peerv1.SyncRequest
	resp   *peerv1.SyncResponse
}

type charge struct {
	at     time.Duration
	tokens uint64
}

func newWorld(t *rapid.T, faults coreFaults) *world {
	w := &world{t: t, machine: fleet.New(), withdrawnAt: -1}
	w.apply(&statev1.Command{RequestId: "setup", Op: &statev1.Command_ConfigChange{ConfigChange: &statev1.ConfigChange{
		Upserts: &statev1.Config{
			Customers: []*statev1.Customer{{Name: customer, RateTokensPerSecond: rate, BurstTokens: burst}},
			Keys:      []*statev1.Key{{Id: "k", Customer: customer, SecretSha256: make([]byte, 32)}},
		},
	}}})
	for i := range 3 {
		e := &simEntry{core: newCore(&statev1.Session{Vm: fmt.Sprint("vm", i), Incarnation: "0"}, half)}
		e.core.faults = faults
		w.entries = append(w.entries, e)
	}
	return w
}

// half replaces the random source of the entries.
func half(n int64) int64 { return n / 2 }

func (w *world) apply(c *statev1.Command) *statev1.Result {
	w.logIndex++
	c.FleetTimeMs = w.fleetMs
	return w.machine.Apply(w.logIndex, c)
}

func (w *world) instant() Instant {
	return Instant{Mono: w.now, Wall: time.Unix(0, 0).Add(w.now + w.wallOffset)}
}

func (w *world) entry() *simEntry {
	return rapid.SampledFrom(w.entries).Draw(w.t, "entry")
}

// sync applies one call of an entry unless the request is lost. The response is
// delivered later, or is lost.
func (w *world) sync(e *simEntry, req *peerv1.SyncRequest) {
	if req == nil || rapid.IntRange(0, 9).Draw(w.t, "lost request") == 0 {
		return
	}
	sentAt := w.instant()
	result := w.apply(&statev1.Command{Op: &statev1.Command_SyncBatch{SyncBatch: &statev1.SyncBatch{
		Entries: []*statev1.EntrySync{req.GetEntry()},
	}}})
	resp := &peerv1.SyncResponse{
		Delta:         w.machine.DeltaSince(req.GetConfigVersion()),
		ConfigVersion: w.machine.Config().GetVersion(),
		Entry:         result.GetSyncs()[0],
		LeaseMs:       freshnessLeaseMs,
	}
	if rapid.IntRange(0, 9).Draw(w.t, "lost answer") > 0 {
		w.pending = append(w.pending, response{e, sentAt, req, resp})
	}
}

func (w *world) deliverOne() {
	if len(w.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.pending)-1).Draw(w.t, "answer")
	a := w.pending[i]
	w.pending = append(w.pending[:i], w.pending[i+1:]...)
	out, err := a.entry.core.handleResponse(a.sentAt, w.instant(), a.req, a.resp)
	if err != nil {
		return
	}
	if out.sessionEnded {
		a.entry.incarnation++
		a.entry.core.startSession(&statev1.Session{Vm: a.entry.core.session.GetVm(), Incarnation: fmt.Sprint(a.entry.incarnation)})
	}
}

// exchange is a usage call of one entry, delivery of all pending responses, and
// some holds by that entry.
func (w *world) exchange() { w.exchangeWith(w.entry(), 3) }

func (w *world) exchangeWith(e *simEntry, holds int) {
	e.core.ledger.setWanted(customer, burst)
	w.sync(e, e.core.usageRequest(w.now))
	for len(w.pending) > 0 {
		w.deliverOne()
	}
	for range holds {
		w.holdAt(e)
	}
}

// isolate cuts off an entry with a full lease until the lease has expired. Then
// the entry polls and admits requests while another entry does so too.
func (w *world) isolate() {
	e, other := w.entry(), w.entry()
	w.exchangeWith(e, 0)
	w.now += 6 * time.Second
	w.fleetMs += 6000
	w.apply(&statev1.Command{Op: &statev1.Command_Stamp{Stamp: &statev1.Stamp{}}})
	w.sync(e, e.core.pollRequest(0))
	w.deliverOne()
	w.exchangeWith(other, 3)
	for range 3 {
		w.holdAt(e)
	}
	w.finishAt(e)
	w.finishAt(other)
}

func (w *world) hold() { w.holdAt(w.entry()) }

func (w *world) holdAt(e *simEntry) {
	n := rapid.SampledFrom([]uint64{1, 50, 200, 400}).Draw(w.t, "tokens")
	e.core.ledger.setWanted(customer, n)
	if e.core.hold(w.instant(), customer, n) {
		e.core.ledger.setWanted(customer, 0)
		e.holds = append(e.holds, hold{at: w.now, tokens: n})
	}
}

// finish charges part of a hold and releases the rest.
func (w *world) finish() { w.finishAt(w.entry()) }

func (w *world) finishAt(e *simEntry) {
	if len(e.holds) == 0 {
		return
	}
	h := e.holds[0]
	e.holds = e.holds[1:]
	used := h.tokens * rapid.SampledFrom([]uint64{0, 1, 2, 2}).Draw(w.t, "used halves") / 2
	e.core.ledger.charge(customer, used)
	e.core.ledger.release(customer, h.tokens-used)
	w.admitted = append(w.admitted, charge{h.at, used})
	if !h.expired {
		w.generated = append(w.generated, charge{w.now, used})
	}
}

func (w *world) advance() {
	d := time.Duration(rapid.SampledFrom([]int{1, 20, 300, 1000, 6000, 11000}).Draw(w.t, "ms")) * time.Millisecond
	w.now += d
	if rapid.IntRange(0, 3).Draw(w.t, "fleet time runs") > 0 {
		w.fleetMs += uint64(d.Milliseconds())
	}
	w.apply(&statev1.Command{Op: &statev1.Command_Stamp{Stamp: &statev1.Stamp{}}})
}

func (w *world) withdraw() {
	if w.withdrawnAt >= 0 {
		return
	}
	w.apply(&statev1.Command{RequestId: "withdraw", Op: &statev1.Command_ConfigChange{ConfigChange: &statev1.ConfigChange{
		AnyBase: true,
		Removed: []*statev1.ResourceName{{Kind: statev1.ResourceKind_RESOURCE_KIND_KEY, Name: "k"}},
	}}})
	w.withdrawnAt = w.now
}

// checkWindows fails if any window has more tokens than rate x window + burst.
func checkWindows(t *rapid.T, kind string, charges []charge) {
	for from := range charges {
		var sum uint64
		for _, c := range charges[from:] {
			sum += c.tokens
			window := c.at - charges[from].at
			if limit := burst + rate*window.Seconds(); float64(sum) > limit+1 {
				t.Fatalf("%d tokens %s in a window of %v, limit %.0f", sum, kind, window, limit)
			}
		}
	}
}

// check verifies the invariants: the rate limit holds in every window, a
// withdrawn key is refused after maxAcceptAfterWithdrawal, and configuration
// versions never decrease.
func (w *world) check(t *rapid.T) {
	slices.SortFunc(w.admitted, func(a, b charge) int { return cmp.Compare(a.at, b.at) })
	checkWindows(t, "admitted", w.admitted)
	checkWindows(t, "generated", w.generated)
	for _, e := range w.entries {
		if v := e.core.configVersion(); v < e.lastVersion {
			t.Fatalf("configuration version went back from %d to %d", e.lastVersion, v)
		}
		e.lastVersion = e.core.configVersion()
		for i := range e.holds {
			e.holds[i].expired = e.holds[i].expired || !e.core.tokenLease.valid(w.instant())
		}
		accepted := e.core.index != nil && len(e.core.index.Config().GetKeys()) > 0 && e.core.freshnessLease.valid(w.instant())
		if accepted && w.withdrawnAt >= 0 && w.now >= w.withdrawnAt+maxAcceptAfterWithdrawal {
			t.Fatalf("withdrawn key accepted %v after its withdrawal", w.now-w.withdrawnAt)
		}
	}
}

func property(faults coreFaults) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(t, faults)
		act := func(f func()) func(*rapid.T) {
			return func(t *rapid.T) { w.t = t; f() }
		}
		t.Repeat(map[string]func(*rapid.T){
			"": w.check,
			"poll": act(func() {
				e := w.entry()
				w.sync(e, e.core.pollRequest(0))
			}),
			"usage": act(func() {
				e := w.entry()
				w.sync(e, e.core.usageRequest(w.now))
			}),
			"deliver":  act(w.deliverOne),
			"deliver2": act(w.deliverOne),
			"round":    act(w.exchange),
			"cut":      act(w.isolate),
			"hold":     act(w.hold),
			"finish":   act(w.finish),
			"finish2":  act(w.finish),
			"finish3":  act(w.finish),
			"advance":  act(w.advance),
			"withdraw": act(w.withdraw),
			"step":     act(func() { w.wallOffset = time.Duration(rapid.IntRange(-3600, 3600).Draw(w.t, "s")) * time.Second }),
		})
	}
}

// Guards against entries that together exceed a customer's rate and burst, accept
// a withdrawn key, or return to an older configuration, with lost, late and
// reordered responses and steps of the wall clock.
func TestReplicaFuzz(t *testing.T) {
	proptest.CheckSeeds(t, 60, property(coreFaults{}), proptest.Steps(200))
}

// Shows that the same property detects each broken rule.
func TestReplicaFuzzDetectsBrokenRules(t *testing.T) {
	proptest.ExpectFailure(t, 93, "withdrawn key accepted", property(coreFaults{leaseFromReceipt: true}), proptest.Steps(200))
	proptest.ExpectFailure(t, 696, "tokens admitted in a window", property(coreFaults{keepExpired: true}), proptest.Steps(200))
	proptest.ExpectFailure(t, 2103, "version went back", property(coreFaults{acceptOlder: true}), proptest.Steps(200))
}

// Guards against two entries that each hold part of the burst, wait for more and
// block each other until their deadlines.
func TestEntriesYieldToEachOther(t *testing.T) {
	w := newWorld(nil, coreFaults{})
	var numbers int64
	first, second := w.entries[0], w.entries[1]
	for _, e := range []*simEntry{first, second} {
		e.core.ledger.random = func(n int64) int64 {
			numbers += 7
			return numbers * n / 10 % n
		}
	}
	exchange := func(e *simEntry) {
		req := e.core.usageRequest(w.now)
		if req == nil {
			return
		}
		result := w.apply(&statev1.Command{Op: &statev1.Command_SyncBatch{SyncBatch: &statev1.SyncBatch{Entries: []*statev1.EntrySync{req.GetEntry()}}}})
		resp := &peerv1.SyncResponse{Delta: w.machine.DeltaSince(req.GetConfigVersion()), ConfigVersion: 1, Entry: result.GetSyncs()[0], LeaseMs: freshnessLeaseMs}
		if _, err := e.core.handleResponse(w.instant(), w.instant(), req, resp); err != nil {
			t.Fatal(err)
		}
	}
	// Each entry gets half of the burst and then needs four fifths of it.
	for _, e := range []*simEntry{first, second} {
		e.core.ledger.setWanted(customer, burst/2)
		exchange(e)
		e.core.ledger.setWanted(customer, burst*4/5)
	}
	served := 0
	for range 200 {
		w.now += 20 * time.Millisecond
		for _, e := range []*simEntry{first, second} {
			exchange(e)
			if e.core.ledger.balance(customer).wanted > 0 && e.core.hold(w.instant(), customer, burst*4/5) {
				e.core.ledger.setWanted(customer, 0)
				e.core.ledger.charge(customer, burst/10)
				e.core.ledger.release(customer, burst*7/10)
				served++
			}
		}
	}
	if served != 2 {
		t.Errorf("%d of 2 requests got their tokens", served)
	}
}
