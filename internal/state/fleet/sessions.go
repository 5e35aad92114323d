package fleet

import (
	"container/list"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/account"
	"github.com/radishloom/radishloom/internal/state/claim"
)

const (
	// leaseMs is how long token leases last after the sync that renewed them.
	leaseMs = 5_000
	// sessionMs is how long a session lasts without a sync.
	sessionMs = 10_000
	// maxEnded is the number of ended sessions that are remembered, so that a
	// late sync does not bring one back.
	maxEnded = 10_000
)

// sessionKey identifies a session.
type sessionKey struct {
	vm, incarnation string
}

func keyOf(s *statev1.Session) sessionKey {
	return sessionKey{s.GetVm(), s.GetIncarnation()}
}

func (k sessionKey) holder() account.Holder {
	return account.Holder{VM: k.vm, Incarnation: k.incarnation}
}

// session is one run of an entry.
type session struct {
	key           sessionKey
	dataCentre    string
	seq           uint64
	started       uint64
	lastSync      uint64
	configVersion uint64
	leasesExpired bool
	// lastGrants answers a repeat of the last sync.
	lastGrants []*statev1.TokenGrant
	element    *list.Element
}

// SessionInfo describes a live session.
type SessionInfo struct {
	VM, Incarnation, DataCentre string
	// ConfigVersion is the version that the entry last reported as in force.
	ConfigVersion         uint64
	StartedMs, LastSyncMs uint64
}

// sessions holds the live sessions in the order of their last sync and the keys
// of the last ended ones.
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
	if s.endedList.Len() > maxEnded {
		delete(s.ended, s.endedList.Remove(s.endedList.Front()).(sessionKey))
	}
}

// Sessions returns the live sessions in the order of their last sync.
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

// expireLeases writes off the leases of sessions that did not renew them.
func (m *Machine) expireLeases() {
	for e := m.sessions.order.Front(); e != nil; e = e.Next() {
		s := e.Value.(*session)
		if s.lastSync+leaseMs > m.now {
			return
		}
		if s.leasesExpired {
			continue
		}
		s.leasesExpired = true
		s.lastGrants = emptied(s.lastGrants)
		if m.faults.returnVanished {
			m.bank.Return(m.accountTime(), s.key.holder())
			continue
		}
		m.bank.WriteOff(m.accountTime(), s.key.holder())
	}
}

// endVanished ends the sessions that did not sync for too long.
func (m *Machine) endVanished() {
	for e := m.sessions.order.Front(); e != nil; e = m.sessions.order.Front() {
		s := e.Value.(*session)
		if s.lastSync+sessionMs > m.now {
			return
		}
		m.endSession(s)
	}
}

func (m *Machine) endSession(s *session) {
	m.sessions.end(s)
	m.claims.EndSession(m.now, claim.Session{VM: s.key.vm, Incarnation: s.key.incarnation})
}

// emptied returns the answer to a repeated sync after its leases were written
// off.
func emptied(grants []*statev1.TokenGrant) []*statev1.TokenGrant {
	out := make([]*statev1.TokenGrant, len(grants))
	for i, g := range grants {
		out[i] = &statev1.TokenGrant{Customer: g.GetCustomer()}
	}
	return out
}
