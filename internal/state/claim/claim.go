// Package claim implements the deduplication records that make non-idempotent
// requests run at most once.
//
// A claim belongs to the attempt that began it. It is released only when that
// attempt reports that it sent nothing to an endpoint. When the attempt's session
// ends first, the request may have run, and its key is not granted again.
package claim

import (
	"bytes"
	"container/list"
	"slices"

	"github.com/google/uuid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// Limits of the table.
const (
	// MaxPerCustomer is the number of claims that one customer may hold.
	MaxPerCustomer = 100_000
	// MaxStoredBytes bounds the total size of the stored answers of all customers.
	MaxStoredBytes = 64 << 20
	// MaxAnswerBytes is the size of the largest answer that is stored.
	MaxAnswerBytes = 64 << 10
	// MaxKeyAgeMs is the age beyond which a key that contains a timestamp is
	// refused.
	MaxKeyAgeMs = 24 * 60 * 60 * 1000
	// RetentionMs is how long a settled claim is kept. It exceeds MaxKeyAgeMs by
	// the tolerated clock skew, so that a key with a timestamp is already refused
	// when its claim expires.
	RetentionMs = MaxKeyAgeMs + maxClockSkewMs

	maxClockSkewMs = 10 * 60 * 1000
	// releasedRetentionMs is how long the record of a released attempt is kept, so
	// that a late duplicate of its ClaimBegin does not create a claim that is never
	// finished.
	releasedRetentionMs = 10 * 60 * 1000
	maxReleased         = 100_000
)

// Key identifies a claim.
type Key struct {
	Customer, Route, IdempotencyKey string
}

// Session identifies the run of an entry that handles a claimed request.
type Session struct {
	VM, Incarnation string
}

type fault int

const (
	_ fault = iota
	// faultRelease releases the claims of an ended session, so that a retried
	// request runs again.
	faultRelease
)

type claim struct {
	key         Key
	bodySHA256  []byte
	session     Session
	attempt     string
	state       statev1.ClaimState
	answer      *statev1.StoredAnswer
	answerBytes int
	settledMs   uint64        // fleet time
	element     *list.Element // in running or in Table.settled
	// record caches the saved form until the claim changes. The record itself is
	// never modified.
	record *statev1.ClaimRecord
}

// Table holds all claims. It is not safe for concurrent use.
type Table struct {
	claims       map[Key]*claim
	running      map[Session]*list.List // of *claim, by start time
	settled      *list.List             // of *claim, by settledMs
	released     map[string]bool
	releaseOrder *list.List // of releasedAttempt, by time
	counts       map[string]int
	storedBytes  int
	fault        fault
}

type releasedAttempt struct {
	attempt    string
	releasedMs uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		claims:       map[Key]*claim{},
		running:      map[Session]*list.List{},
		settled:      list.New(),
		released:     map[string]bool{},
		releaseOrder: list.New(),
		counts:       map[string]int{},
	}
}

// KeyOf converts a key from its protobuf message.
func KeyOf(k *statev1.ClaimKey) Key {
	return Key{Customer: k.GetCustomer(), Route: k.GetRoute(), IdempotencyKey: k.GetIdempotencyKey()}
}

// SessionOf converts a session from its protobuf message.
func SessionOf(s *statev1.Session) Session {
	return Session{VM: s.GetVm(), Incarnation: s.GetIncarnation()}
}

// Begin grants the claim to the attempt if no request with the same key has run
// or may still run. wallMs is the leader's wall clock, used only for the age of
// keys that contain a timestamp. live says whether the session is known and has
// not ended.
func (t *Table) Begin(b *statev1.ClaimBegin, wallMs int64, live bool) *statev1.ClaimResult {
	key := KeyOf(b.GetKey())
	if c := t.claims[key]; c != nil {
		return c.existingResult(b)
	}
	switch {
	case keyExpired(key.IdempotencyKey, wallMs):
		return &statev1.ClaimResult{State: statev1.ClaimState_CLAIM_STATE_EXPIRED}
	case !live || t.released[b.GetAttempt()]:
		return &statev1.ClaimResult{State: statev1.ClaimState_CLAIM_STATE_SESSION_ENDED}
	case t.counts[key.Customer] >= MaxPerCustomer || t.storedBytes >= MaxStoredBytes:
		return &statev1.ClaimResult{State: statev1.ClaimState_CLAIM_STATE_FULL}
	}
	c := &claim{
		key:        key,
		bodySHA256: b.GetBodySha256(),
		session:    SessionOf(b.GetSession()),
		attempt:    b.GetAttempt(),
		state:      statev1.ClaimState_CLAIM_STATE_RUNNING,
	}
	t.insertRunning(c)
	return &statev1.ClaimResult{State: statev1.ClaimState_CLAIM_STATE_GRANTED}
}

