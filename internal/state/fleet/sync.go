package fleet

import (
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/account"
)

// syncBatch applies the syncs that the leader collected. All usage is settled
// before tokens are granted, so that the order within a batch favours no entry.
//
// Entries must follow these rules; otherwise their customers could exceed their
// rate:
//   - An entry has at most one unacknowledged sync with usage, and resends it
//     unchanged with the same seq. The first one has seq 1. A sync without usage
//     repeats the last seq.
//   - Outstanding is the number of tokens that were leased to the session when its
//     sync was applied, in the first response as well as in a repeated one. The
//     entry subtracts what it charged after it built the sync. Granted is for
//     information only.
//   - When the lease expires by the entry's own clock, the entry drops its leased
//     tokens. It accepts a new balance only from a later response to a sync with
//     usage.
func (m *Machine) syncBatch(c *statev1.Command, b *statev1.SyncBatch) *statev1.Result {
	result := &statev1.Result{Syncs: make([]*statev1.EntrySyncResult, len(b.GetEntries()))}
	var leaseRequests []account.LeaseRequest
	var pendingGrants []*statev1.TokenGrant
	if m.faults.wallClock {
		m.proposerWallMs = uint64(c.GetWallTimeMs())
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
		case e.GetSeq() > s.seq || m.faults.reapplySyncs:
			s.seq = e.GetSeq()
			s.lastGrants = m.settle(s, e)
			one.Grants = s.lastGrants
			leaseRequests, pendingGrants = appendLeaseRequests(leaseRequests, pendingGrants, s, e)
		case e.GetSeq() == s.seq && len(e.GetUsage()) == 0:
		case e.GetSeq() == s.seq:
			one.Grants = s.lastGrants
		default:
			// The higher seq shows the entry that a later sync was applied.
			one.Seq = s.seq
		}
	}
	for i, granted := range m.accounts.Grant(m.accountTime(), leaseRequests) {
		pendingGrants[i].Granted = granted.Granted
		pendingGrants[i].Outstanding = granted.Outstanding
	}
	return result
}

// openSession returns the session of a sync after renewing it, or nil if it has
// ended. An unknown session is created if it can be new: its first sync with usage
// has seq 1, so a higher seq is refused.
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
			Outstanding: m.accounts.Settle(m.accountTime(), s.key.holder(), u.GetCustomer(), u.GetCharged(), u.GetReturned()),
		})
	}
	return grants
}

func appendLeaseRequests(leaseRequests []account.LeaseRequest, pendingGrants []*statev1.TokenGrant, s *session, e *statev1.EntrySync) ([]account.LeaseRequest, []*statev1.TokenGrant) {
	for i, u := range e.GetUsage() {
		if u.GetWant() == 0 {
			continue
		}
		leaseRequests = append(leaseRequests, account.LeaseRequest{Holder: s.key.holder(), Customer: u.GetCustomer(), Want: u.GetWant()})
		pendingGrants = append(pendingGrants, s.lastGrants[i])
	}
	return leaseRequests, pendingGrants
}

// closeSession ends a session at the entry's request and returns its leases to the
// accounts.
func (m *Machine) closeSession(s *session, e *statev1.EntrySync) {
	if e.GetSeq() > s.seq {
		m.settle(s, e)
	}
	m.accounts.Return(m.accountTime(), s.key.holder())
	m.endSession(s)
}

// accountTime is the time by which accounts are refilled.
func (m *Machine) accountTime() uint64 {
	if m.faults.wallClock {
		return m.proposerWallMs
	}
	return m.now
}
