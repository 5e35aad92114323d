package directory

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// streamMemory is how long the software versions of streams, and those that are no
	// longer listed, are remembered: longer than a stream and its retries last.
	streamMemory = 60 * time.Second
	// maxRecentVersions bounds the recent versions of all services, and maxVersionNameBytes
	// the name of a service with a version: each change writes all of them to the log.
	// Other programs write to the platform's list too.
	maxRecentVersions   = 1024
	maxVersionNameBytes = 512
	// reportsDue is the time in which entries hear of a new leader, with the answer to a
	// held call or from another control VM, and report their streams to it.
	reportsDue = 3 * time.Second
)

// ServiceVersion is a software version of endpoints of a service. Versions have no order.
type ServiceVersion struct{ Service, Version string }

func versionOf(e Endpoint) ServiceVersion { return ServiceVersion{e.Service, e.SoftwareVersion} }

func compareVersions(a, b ServiceVersion) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
}

func sortedVersions[V any](set map[ServiceVersion]V) []ServiceVersion {
	return slices.SortedFunc(maps.Keys(set), compareVersions)
}

// StreamVersions holds the recent software versions of each service and the versions at
// which streams began, as the leader of one term knows them. It decides only; the times
// passed to it do not decrease.
//
// The recent versions are those in the platform's list now or in the last streamMemory.
// Endpoints of a version may be published once the replicated state is known to have it,
// so that the next leader knows of each version at which a stream can have begun.
type StreamVersions struct {
	// recent has the presence of each recent version, count their number by service.
	recent map[ServiceVersion]*presence
	count  map[string]int
	// committed is what the replicated state has at least.
	committed map[ServiceVersion]bool
	// replicated is set if there is a replicated state, opened once it refuses declarations
	// of earlier terms and its versions are known.
	replicated, opened bool
	// reportsAt is when the entries' reports to a new leader have arrived.
	reportsAt time.Duration
	// unsure is set after a save that may or may not have been carried out.
	unsure bool
	// ready is set once the list may be published.
	ready bool
	// excluded is the number of listed versions beyond the bounds.
	excluded int
	streams  streamRecords
}

// presence tells whether a version is in the platform's list.
type presence struct {
	absent bool
	since  time.Duration // of the first list that lacked it; valid if absent
}

// VersionsChange is how a list changed the recent versions.
type VersionsChange struct {
	Appeared, Left []ServiceVersion
	// Excluded is the number of listed versions beyond the bounds, if it changed.
	Excluded        int
	ExcludedChanged bool
}

// Empty reports whether nothing changed.
func (c VersionsChange) Empty() bool {
	return len(c.Appeared) == 0 && len(c.Left) == 0 && !c.ExcludedChanged
}

// NewStreamVersions returns the state at the begin of a term. Without a replicated state,
// each version counts as committed when it is listed.
func NewStreamVersions(replicated bool) *StreamVersions {
	return &StreamVersions{
		recent: map[ServiceVersion]*presence{}, count: map[string]int{}, committed: map[ServiceVersion]bool{},
		replicated: replicated, opened: !replicated, streams: newStreamRecords(),
	}
}

// Open takes over the versions of the replicated state once no leader of an earlier term
// can change them. From now on entries can report their streams.
func (v *StreamVersions) Open(now time.Duration, stored []ServiceVersion) {
	v.opened, v.unsure = true, false
	v.reportsAt = now + reportsDue
	v.committed = make(map[ServiceVersion]bool, len(stored))
	for _, k := range stored {
		v.committed[k] = true
		if v.recent[k] == nil {
			v.add(k) // the next list that lacks it begins its absence
		}
	}
}

// Committed returns the number of versions that the replicated state has at least.
func (v *StreamVersions) Committed() int { return len(v.committed) }

// Opened reports whether Open has been called, or is not needed.
func (v *StreamVersions) Opened() bool { return v.opened }

func (v *StreamVersions) add(k ServiceVersion) {
	v.recent[k] = &presence{}
	v.count[k.Service]++
}

func (v *StreamVersions) remove(k ServiceVersion) {
	delete(v.recent, k)
	if v.count[k.Service]--; v.count[k.Service] == 0 {
		delete(v.count, k.Service)
	}
}

// SetList records the platform's list.
func (v *StreamVersions) SetList(now time.Duration, list []Endpoint) VersionsChange {
	listed := make(map[ServiceVersion]bool)
	for _, e := range list {
		listed[versionOf(e)] = true
	}
	var change VersionsChange
	change.Left = v.removeAbsent(now, listed)
	excluded := 0
	for _, k := range sortedVersions(listed) {
		switch p := v.recent[k]; {
		case p != nil:
			p.absent = false
		case len(v.recent) >= maxRecentVersions, len(k.Service)+len(k.Version) > maxVersionNameBytes:
			excluded++
		default:
			v.add(k)
			change.Appeared = append(change.Appeared, k)
		}
	}
	change.Excluded, change.ExcludedChanged = excluded, excluded != v.excluded
	v.excluded = excluded
	if !v.replicated {
		v.Saved(sortedVersions(v.recent))
	}
	return change
}

