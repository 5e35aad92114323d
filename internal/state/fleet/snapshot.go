package fleet

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/config"
)

// Snapshot returns the encoded state. Equal states have equal encodings.
func (m *Machine) Snapshot() ([]byte, error) { return m.Capture()() }

// Capture returns a function that encodes the current state. Another goroutine may
// call it while commands are applied, since the captured values are never
// modified.
func (m *Machine) Capture() (encode func() ([]byte, error)) {
	ids, results := m.requests.save()
	s := &statev1.MachineSnapshot{
		FleetTimeMs:    m.now,
		Config:         &statev1.Config{Version: m.config.GetVersion(), Keys: m.config.GetKeys()},
		Versions:       m.history.save(),
		Requests:       results,
		RequestIds:     ids,
		Accounts:       m.accounts.Save(),
		Claims:         m.claims.Save(),
		Orders:         m.orders.Save(),
		Suspects:       m.suspects.save(),
		Catalog:        m.catalog,
		StreamRoutes:   m.streamRoutes,
		Quarantine:     m.quarantine,
		Evacuations:    m.evacuations.save(),
		RecentVersions: m.recentVersions,
	}
	s.Sessions, s.EndedSessions = m.sessions.save()
	return func() ([]byte, error) {
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
		if err != nil {
			return nil, fmt.Errorf("encode snapshot: %w", err)
		}
		return data, nil
	}
}

// Restore replaces the state by a snapshot. On an error, the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	s := &statev1.MachineSnapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	if len(s.GetRequests()) != len(s.GetRequestIds()) {
		return fmt.Errorf("decode snapshot: %d request identifiers for %d results", len(s.GetRequestIds()), len(s.GetRequests()))
	}
	versions, err := loadHistory(s.GetVersions())
	if err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	m.now = s.GetFleetTimeMs()
	m.history = versions
	m.config = &statev1.Config{}
	if n := len(versions.versions); n != 0 {
		m.config = config.WithKeys(versions.versions[n-1].document, s.GetConfig().GetKeys())
	}
	m.requests.load(s.GetRequestIds(), s.GetRequests())
	m.sessions.load(s.GetSessions(), s.GetEndedSessions())
	m.accounts.Load(s.GetAccounts())
	m.claims.Load(s.GetClaims())
	m.orders.Load(s.GetOrders())
	m.suspects.load(s.GetSuspects())
	m.restoreCatalog(s)
	m.quarantine = s.GetQuarantine()
	m.recentVersions = s.GetRecentVersions()
	m.evacuations.load(s.GetEvacuations())
	return nil
}

func (h *history) save() []*statev1.VersionRecord {
	out := make([]*statev1.VersionRecord, len(h.versions))
	for i, v := range h.versions {
		out[i] = &statev1.VersionRecord{Info: v.info, Delta: v.delta, Changed: v.changed}
		if i == 0 {
			out[i].Delta = &statev1.ConfigDelta{ToVersion: v.info.GetVersion(), Full: v.document}
		}
	}
	return out
}

func loadHistory(records []*statev1.VersionRecord) (history, error) {
	var h history
	document := &statev1.Config{}
	for _, r := range records {
		next, err := config.ApplyDelta(document, r.GetDelta())
		if err != nil {
			return h, err
		}
		document = next
		h.versions = append(h.versions, &version{
			info:     r.GetInfo(),
			document: document,
			delta:    r.GetDelta(),
			changed:  r.GetChanged(),
			full:     r.GetDelta().GetFull() != nil,
		})
	}
	return h, nil
}

func (s *sessions) save() (live []*statev1.SessionRecord, ended []*statev1.Session) {
	for e := s.order.Front(); e != nil; e = e.Next() {
		one := e.Value.(*session)
		live = append(live, &statev1.SessionRecord{
			Session:       &statev1.Session{Vm: one.key.vm, Incarnation: one.key.incarnation, DataCentre: one.dataCentre},
			Seq:           one.seq,
			LastSyncMs:    one.lastSync,
			StartedMs:     one.started,
			ConfigVersion: one.configVersion,
			LeasesExpired: one.leasesExpired,
			LastGrants:    one.lastGrants,
		})
	}
	for e := s.endedList.Front(); e != nil; e = e.Next() {
		key := e.Value.(sessionKey)
		ended = append(ended, &statev1.Session{Vm: key.vm, Incarnation: key.incarnation})
	}
	return live, ended
}

func (s *sessions) load(live []*statev1.SessionRecord, ended []*statev1.Session) {
	*s = newSessions()
	for _, r := range live {
		s.add(&session{
			key:           keyOf(r.GetSession()),
			dataCentre:    r.GetSession().GetDataCentre(),
			seq:           r.GetSeq(),
			started:       r.GetStartedMs(),
			lastSync:      r.GetLastSyncMs(),
			configVersion: r.GetConfigVersion(),
			leasesExpired: r.GetLeasesExpired(),
			lastGrants:    r.GetLastGrants(),
		})
	}
	for _, e := range ended {
		s.rememberEnded(keyOf(e))
	}
}