func (t *Table) insertRunning(c *claim) {
	t.claims[c.key] = c
	t.counts[c.key.Customer]++
	if t.running[c.session] == nil {
		t.running[c.session] = list.New()
	}
	c.element = t.running[c.session].PushBack(c)
}

// existingResult returns the result of a ClaimBegin whose key already has a claim.
// The attempt that holds the claim is granted it again.
func (c *claim) existingResult(b *statev1.ClaimBegin) *statev1.ClaimResult {
	if !bytes.Equal(c.bodySHA256, b.GetBodySha256()) {
		return &statev1.ClaimResult{State: statev1.ClaimState_CLAIM_STATE_BODY_DIFFERS}
	}
	if c.state == statev1.ClaimState_CLAIM_STATE_RUNNING && c.attempt == b.GetAttempt() && c.session == SessionOf(b.GetSession()) {
		return &statev1.ClaimResult{State: statev1.ClaimState_CLAIM_STATE_GRANTED}
	}
	return &statev1.ClaimResult{State: c.state, Answer: c.answer}
}

// keyExpired reports whether the key is a UUIDv7 with a timestamp more than
// MaxKeyAgeMs ago. A timestamp in the future says nothing about the key's age.
func keyExpired(key string, wallMs int64) bool {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return false
	}
	createdMs := int64(id[0])<<40 | int64(id[1])<<32 | int64(id[2])<<24 | int64(id[3])<<16 | int64(id[4])<<8 | int64(id[5])
	return wallMs-createdMs > MaxKeyAgeMs
}

// Finish settles or releases the claim of an attempt. It returns false if the
// attempt has no claim and is not recorded as released either; NOT_RUN without a
// claim is recorded as a release. An outcome that arrives after the session ended
// still replaces "may have run", since only the attempt that holds the claim can
// report it.
func (t *Table) Finish(now uint64, f *statev1.ClaimFinish) bool {
	c := t.claims[KeyOf(f.GetKey())]
	if c == nil || c.attempt != f.GetAttempt() {
		known := t.released[f.GetAttempt()]
		if f.GetOutcome() == statev1.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN {
			t.recordRelease(now, f.GetAttempt())
			return true
		}
		return known
	}
	if c.state == statev1.ClaimState_CLAIM_STATE_DONE {
		return true
	}
	switch f.GetOutcome() {
	case statev1.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN:
		t.recordRelease(now, c.attempt)
		t.remove(c)
	case statev1.ClaimOutcome_CLAIM_OUTCOME_RAN:
		t.settle(now, c, statev1.ClaimState_CLAIM_STATE_DONE)
		t.storeAnswer(c, f.GetAnswer())
	default:
		if c.state == statev1.ClaimState_CLAIM_STATE_RUNNING {
			t.settle(now, c, statev1.ClaimState_CLAIM_STATE_MAY_HAVE_RUN)
		}
	}
	return true
}

func (t *Table) storeAnswer(c *claim, a *statev1.StoredAnswer) {
	size := answerSize(a)
	if a.GetTruncated() || size > MaxAnswerBytes || t.storedBytes+size > MaxStoredBytes {
		c.answer = &statev1.StoredAnswer{Status: a.GetStatus(), Truncated: true}
		c.record = nil
		return
	}
	c.answer = a
	c.record = nil
	c.answerBytes = size
	t.storedBytes += size
}

func answerSize(a *statev1.StoredAnswer) int {
	size := len(a.GetBody())
	for _, h := range a.GetHeaders() {
		size += len(h.GetName()) + len(h.GetValue())
	}
	return size
}

// settle moves a claim to the list of claims that expire.
func (t *Table) settle(now uint64, c *claim, state statev1.ClaimState) {
	t.unlink(c)
	c.record = nil
	c.state = state
	c.settledMs = now
	c.element = t.settled.PushBack(c)
}

func (t *Table) unlink(c *claim) {
	if c.state != statev1.ClaimState_CLAIM_STATE_RUNNING {
		t.settled.Remove(c.element)
		return
	}
	l := t.running[c.session]
	l.Remove(c.element)
	if l.Len() == 0 {
		delete(t.running, c.session)
	}
}

