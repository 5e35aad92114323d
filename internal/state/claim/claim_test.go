package claim

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/proptest"
)

// call is one attempt of a caller on its way through an entry.
type call struct {
	begin   *statev1.ClaimBegin
	granted bool // the entry holds the claim and has not sent yet
	decided bool // the entry sent, dropped or was refused
	finish  *statev1.ClaimFinish
}

// world runs attempts against a table. Messages are lost, late and repeated,
// entries die, and sessions end.
type world struct {
	table   *Table
	now     uint64
	entries []int // incarnation of each entry
	calls   []*call
	runs    map[string]int
	next    int
}

func (w *world) session(i int) *statev1.Session {
	return &statev1.Session{Vm: fmt.Sprint("vm", i), Incarnation: fmt.Sprint(w.entries[i])}
}

func (w *world) live(s *statev1.Session) bool {
	for i := range w.entries {
		if SessionOf(w.session(i)) == SessionOf(s) {
			return true
		}
	}
	return false
}

func claimProperty(f fault) func(t *rapid.T) {
	return func(t *rapid.T) {
		w := &world{table: NewTable(), entries: make([]int, 3), runs: map[string]int{}}
		w.table.fault = f
		for range 20 + proptest.Choose(t, 300) {
			w.step(t)
			for key, n := range w.runs {
				if n > 1 {
					t.Fatalf("the request with key %s ran %d times", key, n)
				}
			}
		}
	}
}

// recent returns the last attempts: older ones hardly interact with new ones.
func (w *world) recent() []*call { return w.calls[max(0, len(w.calls)-6):] }

func (w *world) step(t *rapid.T) {
	switch proptest.Choose(t, 10) {
	case 0, 1:
		w.newCall(t)
	case 2, 3, 4, 5:
		if len(w.calls) > 0 {
			w.stepCall(t, w.recent()[proptest.Choose(t, len(w.recent()))])
		}
	case 6:
		i := proptest.Choose(t, len(w.entries))
		dead := w.session(i)
		w.entries[i]++
		w.table.EndSession(w.now, SessionOf(dead))
	case 7:
		w.now += rapid.Uint64Range(1, MaxKeyAgeMs/20).Draw(t, "elapsed")
		w.table.Expire(w.now)
	case 8:
		saved := w.table.Save()
		w.table = &Table{fault: w.table.fault}
		w.table.Load(saved)
	default:
		if len(w.calls) > 0 {
			w.deliver(w.recent()[proptest.Choose(t, len(w.recent()))])
		}
	}
}

func (w *world) newCall(t *rapid.T) {
	w.next++
	w.calls = append(w.calls, &call{begin: &statev1.ClaimBegin{
		Key:        &statev1.ClaimKey{Customer: "c", Route: "r", IdempotencyKey: []string{"k1", "k2", "k3"}[proptest.Choose(t, 3)]},
		BodySha256: []byte([]string{"x", "x", "x", "y"}[proptest.Choose(t, 4)]),
		Session:    w.session(proptest.Choose(t, len(w.entries))),
		Attempt:    fmt.Sprint(w.next),
	}})
}

// deliver brings a ClaimBegin to the table again, or a finish if there is one;
// nobody waits for the answer any more.
func (w *world) deliver(c *call) {
	if c.finish != nil {
		w.table.Finish(w.now, c.finish)
	}
	w.table.Begin(c.begin, int64(w.now), w.live(c.begin.GetSession()))
}

// stepCall moves an attempt on. An entry that died does nothing more.
func (w *world) stepCall(t *rapid.T, c *call) {
	alive := w.live(c.begin.GetSession())
	switch {
	case c.finish != nil:
		w.table.Finish(w.now, c.finish)
	case c.decided || !alive:
	case !c.granted:
		r := w.table.Begin(c.begin, int64(w.now), alive)
		lost := proptest.Choose(t, 4) == 0
		c.granted = !lost && r.GetState() == statev1.ClaimState_CLAIM_STATE_GRANTED
		c.decided = !lost && !c.granted
	default:
		c.decided = true
		c.finish = &statev1.ClaimFinish{Key: c.begin.GetKey(), Attempt: c.begin.GetAttempt()}
		c.finish.Outcome = statev1.ClaimOutcome(1 + proptest.Choose(t, 3))
		if c.finish.GetOutcome() != statev1.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN {
			w.runs[c.begin.GetKey().GetIdempotencyKey()]++
		}
	}
}

// Guards against a request that runs a second time on a repeated, late or lost
// message, or after its entry died. The time stays below the retention.
func TestClaimedRequestsRunAtMostOnce(t *testing.T) { proptest.Check(t, 500, 1, claimProperty(0)) }

// Shows that the same test notices claims that end with their session.
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

// Guards against stored answers and claims beyond their limits, and against a
// key with a time in it that is accepted after its claim was dropped.
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
			t.Fatalf("claim beyond the stored bytes is %v", r.GetState())
		}
	}
	if r := table.Begin(begin("0", "again"), 0, true); len(r.GetAnswer().GetBody()) != MaxAnswerBytes {
		t.Fatal("the first answer is not replayed")
	}
	table.Expire(RetentionMs)
	if n, stored := table.Len(); n != 0 || stored != 0 {
		t.Fatalf("%d claims and %d bytes after the retention", n, stored)
	}
	const v7 = "00000000-03e8-7000-8000-000000000000" // made at 1,000 ms
	if r := table.Begin(begin(v7, "old"), 1000+MaxKeyAgeMs+1, true); r.GetState() != statev1.ClaimState_CLAIM_STATE_EXPIRED {
		t.Fatalf("old key is %v", r.GetState())
	}
	if r := table.Begin(begin(v7, "new"), 1000+MaxKeyAgeMs, true); r.GetState() != statev1.ClaimState_CLAIM_STATE_GRANTED {
		t.Fatalf("fresh key is %v", r.GetState())
	}
	for i := range MaxPerCustomer {
		table.Begin(begin(fmt.Sprint("n", i), fmt.Sprint(i)), 0, true)
	}
	if r := table.Begin(begin("more", "more"), 0, true); r.GetState() != statev1.ClaimState_CLAIM_STATE_FULL {
		t.Fatalf("claim beyond the customer's limit is %v", r.GetState())
	}
}
