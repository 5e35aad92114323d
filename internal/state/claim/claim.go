// Package claim keeps the claims that make non-idempotent requests run at most
// once.
//
// A claim belongs to the attempt that began it. It is released only when that
// attempt says that no byte left for an endpoint; when the attempt's session
// ends, the request may have run and is never granted again.
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
	// MaxStoredBytes bounds the stored answers of all customers together.
	MaxStoredBytes = 64 << 20
	// MaxAnswerBytes is the largest answer that is stored.
	MaxAnswerBytes = 64 << 10
	// MaxKeyAgeMs is the age beyond which a key with a time in it is refused.
	MaxKeyAgeMs = 24 * 60 * 60 * 1000
	// RetentionMs is how long a settled claim is kept. It exceeds MaxKeyAgeMs by
	// the difference of wall clocks that is tolerated.
	RetentionMs = MaxKeyAgeMs + clockMarginMs

	clockMarginMs = 10 * 60 * 1000
	// releasedMs is how long a released attempt is remembered, so that a late
	// copy of its ClaimBegin does not leave a claim that nobody finishes.
	releasedMs  = 10 * 60 * 1000
	maxReleased = 100_000
)

// Key identifies a claim.
type Key struct {
	Customer, Route, IdempotencyKey string
}

// Session identifies the entry that runs a claimed request.
type Session struct {
	VM, Incarnation string
}

type fault int

const (
	_ fault = iota
	// faultRelease drops the claims of an ended session, so that a repeated
	// request runs again.
	faultRelease
)

type claim struct {
	key     Key
	sha     []byte
	session Session
	attempt string
	state   statev1.ClaimState
	answer  *statev1.StoredAnswer
	size    int
	settled uint64        // fleet time
	element *list.Element // in running or in Table.settled
	// record is the saved form while the claim does not change. It is never
	// modified.
	record *statev1.ClaimRecord
}

// Table holds all claims. It is not safe for concurrent use.
type Table struct {
	claims   map[Key]*claim
	running  map[Session]*list.List // of *claim, by start
	settled  *list.List             // of *claim, by the time they settled
	released map[string]bool
	releases *list.List // of release, by time
	counts   map[string]int
	stored   int
	fault    fault
}

type release struct {
	attempt string
	at      uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		claims:   map[Key]*claim{},
		running:  map[Session]*list.List{},
		settled:  list.New(),
		released: map[string]bool{},
		releases: list.New(),
		counts:   map[string]int{},
	}
}

// KeyOf returns the key of its message.
func KeyOf(k *statev1.ClaimKey) Key {
	return Key{Customer: k.GetCustomer(), Route: k.GetRoute(), IdempotencyKey: k.GetIdempotencyKey()}
}

// SessionOf returns the session of its message.
func SessionOf(s *statev1.Session) Session {
	return Session{VM: s.GetVm(), Incarnation: s.GetIncarnation()}
}

