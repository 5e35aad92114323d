package claim

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/proptest"
)

// call is one attempt of a request at an entry.
type call struct {
	begin   *statev1.ClaimBegin
	granted bool // the entry was granted the claim
	ended   bool // the entry sent or dropped the request, or was refused the claim
	finish  *statev1.ClaimFinish
}

// simulation runs attempts against a table. Messages are lost, delayed and
// duplicated, entries crash, and sessions end.
type simulation struct {
	table       *Table
	nowMs       uint64
	entries     []int // incarnation of each entry
	calls       []*call
	runs        map[string]int
	lastAttempt int
}

func (sim *simulation) session(i int) *statev1.Session {
	return &statev1.Session{Vm: fmt.Sprint("vm", i), Incarnation: fmt.Sprint(sim.entries[i])}
}

func (sim *simulation) live(s *statev1.Session) bool {
	for i := range sim.entries {
		if SessionOf(sim.session(i)) == SessionOf(s) {
			return true
		}
	}
	return false
}

func claimProperty(f fault) func(t *rapid.T) {
	return func(t *rapid.T) {
		sim := &simulation{table: NewTable(), entries: make([]int, 3), runs: map[string]int{}}
		sim.table.fault = f
		for range 20 + proptest.IntN(t, 300) {
			sim.step(t)
			for key, n := range sim.runs {
				if n > 1 {
					t.Fatalf("the request with key %s ran %d times", key, n)
				}
			}
		}
	}
}

// recentCalls returns the last six attempts: older ones hardly interact with new
// ones.
func (sim *simulation) recentCalls() []*call { return sim.calls[max(0, len(sim.calls)-6):] }

func (sim *simulation) step(t *rapid.T) {
	switch proptest.IntN(t, 10) {
	case 0, 1:
		sim.newCall(t)
	case 2, 3, 4, 5:
		if len(sim.calls) > 0 {
			sim.stepCall(t, sim.recentCalls()[proptest.IntN(t, len(sim.recentCalls()))])
		}
	case 6:
		i := proptest.IntN(t, len(sim.entries))
		endedSession := sim.session(i)
		sim.entries[i]++
		sim.table.EndSession(sim.nowMs, SessionOf(endedSession))
	case 7:
		sim.nowMs += rapid.Uint64Range(1, MaxKeyAgeMs/20).Draw(t, "elapsed")
		sim.table.Expire(sim.nowMs)
	case 8:
		saved := sim.table.Save()
		sim.table = &Table{fault: sim.table.fault}
		sim.table.Load(saved)
	default:
		if len(sim.calls) > 0 {
			sim.deliver(sim.recentCalls()[proptest.IntN(t, len(sim.recentCalls()))])
		}
	}
}

func (sim *simulation) newCall(t *rapid.T) {
	sim.lastAttempt++
	sim.calls = append(sim.calls, &call{begin: &statev1.ClaimBegin{
		Key:        &statev1.ClaimKey{Customer: "c", Route: "r", IdempotencyKey: []string{"k1", "k2", "k3"}[proptest.IntN(t, 3)]},
		BodySha256: []byte([]string{"x", "x", "x", "y"}[proptest.IntN(t, 4)]),
		Session:    sim.session(proptest.IntN(t, len(sim.entries))),
		Attempt:    fmt.Sprint(sim.lastAttempt),
	}})
}

// deliver applies a duplicate of the call's ClaimFinish, if there is one, and of
// its ClaimBegin. The entry does not receive the results.
func (sim *simulation) deliver(c *call) {
	if c.finish != nil {
		sim.table.Finish(sim.nowMs, c.finish)
	}
	sim.table.Begin(c.begin, int64(sim.nowMs), sim.live(c.begin.GetSession()))
}

