package fleet

import (
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/account"
)

// syncBatch applies the syncs that a leader collected. All usage is settled
// before anything is granted, so that the order within a batch favours nobody.
//
// An entry keeps to these rules, without which its customers exceed their rate:
//   - It has at most one sync with usage unanswered, and repeats it unchanged
//     under the same seq. The first one has seq 1; a sync without usage repeats
//     the last seq.
//   - Outstanding is what the session held when its sync was applied, whether
//     the answer is the first or a repeated one. What the entry charged since it
//     made the sync comes off it. Granted is for information only.
//   - When its lease ends by its own clock, it drops what it holds, and takes a
//     balance only from a later answer to a sync with usage.
func (m *Machine) syncBatch(c *statev1.Command, b *statev1.SyncBatch) *statev1.Result {
	result := &statev1.Result{Syncs: make([]*statev1.EntrySyncResult, len(b.GetEntries()))}
	var asks []account.Ask
	var lines []*statev1.TokenGrant
	if m.faults.wallClock {
		m.wall = uint64(c.GetWallTimeMs())
	}
	for i, e := range b.GetEntries() {
		one := &statev1.EntrySyncResult{
			Vm:          e.GetSession().GetVm(),
			Incarnation: e.GetSession().GetIncarnation(),
			Seq:         e.GetSeq(),
		}
		result.Syncs[i] = one
		s := m.openSession(e)
		switch {
		case s == nil:
			one.SessionEnded = true
		case e.GetClosing():
			m.closeSession(s, e)
			one.SessionEnded = true
		case e.GetSeq() > s.seq || m.faults.repeatSyncs:
			s.seq = e.GetSeq()
			s.lastGrants = m.settle(s, e)
			one.Grants = s.lastGrants
			asks, lines = appendAsks(asks, lines, s, e)
		case e.GetSeq() == s.seq && len(e.GetUsage()) == 0:
		case e.GetSeq() == s.seq:
			one.Grants = s.lastGrants
		default:
			// The seq tells the entry that a later sync was applied.
			one.Seq = s.seq
		}
	}
	for i, granted := range m.bank.Grant(m.accountTime(), asks) {
		lines[i].Granted = granted.Granted
		lines[i].Outstanding = granted.Outstanding
	}
	return result
}

// openSession returns the session of a sync after renewing it, or nil if it is
// over. A session that is not known must be new: its first sync with usage has
// seq 1.
func (m *Machine) openSession(e *statev1.EntrySync) *session {
	key := keyOf(e.GetSession())
	s := m.sessions.live[key]
	if s == nil {
		if m.sessions.ended[key] || e.GetSeq() > 1 || e.GetClosing() || key.incarnation == "" {
			return nil
		}
		s = &session{key: key, dataCentre: e.GetSession().GetDataCentre(), started: m.now}
		m.sessions.add(s)
	}
	if e.GetSeq() < s.seq {
		return s
	}
	m.sessions.touch(s, m.now)
	s.leasesExpired = false
	s.configVersion = max(s.configVersion, e.GetConfigVersion())
	return s
}

func (m *Machine) settle(s *session, e *statev1.EntrySync) []*statev1.TokenGrant {
	grants := make([]*statev1.TokenGrant, 0, len(e.GetUsage()))
	for _, u := range e.GetUsage() {
		grants = append(grants, &statev1.TokenGrant{
			Customer:    u.GetCustomer(),
			Outstanding: m.bank.Settle(m.accountTime(), s.key.holder(), u.GetCustomer(), u.GetCharged(), u.GetReturned()),
		})
	}
	return grants
}

func appendAsks(asks []account.Ask, lines []*statev1.TokenGrant, s *session, e *statev1.EntrySync) ([]account.Ask, []*statev1.TokenGrant) {
	for i, u := range e.GetUsage() {
		if u.GetWant() == 0 {
			continue
		}
		asks = append(asks, account.Ask{Holder: s.key.holder(), Customer: u.GetCustomer(), Want: u.GetWant()})
		lines = append(lines, s.lastGrants[i])
	}
	return asks, lines
}

// closeSession ends a session at its own wish and returns what it holds.
func (m *Machine) closeSession(s *session, e *statev1.EntrySync) {
	if e.GetSeq() > s.seq {
		m.settle(s, e)
	}
	m.bank.Return(m.accountTime(), s.key.holder())
	m.endSession(s)
}

// accountTime is the time by which accounts grow.
func (m *Machine) accountTime() uint64 {
	if m.faults.wallClock {
		return m.wall
	}
	return m.now
}
