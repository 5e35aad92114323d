package fleet

import (
	"container/list"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/account"
	"github.com/radishloom/radishloom/internal/state/claim"
)

const (
	// tokenLeaseMs is how long token leases last after the sync that renewed them.
	tokenLeaseMs = 5_000
	// sessionTimeoutMs is how long a session lasts without a sync.
	sessionTimeoutMs = 10_000
	// maxEndedSessions is the number of ended sessions that are remembered, so that
	// a late sync does not revive one.
	maxEndedSessions = 10_000
)

type sessionKey struct {
	vm, incarnation string
}

func keyOf(s *statev1.Session) sessionKey {
	return sessionKey{s.GetVm(), s.GetIncarnation()}
}

func (k sessionKey) holder() account.Holder {
	return account.Holder{VM: k.vm, Incarnation: k.incarnation}
}

// session is the state of one incarnation of an entry.
type session struct {
	key           sessionKey
	dataCentre    string
	seq           uint64
	started       uint64
	lastSync      uint64
	configVersion uint64
	leasesExpired bool
	// lastGrants is returned again if the last sync is repeated.
	lastGrants []*statev1.TokenGrant
	element    *list.Element
}

// SessionInfo describes a live session.
type SessionInfo struct {
	VM, Incarnation, DataCentre string
	// ConfigVersion is the highest configuration version that the entry reported
	// as in force.
	ConfigVersion         uint64
	StartedMs, LastSyncMs uint64
}

// sessions holds the live sessions, ordered by their last sync, and the keys of
// the sessions that ended last.
type sessions struct {
	live      map[sessionKey]*session
	order     *list.List // of *session
	ended     map[sessionKey]bool
	endedList *list.List // of sessionKey
}

func newSessions() sessions {
	return sessions{
		live:      map[sessionKey]*session{},
		order:     list.New(),
		ended:     map[sessionKey]bool{},
		endedList: list.New(),
	}
}

func (s *sessions) add(one *session) {
	s.live[one.key] = one
	one.element = s.order.PushBack(one)
}

func (s *sessions) touch(one *session, now uint64) {
	one.lastSync = now
	s.order.MoveToBack(one.element)
}

func (s *sessions) end(one *session) {
	delete(s.live, one.key)
	s.order.Remove(one.element)
	s.rememberEnded(one.key)
}

func (s *sessions) rememberEnded(key sessionKey) {
	if s.ended[key] {
		return
	}
	s.ended[key] = true
	s.endedList.PushBack(key)
	if s.endedList.Len() > maxEndedSessions {
		delete(s.ended, s.endedList.Remove(s.endedList.Front()).(sessionKey))
	}
}

// Sessions returns the live sessions, ordered by their last sync.
func (m *Machine) Sessions() []SessionInfo {
	out := make([]SessionInfo, 0, len(m.sessions.live))
	for e := m.sessions.order.Front(); e != nil; e = e.Next() {
		s := e.Value.(*session)
		out = append(out, SessionInfo{
			VM:            s.key.vm,
			Incarnation:   s.key.incarnation,
			DataCentre:    s.dataCentre,
			ConfigVersion: s.configVersion,
			StartedMs:     s.started,
			LastSyncMs:    s.lastSync,
		})
	}
	return out
}

// LiveSessions returns the number of live sessions.
func (m *Machine) LiveSessions() int { return len(m.sessions.live) }

// expireLeases writes off the token leases of sessions that did not renew them in
// time.
func (m *Machine) expireLeases() {
	for e := m.sessions.order.Front(); e != nil; e = e.Next() {
		s := e.Value.(*session)
		if s.lastSync+tokenLeaseMs > m.now {
			return
		}
		if s.leasesExpired {
			continue
		}
		s.leasesExpired = true
		s.lastGrants = zeroGrants(s.lastGrants)
		if m.faults.returnExpiredLeases {
			m.accounts.Return(m.accountTime(), s.key.holder())
			continue
		}
		m.accounts.WriteOff(m.accountTime(), s.key.holder())
	}
}

// endExpiredSessions ends the sessions without a sync for sessionTimeoutMs.
func (m *Machine) endExpiredSessions() {
	for e := m.sessions.order.Front(); e != nil; e = m.sessions.order.Front() {
		s := e.Value.(*session)
		if s.lastSync+sessionTimeoutMs > m.now {
			return
		}
		m.endSession(s)
	}
}

func (m *Machine) endSession(s *session) {
	m.sessions.end(s)
	m.claims.EndSession(m.now, claim.Session{VM: s.key.vm, Incarnation: s.key.incarnation})
}

// zeroGrants returns grants without tokens for the same customers. They are the
// result of a repeated sync after its leases were written off.
func zeroGrants(grants []*statev1.TokenGrant) []*statev1.TokenGrant {
	out := make([]*statev1.TokenGrant, len(grants))
	for i, g := range grants {
		out[i] = &statev1.TokenGrant{Customer: g.GetCustomer()}
	}
	return out
}