// removeAbsent removes the versions that lists have lacked for streamMemory. The time of a
// list that could not be read counts only between two lists that lack the version.
func (v *StreamVersions) removeAbsent(now time.Duration, listed map[ServiceVersion]bool) (left []ServiceVersion) {
	for _, k := range sortedVersions(v.recent) {
		p := v.recent[k]
		switch {
		case listed[k]:
		case !p.absent:
			*p = presence{absent: true, since: now}
		case now-p.since >= streamMemory:
			v.remove(k)
			left = append(left, k)
		}
	}
	return left
}

// Unsaved reports whether the replicated state lacks, or may lack, a change.
func (v *StreamVersions) Unsaved() bool {
	if !v.opened {
		return false
	}
	if v.unsure || len(v.committed) != len(v.recent) {
		return true
	}
	for k := range v.recent {
		if !v.committed[k] {
			return true
		}
	}
	return false
}

// BeginSave returns the versions to save. From now on those that the replicated state may
// lose with the save count as not committed.
func (v *StreamVersions) BeginSave() []ServiceVersion {
	maps.DeleteFunc(v.committed, func(k ServiceVersion, _ bool) bool { return v.recent[k] == nil })
	return sortedVersions(v.recent)
}

// Saved records that a save has succeeded. It reports whether further versions may be
// published.
func (v *StreamVersions) Saved(versions []ServiceVersion) (more bool) {
	before := v.committed
	v.committed, v.unsure = make(map[ServiceVersion]bool, len(versions)), false
	for _, k := range versions {
		v.committed[k] = true
		more = more || !before[k]
	}
	return more
}

// SaveFailed records that a save has failed, or that its outcome is not known.
func (v *StreamVersions) SaveFailed() { v.unsure = true }

// Ready reports whether the list of endpoints may be published. While the first versions
// of a fleet are not saved, readers keep the list that they have, instead of an empty one.
func (v *StreamVersions) Ready() bool {
	v.ready = v.ready || v.opened && (len(v.committed) > 0 || len(v.recent) == 0)
	return v.ready
}

// Published reports whether endpoints of a version may be published.
func (v *StreamVersions) Published(k ServiceVersion) bool { return v.committed[k] }

// Differ reports whether a service has more than one recent version.
func (v *StreamVersions) Differ(service string) bool { return v.count[service] > 1 }

// StreamAnswer is the kind of an answer about a stream.
type StreamAnswer string

// Kinds of answers, which are label values of a metric.
const (
	// StreamRecorded: what began the stream was reported.
	StreamRecorded StreamAnswer = "recorded"
	// StreamOnlyVersion: the service has one recent version.
	StreamOnlyVersion StreamAnswer = "only_version"
	// StreamPending: a report of the stream may be on its way to a new leader.
	StreamPending StreamAnswer = "pending"
	// StreamUnknown: the version that began the stream cannot be told.
	StreamUnknown StreamAnswer = "unknown"
)

// Record records that a stream began at a version of a service, age ago. An empty version,
// or an origin that differs from that of an earlier report, makes its origin unknown.
func (v *StreamVersions) Record(now time.Duration, stream uint64, origin ServiceVersion, age time.Duration) {
	v.streams.record(now, stream, origin, age)
}

// Streams returns the number of recorded streams.
func (v *StreamVersions) Streams(now time.Duration) int { return v.streams.prune(now) }

// Answer returns what began a stream, without a version if that is unknown. A stream of
// zero has no record. service is the only service that can have begun the stream, or empty
// if several can.
func (v *StreamVersions) Answer(now time.Duration, stream uint64, service string) (ServiceVersion, StreamAnswer) {
	if origin, known := v.streams.find(now, stream); known {
		if origin.Version == "" {
			return ServiceVersion{}, StreamUnknown
		}
		return origin, StreamRecorded
	}
	if version := v.onlyVersion(service); version != "" {
		return ServiceVersion{service, version}, StreamOnlyVersion
	}
	if stream != 0 && now < v.reportsAt {
		return ServiceVersion{}, StreamPending
	}
	return ServiceVersion{}, StreamUnknown
}

// onlyVersion returns the only version of a service at which streams can have begun, or an
// empty one. Versions that are not committed have never been published.
func (v *StreamVersions) onlyVersion(service string) string {
	only := ""
	for k := range v.committed {
		if k.Service != service {
			continue
		}
		if only != "" {
			return ""
		}
		only = k.Version
	}
	return only
}
