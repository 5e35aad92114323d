package fleet

import (
	"slices"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/config"
)

// maxVersions is the number of configuration versions that are kept for history,
// rollback and deltas: about two days of changes at the target fleet size.
const maxVersions = 1000

// version is a configuration version in the history.
type version struct {
	info *statev1.VersionInfo
	// document is this version without its keys.
	document *statev1.Config
	// delta leads from the previous version to this one, without keys.
	delta *statev1.ConfigDelta
	// changed names every resource, including keys, that differs from the previous
	// version.
	changed []*statev1.ResourceName
	// full is set if changed does not describe the whole difference.
	full bool
	// restorableKeys are the keys of this version; set only with
	// faults.rollbackRestoresKeys.
	restorableKeys []*statev1.Key
}

// history holds the last maxVersions versions, oldest first, without gaps.
type history struct {
	versions []*version
}

func (h *history) find(number uint64) *version {
	if len(h.versions) == 0 {
		return nil
	}
	first := h.versions[0].info.GetVersion()
	if number < first || number-first >= uint64(len(h.versions)) {
		return nil
	}
	return h.versions[number-first]
}

func (h *history) last() *statev1.VersionInfo {
	if len(h.versions) == 0 {
		return nil
	}
	return h.versions[len(h.versions)-1].info
}

func (h *history) add(v *version) {
	h.versions = append(h.versions, v)
	if len(h.versions) > maxVersions {
		h.versions = slices.Delete(h.versions, 0, len(h.versions)-maxVersions)
	}
}

func (m *Machine) changeConfig(c *statev1.Command, change *statev1.ConfigChange) *statev1.Result {
	if !change.GetAnyBase() {
		if r := m.checkBase(change.GetBaseVersion()); r != nil {
			return r
		}
	}
	if missing := config.MissingRemovals(m.config, change); len(missing) != 0 {
		return refuse(resultcode.ResourceUnknown, "%s %q does not exist", missing[0].GetKind(), missing[0].GetName())
	}
	return m.commitConfig(c, config.ApplyChange(m.config, change), change.GetComment())
}

func (m *Machine) rollback(c *statev1.Command, r *statev1.Rollback) *statev1.Result {
	if r := m.checkBase(r.GetBaseVersion()); r != nil {
		return r
	}
	target := m.history.find(r.GetToVersion())
	if target == nil {
		return refuse(resultcode.VersionUnknown, "version %d is not among the last %d", r.GetToVersion(), maxVersions)
	}
	next := config.Rollback(m.config, target.document)
	if m.faults.rollbackRestoresKeys {
		next.Keys = target.restorableKeys
	}
	return m.commitConfig(c, next, "")
}

// checkBase returns the refusal of a change that is not based on the current
// version, or nil.
func (m *Machine) checkBase(base uint64) *statev1.Result {
	if base == m.config.GetVersion() || m.faults.ignoreBase {
		return nil
	}
	r := refuse(resultcode.ConfigConflict, "the change is based on version %d, the present version is %d", base, m.config.GetVersion())
	r.Conflict = m.history.last()
	return r
}

// commitConfig validates the next configuration and puts it into force.
func (m *Machine) commitConfig(c *statev1.Command, next *statev1.Config, comment string) *statev1.Result {
	if faults := config.Validate(next); len(faults) != 0 {
		r := refuse(resultcode.ConfigInvalid, "the configuration has faults: %d", len(faults))
		r.Faults = config.FaultStrings(faults)
		return r
	}
	d := config.Delta(m.config, next)
	document := config.WithKeys(next, nil)
	v := &version{
		info: &statev1.VersionInfo{
			Version:     next.GetVersion(),
			Author:      c.GetAuthor(),
			Comment:     comment,
			WallTimeMs:  c.GetWallTimeMs(),
			FleetTimeMs: m.now,
			RequestId:   c.GetRequestId(),
		},
		document: document,
		delta:    deltaWithoutKeys(d, document),
		changed:  config.ChangedResources(d),
		full:     d.GetFull() != nil,
	}
	if m.faults.rollbackRestoresKeys {
		v.restorableKeys = next.GetKeys()
	}
	m.history.add(v)
	m.setConfig(next)
	return &statev1.Result{}
}

// deltaWithoutKeys returns the delta without keys. document is the configuration
// that the delta leads to, also without keys.
func deltaWithoutKeys(d *statev1.ConfigDelta, document *statev1.Config) *statev1.ConfigDelta {
	out := &statev1.ConfigDelta{FromVersion: d.GetFromVersion(), ToVersion: d.GetToVersion()}
	if d.GetFull() != nil {
		out.Full = document
		return out
	}
	out.Upserts = config.WithKeys(d.GetUpserts(), nil)
	for _, r := range d.GetRemoved() {
		if r.GetKind() != statev1.ResourceKind_RESOURCE_KIND_KEY {
			out.Removed = append(out.Removed, r)
		}
	}
	return out
}

// setConfig puts a configuration into force for the machine, the token accounts
// and the orders.
func (m *Machine) setConfig(next *statev1.Config) {
	m.config = next
	m.accounts.SetCustomers(m.accountTime(), next.GetCustomers())
	m.orders.SetEndpoints(m.now, engines(next))
}

func engines(c *statev1.Config) map[string]bool {
	out := map[string]bool{}
	for _, e := range c.GetEndpoints() {
		if e.GetKind() == statev1.EndpointKind_ENDPOINT_KIND_ENGINE {
			out[e.GetName()] = true
		}
	}
	return out
}

// ConfigAt returns a version of the configuration. Versions other than the current
// one have no keys.
func (m *Machine) ConfigAt(number uint64) (*statev1.Config, bool) {
	if number == m.config.GetVersion() {
		return m.config, true
	}
	v := m.history.find(number)
	if v == nil {
		return nil, false
	}
	return v.document, true
}

// DeltaSince returns the delta from a version to the current one, or nil if the
// version is the current one. The delta contains the full configuration if the
// version is not in the history.
func (m *Machine) DeltaSince(number uint64) *statev1.ConfigDelta {
	if number == m.config.GetVersion() {
		return nil
	}
	full := &statev1.ConfigDelta{FromVersion: number, ToVersion: m.config.GetVersion(), Full: m.config}
	if m.history.find(number) == nil {
		return full
	}
	seen := map[statev1.ResourceKind]map[string]bool{}
	var names []*statev1.ResourceName
	for n := number + 1; n <= m.config.GetVersion(); n++ {
		v := m.history.find(n)
		if v.full {
			return full
		}
		for _, r := range v.changed {
			if seen[r.GetKind()] == nil {
				seen[r.GetKind()] = map[string]bool{}
			}
			if !seen[r.GetKind()][r.GetName()] {
				seen[r.GetKind()][r.GetName()] = true
				names = append(names, r)
			}
		}
	}
	return config.DeltaForResources(m.config, number, names)
}

// History returns the last versions, newest first.
func (m *Machine) History(limit int) []*statev1.VersionInfo {
	versions := m.history.versions
	if limit <= 0 || limit > len(versions) {
		limit = len(versions)
	}
	out := make([]*statev1.VersionInfo, 0, limit)
	for i := range limit {
		out = append(out, versions[len(versions)-1-i].info)
	}
	return out
}