// Begin grants the claim to the attempt if no request with the key ran or may
// run. wallMs is the leader's wall clock, used only for the age of keys that
// hold a time. live says whether the session is known and not over.
func (t *Table) Begin(b *statev1.ClaimBegin, wallMs int64, live bool) *statev1.ClaimResult {
	key := KeyOf(b.GetKey())
	if c := t.claims[key]; c != nil {
		return c.repeat(b)
	}
	switch {
	case tooOld(key.IdempotencyKey, wallMs):
		return &statev1.ClaimResult{State: statev1.ClaimState_CLAIM_STATE_EXPIRED}
	case !live || t.released[b.GetAttempt()]:
		return &statev1.ClaimResult{State: statev1.ClaimState_CLAIM_STATE_SESSION_ENDED}
	case t.counts[key.Customer] >= MaxPerCustomer || t.stored >= MaxStoredBytes:
		return &statev1.ClaimResult{State: statev1.ClaimState_CLAIM_STATE_FULL}
	}
	c := &claim{
		key:     key,
		sha:     b.GetBodySha256(),
		session: SessionOf(b.GetSession()),
		attempt: b.GetAttempt(),
		state:   statev1.ClaimState_CLAIM_STATE_RUNNING,
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

func (c *claim) repeat(b *statev1.ClaimBegin) *statev1.ClaimResult {
	if !bytes.Equal(c.sha, b.GetBodySha256()) {
		return &statev1.ClaimResult{State: statev1.ClaimState_CLAIM_STATE_BODY_DIFFERS}
	}
	if c.state == statev1.ClaimState_CLAIM_STATE_RUNNING && c.attempt == b.GetAttempt() && c.session == SessionOf(b.GetSession()) {
		return &statev1.ClaimResult{State: statev1.ClaimState_CLAIM_STATE_GRANTED}
	}
	return &statev1.ClaimResult{State: c.state, Answer: c.answer}
}

// tooOld reports whether the key is a UUIDv7 whose time lies further back than
// claims are kept. A time in the future says nothing about the key's age.
func tooOld(key string, wallMs int64) bool {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return false
	}
	made := int64(id[0])<<40 | int64(id[1])<<32 | int64(id[2])<<24 | int64(id[3])<<16 | int64(id[4])<<8 | int64(id[5])
	return wallMs-made > MaxKeyAgeMs
}

// Finish settles the claim of an attempt. It returns false if there is no such
// claim and the attempt is not known as released either. The outcome of a claim
// whose session ended still replaces "may have run", since only its own attempt
// can state it.
func (t *Table) Finish(now uint64, f *statev1.ClaimFinish) bool {
	c := t.claims[KeyOf(f.GetKey())]
	if c == nil || c.attempt != f.GetAttempt() {
		known := t.released[f.GetAttempt()]
		if f.GetOutcome() == statev1.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN {
			t.remember(now, f.GetAttempt())
			return true
		}
		return known
	}
	if c.state == statev1.ClaimState_CLAIM_STATE_DONE {
		return true
	}
	switch f.GetOutcome() {
	case statev1.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN:
		t.remember(now, c.attempt)
		t.remove(c)
	case statev1.ClaimOutcome_CLAIM_OUTCOME_RAN:
		t.settle(now, c, statev1.ClaimState_CLAIM_STATE_DONE)
		t.keepAnswer(c, f.GetAnswer())
	default:
		if c.state == statev1.ClaimState_CLAIM_STATE_RUNNING {
			t.settle(now, c, statev1.ClaimState_CLAIM_STATE_MAY_HAVE_RUN)
		}
	}
	return true
}

func (t *Table) keepAnswer(c *claim, a *statev1.StoredAnswer) {
	size := answerSize(a)
	if a.GetTruncated() || size > MaxAnswerBytes || t.stored+size > MaxStoredBytes {
		c.answer = &statev1.StoredAnswer{Status: a.GetStatus(), Truncated: true}
		c.record = nil
		return
	}
	c.answer = a
	c.record = nil
	c.size = size
	t.stored += size
}

func answerSize(a *statev1.StoredAnswer) int {
	size := len(a.GetBody())
	for _, h := range a.GetHeaders() {
		size += len(h.GetName()) + len(h.GetValue())
	}
	return size
}

// settle moves a claim to the list of those that expire.
func (t *Table) settle(now uint64, c *claim, state statev1.ClaimState) {
	t.unlink(c)
	c.record = nil
	c.state = state
	c.settled = now
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
	t.stored -= c.size
	t.counts[c.key.Customer]--
	if t.counts[c.key.Customer] == 0 {
		delete(t.counts, c.key.Customer)
	}
}

func (t *Table) remember(now uint64, attempt string) {
	if t.released[attempt] {
		return
	}
	if t.releases.Len() >= maxReleased {
		t.forgetOldest()
	}
	t.released[attempt] = true
	t.releases.PushBack(release{attempt, now})
}

func (t *Table) forgetOldest() {
	r := t.releases.Remove(t.releases.Front()).(release)
	delete(t.released, r.attempt)
}

// EndSession turns the running claims of a session into "may have run".
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

// Expire drops claims and released attempts whose time is over.
func (t *Table) Expire(now uint64) {
	for e := t.settled.Front(); e != nil && e.Value.(*claim).settled+RetentionMs <= now; e = t.settled.Front() {
		t.remove(e.Value.(*claim))
	}
	for e := t.releases.Front(); e != nil && e.Value.(release).at+releasedMs <= now; e = t.releases.Front() {
		t.forgetOldest()
	}
}

// Len returns the number of claims and the bytes of stored answers.
func (t *Table) Len() (claims, storedBytes int) { return len(t.claims), t.stored }

// Save returns the table: settled claims in the order of their expiry, then
// running ones by session and start.
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
	for e := t.releases.Front(); e != nil; e = e.Next() {
		r := e.Value.(release)
		out.Released = append(out.Released, &statev1.ReleasedAttempt{Attempt: r.attempt, ReleasedMs: r.at})
	}
	return out
}

func (c *claim) save() *statev1.ClaimRecord {
	if c.record != nil {
		return c.record
	}
	c.record = &statev1.ClaimRecord{
		Key:        &statev1.ClaimKey{Customer: c.key.Customer, Route: c.key.Route, IdempotencyKey: c.key.IdempotencyKey},
		BodySha256: c.sha,
		Session:    &statev1.Session{Vm: c.session.VM, Incarnation: c.session.Incarnation},
		Attempt:    c.attempt,
		State:      c.state,
		Answer:     c.answer,
		SettledMs:  c.settled,
	}
	return c.record
}

// Load replaces the table by a saved one.
func (t *Table) Load(saved *statev1.ClaimTable) {
	f := t.fault
	*t = *NewTable()
	t.fault = f
	for _, r := range saved.GetClaims() {
		c := &claim{
			key:     KeyOf(r.GetKey()),
			sha:     r.GetBodySha256(),
			session: SessionOf(r.GetSession()),
			attempt: r.GetAttempt(),
			state:   r.GetState(),
			answer:  r.GetAnswer(),
			settled: r.GetSettledMs(),
			record:  r,
		}
		if c.state == statev1.ClaimState_CLAIM_STATE_RUNNING {
			t.insertRunning(c)
			continue
		}
		c.size = answerSize(c.answer)
		t.claims[c.key] = c
		t.counts[c.key.Customer]++
		t.stored += c.size
		c.element = t.settled.PushBack(c)
	}
	for _, r := range saved.GetReleased() {
		t.remember(r.GetReleasedMs(), r.GetAttempt())
	}
}