func (t *Table) remove(c *claim) {
	t.unlink(c)
	delete(t.claims, c.key)
	t.storedBytes -= c.answerBytes
	t.counts[c.key.Customer]--
	if t.counts[c.key.Customer] == 0 {
		delete(t.counts, c.key.Customer)
	}
}

func (t *Table) recordRelease(now uint64, attempt string) {
	if t.released[attempt] {
		return
	}
	if t.releaseOrder.Len() >= maxReleased {
		t.removeOldestRelease()
	}
	t.released[attempt] = true
	t.releaseOrder.PushBack(releasedAttempt{attempt, now})
}

func (t *Table) removeOldestRelease() {
	r := t.releaseOrder.Remove(t.releaseOrder.Front()).(releasedAttempt)
	delete(t.released, r.attempt)
}

// EndSession settles the running claims of a session as "may have run".
func (t *Table) EndSession(now uint64, s Session) {
	l := t.running[s]
	if l == nil {
		return
	}
	for l.Len() > 0 {
		c := l.Front().Value.(*claim)
		if t.fault == faultRelease {
			t.remove(c)
			continue
		}
		t.settle(now, c, statev1.ClaimState_CLAIM_STATE_MAY_HAVE_RUN)
	}
}

// Expire removes settled claims and released attempts whose retention has ended.
func (t *Table) Expire(now uint64) {
	for e := t.settled.Front(); e != nil && e.Value.(*claim).settledMs+RetentionMs <= now; e = t.settled.Front() {
		t.remove(e.Value.(*claim))
	}
	for e := t.releaseOrder.Front(); e != nil && e.Value.(releasedAttempt).releasedMs+releasedRetentionMs <= now; e = t.releaseOrder.Front() {
		t.removeOldestRelease()
	}
}

// Stats returns the number of claims and the total size of the stored answers.
func (t *Table) Stats() (claims, storedBytes int) { return len(t.claims), t.storedBytes }

// Save returns the table: settled claims in order of expiry, then running claims
// by session and start time.
func (t *Table) Save() *statev1.ClaimTable {
	out := &statev1.ClaimTable{}
	for e := t.settled.Front(); e != nil; e = e.Next() {
		out.Claims = append(out.Claims, e.Value.(*claim).save())
	}
	sessions := make([]Session, 0, len(t.running))
	for s := range t.running {
		sessions = append(sessions, s)
	}
	slices.SortFunc(sessions, compareSessions)
	for _, s := range sessions {
		for e := t.running[s].Front(); e != nil; e = e.Next() {
			out.Claims = append(out.Claims, e.Value.(*claim).save())
		}
	}
	for e := t.releaseOrder.Front(); e != nil; e = e.Next() {
		r := e.Value.(releasedAttempt)
		out.Released = append(out.Released, &statev1.ReleasedAttempt{Attempt: r.attempt, ReleasedMs: r.releasedMs})
	}
	return out
}

func (c *claim) save() *statev1.ClaimRecord {
	if c.record != nil {
		return c.record
	}
	c.record = &statev1.ClaimRecord{
		Key:        &statev1.ClaimKey{Customer: c.key.Customer, Route: c.key.Route, IdempotencyKey: c.key.IdempotencyKey},
		BodySha256: c.bodySHA256,
		Session:    &statev1.Session{Vm: c.session.VM, Incarnation: c.session.Incarnation},
		Attempt:    c.attempt,
		State:      c.state,
		Answer:     c.answer,
		SettledMs:  c.settledMs,
	}
	return c.record
}

// Load replaces the table with a saved one.
func (t *Table) Load(saved *statev1.ClaimTable) {
	f := t.fault
	*t = *NewTable()
	t.fault = f
	for _, r := range saved.GetClaims() {
		c := &claim{
			key:        KeyOf(r.GetKey()),
			bodySHA256: r.GetBodySha256(),
			session:    SessionOf(r.GetSession()),
			attempt:    r.GetAttempt(),
			state:      r.GetState(),
			answer:     r.GetAnswer(),
			settledMs:  r.GetSettledMs(),
			record:     r,
		}
		if c.state == statev1.ClaimState_CLAIM_STATE_RUNNING {
			t.insertRunning(c)
			continue
		}
		c.answerBytes = answerSize(c.answer)
		t.claims[c.key] = c
		t.counts[c.key.Customer]++
		t.storedBytes += c.answerBytes
		c.element = t.settled.PushBack(c)
	}
	for _, r := range saved.GetReleased() {
		t.recordRelease(r.GetReleasedMs(), r.GetAttempt())
	}
}