// stepCall performs the next step of an attempt. Once its entry has crashed, only
// a ClaimFinish that was already sent is delivered.
func (sim *simulation) stepCall(t *rapid.T, c *call) {
	alive := sim.live(c.begin.GetSession())
	switch {
	case c.finish != nil:
		sim.table.Finish(sim.nowMs, c.finish)
	case c.ended || !alive:
	case !c.granted:
		r := sim.table.Begin(c.begin, int64(sim.nowMs), alive)
		lost := proptest.IntN(t, 4) == 0
		c.granted = !lost && r.GetState() == statev1.ClaimState_CLAIM_STATE_GRANTED
		c.ended = !lost && !c.granted
	default:
		c.ended = true
		c.finish = &statev1.ClaimFinish{Key: c.begin.GetKey(), Attempt: c.begin.GetAttempt()}
		c.finish.Outcome = statev1.ClaimOutcome(1 + proptest.IntN(t, 3))
		if c.finish.GetOutcome() != statev1.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN {
			sim.runs[c.begin.GetKey().GetIdempotencyKey()]++
		}
	}
}

// Guards against a request that runs twice because a message is duplicated,
// delayed or lost, or because its entry crashed. All times stay below the
// retention.
func TestClaimedRequestsRunAtMostOnce(t *testing.T) { proptest.Check(t, 500, 1, claimProperty(0)) }

// Requires the property to fail when claims are released with their session.
func TestReleaseOnSessionEndBreaksAtMostOnce(t *testing.T) {
	proptest.MustFail(t, 500, 1, claimProperty(faultRelease))
}

func begin(key, attempt string) *statev1.ClaimBegin {
	return &statev1.ClaimBegin{
		Key:     &statev1.ClaimKey{Customer: "c", Route: "r", IdempotencyKey: key},
		Session: &statev1.Session{Vm: "vm", Incarnation: "1"},
		Attempt: attempt,
	}
}

// Guards against stored answers and claims beyond their limits, and against
// accepting a key with a timestamp after its claim has expired.
func TestLimitsAndRetention(t *testing.T) {
	table := NewTable()
	answer := &statev1.StoredAnswer{Status: 200, Body: make([]byte, MaxAnswerBytes)}
	for i := range MaxStoredBytes/MaxAnswerBytes + 1 {
		key := fmt.Sprint(i)
		if i < MaxStoredBytes/MaxAnswerBytes {
			table.Begin(begin(key, key), 0, true)
			table.Finish(0, &statev1.ClaimFinish{Key: begin(key, "").GetKey(), Attempt: key, Outcome: statev1.ClaimOutcome_CLAIM_OUTCOME_RAN, Answer: answer})
			continue
		}
		if r := table.Begin(begin(key, key), 0, true); r.GetState() != statev1.ClaimState_CLAIM_STATE_FULL {
			t.Fatalf("claim beyond MaxStoredBytes: state %v, want FULL", r.GetState())
		}
	}
	if r := table.Begin(begin("0", "again"), 0, true); len(r.GetAnswer().GetBody()) != MaxAnswerBytes {
		t.Fatal("the stored answer of key 0 is not replayed")
	}
	table.Expire(RetentionMs)
	if n, stored := table.Len(); n != 0 || stored != 0 {
		t.Fatalf("%d claims and %d stored bytes left after the retention", n, stored)
	}
	const v7 = "00000000-03e8-7000-8000-000000000000" // timestamp 1,000 ms
	if r := table.Begin(begin(v7, "old"), 1000+MaxKeyAgeMs+1, true); r.GetState() != statev1.ClaimState_CLAIM_STATE_EXPIRED {
		t.Fatalf("key older than MaxKeyAgeMs: state %v, want EXPIRED", r.GetState())
	}
	if r := table.Begin(begin(v7, "new"), 1000+MaxKeyAgeMs, true); r.GetState() != statev1.ClaimState_CLAIM_STATE_GRANTED {
		t.Fatalf("key of age MaxKeyAgeMs: state %v, want GRANTED", r.GetState())
	}
	for i := range MaxPerCustomer {
		table.Begin(begin(fmt.Sprint("n", i), fmt.Sprint(i)), 0, true)
	}
	if r := table.Begin(begin("more", "more"), 0, true); r.GetState() != statev1.ClaimState_CLAIM_STATE_FULL {
		t.Fatalf("claim beyond MaxPerCustomer: state %v, want FULL", r.GetState())
	}
}
