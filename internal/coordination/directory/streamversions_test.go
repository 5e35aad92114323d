package directory

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/fleet"
)

// endpointsAt returns an endpoint of the service s for each version.
func endpointsAt(versions ...string) []Endpoint {
	var out []Endpoint
	for i, v := range versions {
		id := fmt.Sprint("e", i)
		out = append(out, Endpoint{ID: id, Service: "s", Address: id + ":1", Slots: 4, SoftwareVersion: v})
	}
	return out
}

// of returns the origin of a stream that began at a version of the service s.
func of(version string) ServiceVersion { return ServiceVersion{"s", version} }

func wantAnswer(t *testing.T, v *StreamVersions, now time.Duration, stream uint64, version string, kind StreamAnswer) {
	t.Helper()
	got, gotKind := v.Answer(now, stream, "s")
	if got.Version != version || gotKind != kind || (got.Service == "s") != (version != "") {
		t.Errorf("at %v, stream %d: %q (%s), want %q (%s)", now, stream, got, gotKind, version, kind)
	}
}

func wantRecent(t *testing.T, v *StreamVersions, versions ...string) {
	t.Helper()
	var got []string
	for _, k := range sortedVersions(v.recent) {
		got = append(got, k.Version)
	}
	if !slices.Equal(got, versions) || v.Differ("s") != (len(versions) > 1) {
		t.Errorf("recent versions %q, differ: %t, want %q", got, v.Differ("s"), versions)
	}
}

// Guards against a core that tells only an old from a new version.
func TestThreeVersionsServeAtOnce(t *testing.T) {
	v := NewStreamVersions(false)
	change := v.SetList(0, endpointsAt("v1", "v2", "v3", "v2"))
	if len(change.Appeared) != 3 {
		t.Errorf("change %+v", change)
	}
	wantRecent(t, v, "v1", "v2", "v3")
	for i := range uint64(3) {
		v.Record(0, i+1, of(fmt.Sprint("v", i+1)), 0)
	}
	for i := range uint64(3) {
		wantAnswer(t, v, time.Second, i+1, fmt.Sprint("v", i+1), StreamRecorded)
	}
	v.Record(0, 0, of("v1"), 0) // of a caller that did not state its attempt
	wantAnswer(t, v, time.Second, 9, "", StreamUnknown)
	wantAnswer(t, v, time.Second, 0, "", StreamUnknown)
}

// Guards against a version that is forgotten while its streams may be taken up, because it
// left and came back, a list had a hole, or no list could be read for a while.
func TestVersionStaysForAMinuteAfterTheListsLackIt(t *testing.T) {
	v := NewStreamVersions(false)
	both, one := endpointsAt("v1", "v2"), endpointsAt("v1")
	v.SetList(0, both)
	v.SetList(70*time.Second, one) // the lists in between could not be read
	wantRecent(t, v, "v1", "v2")
	v.SetList(71*time.Second, both) // comes back
	v.SetList(72*time.Second, nil)  // a hole
	v.SetList(73*time.Second, both)
	v.SetList(74*time.Second, one)
	v.SetList(74*time.Second+streamMemory-1, one)
	wantRecent(t, v, "v1", "v2")
	wantAnswer(t, v, 80*time.Second, 1, "", StreamUnknown)
	if change := v.SetList(74*time.Second+streamMemory, one); !slices.Equal(change.Left, []ServiceVersion{{"s", "v2"}}) {
		t.Errorf("change %+v", change)
	}
	wantRecent(t, v, "v1")
	wantAnswer(t, v, 140*time.Second, 1, "v1", StreamOnlyVersion)
}

// Guards against a version that comes back while its removal is being saved, and is
// published although the next leader does not learn of it, and against a removal that is
// not saved again after its outcome was not learned.
func TestVersionThatComesBackDuringItsRemovalWaitsForTheNextSave(t *testing.T) {
	v := NewStreamVersions(true)
	v.Open(0, []ServiceVersion{{"s", "v1"}, {"s", "v2"}})
	v.SetList(0, endpointsAt("v1"))
	v.SetList(streamMemory, endpointsAt("v1"))
	for range 2 {
		if removal := v.BeginSave(); !slices.Equal(removal, []ServiceVersion{{"s", "v1"}}) {
			t.Fatalf("saved %v", removal)
		}
		v.SaveFailed()
		if !v.Unsaved() {
			t.Error("a removal whose outcome is not known is not saved again")
		}
	}
	v.BeginSave()
	v.SetList(streamMemory, endpointsAt("v1", "v2"))
	if v.Published(ServiceVersion{"s", "v2"}) {
		t.Error("published while the replicated state may lack it")
	}
	v.SaveFailed()
	if !v.Unsaved() || v.Published(ServiceVersion{"s", "v2"}) {
		t.Errorf("unsaved %t after a save whose outcome is not known", v.Unsaved())
	}
	if more := v.Saved(v.BeginSave()); !more || !v.Published(ServiceVersion{"s", "v2"}) || v.Unsaved() {
		t.Error("not published after the save")
	}
}

// Guards against an answer from a record that does not tell the version: of a stream that
// was reported twice with different versions, or whose version an entry cannot tell.
func TestContradictoryRecordsMakeAStreamUnknown(t *testing.T) {
	v := NewStreamVersions(false)
	v.SetList(0, endpointsAt("v1"))
	v.Record(0, 1, of("v1"), 0)
	v.Record(0, 1, of("v1"), time.Second)
	wantAnswer(t, v, 0, 1, "v1", StreamRecorded)
	v.Record(time.Second, 1, of("v2"), 0)
	v.Record(time.Second, 1, of("v1"), 0)
	v.Record(0, 2, of("v1"), 0)
	v.Record(time.Second, 2, of(""), 5*time.Second)
	v.Record(time.Second, 3, of(""), 0)
	v.Record(time.Second, 3, of("v1"), 0)
	for stream := range uint64(3) {
		wantAnswer(t, v, streamMemory, stream+1, "", StreamUnknown)
	}
}

// Guards against records that outlive their time, and against a memory that grows without
// end. A record that was dropped must not be answered with one of several versions.
func TestRecordsAreBoundedInTimeAndNumber(t *testing.T) {
	v := NewStreamVersions(false)
	v.SetList(0, endpointsAt("v1", "v2"))
	v.Record(0, 1, of("v1"), 20*time.Second)
	v.Record(0, 2, of("v1"), streamMemory)
	wantAnswer(t, v, 40*time.Second-1, 1, "v1", StreamRecorded)
	wantAnswer(t, v, 40*time.Second, 1, "", StreamUnknown)
	wantAnswer(t, v, 0, 2, "", StreamUnknown)
	for i := range uint64(maxStreamRecords) {
		v.Record(time.Second, 10+i, of("v2"), 0)
	}
	if n := v.Streams(time.Second); n != maxStreamRecords {
		t.Errorf("%d records, the bound is %d", n, maxStreamRecords)
	}
	wantAnswer(t, v, time.Second, 1, "", StreamUnknown)
	wantAnswer(t, v, time.Second, 10, "v2", StreamRecorded)
	if n := v.Streams(time.Second + streamMemory); n != 0 || len(v.streams.queue) != 0 {
		t.Errorf("%d records and %d queued after their time", n, len(v.streams.queue))
	}
}

// Guards against a log entry for each list that grows without end, as other programs write
// to the list. Versions beyond the bound are not published; those before it stay.
func TestRecentVersionsAreBounded(t *testing.T) {
	v := NewStreamVersions(false)
	v.SetList(0, endpointsAt("v1"))
	var odd []string
	for i := range maxRecentVersions {
		odd = append(odd, fmt.Sprint("a", i))
	}
	change := v.SetList(0, endpointsAt(append(odd, "v1")...))
	if !change.ExcludedChanged || change.Excluded != 1 || len(v.recent) != maxRecentVersions || !v.Published(ServiceVersion{"s", "v1"}) {
		t.Errorf("%d recent versions, %d excluded", len(v.recent), change.Excluded)
	}
	if change := v.SetList(1, endpointsAt(append(odd, "v1")...)); !change.Empty() {
		t.Errorf("the same list again: %+v", change)
	}
}

// declaration is a save that a leader has begun. It is pending until its outcome is drawn.
type declaration struct {
	term     uint64
	opens    bool
	versions []ServiceVersion
}

// versionsWorld is a replicated state with one leader after the other.
type versionsWorld struct {
	machine   *fleet.Machine
	index     uint64
	now       time.Duration
	term      uint64
	leader    *StreamVersions
	list      []Endpoint
	listed    bool
	pending   *declaration
	late      []*declaration // of earlier leaders, which may still be applied
	published map[ServiceVersion]time.Duration
}

func (w *versionsWorld) apply(d *declaration) bool {
	w.index++
	p := &statev1.PutRecentVersions{Term: d.term, Services: encodeVersions(d.versions)}
	return w.machine.Apply(w.index, &statev1.Command{Op: &statev1.Command_PutRecentVersions{PutRecentVersions: p}}).GetCode() == 0
}

func (w *versionsWorld) elect() {
	if w.pending != nil {
		w.late = append(w.late, w.pending)
	}
	w.term++
	w.leader, w.pending, w.listed = NewStreamVersions(true), nil, false
}

func (w *versionsWorld) begin() {
	switch {
	case w.pending != nil:
	case !w.leader.Opened():
		w.pending = &declaration{term: w.term, opens: true}
	case w.leader.Unsaved():
		w.pending = &declaration{term: w.term, versions: w.leader.BeginSave()}
	}
}

func (w *versionsWorld) end(applied, acknowledged bool) {
	d := w.pending
	if d == nil {
		return
	}
	w.pending = nil
	switch ok := applied && w.apply(d); {
	case !ok || !acknowledged:
		w.leader.SaveFailed()
	case d.opens:
		w.leader.Open(w.now, decodeVersions(w.machine.RecentVersions()))
	default:
		w.leader.Saved(d.versions)
	}
}

// Guards against a version at which streams may have begun and that the next leader does
// not know: whatever fails, and whenever leaders change, the replicated state must have
// each version that was published in the last streamMemory.
func TestEachVersionPublishedLatelyIsCommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &versionsWorld{machine: fleet.New(), published: map[ServiceVersion]time.Duration{}}
		w.elect()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			w.now += time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				w.elect()
			case 1, 2, 3:
				w.list = endpointsAt(rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"v1", "v2", "v3"}), 0, 3, rapid.ID[string]).Draw(t, "listed")...)
				w.listed = true
				w.leader.SetList(w.now, w.list)
			case 4, 5, 6:
				w.begin()
			case 7, 8:
				w.end(rapid.IntRange(0, 3).Draw(t, "applied") > 0, rapid.IntRange(0, 3).Draw(t, "acknowledged") > 0)
			default:
				if len(w.late) > 0 {
					w.apply(w.late[0])
					w.late = w.late[1:]
				}
			}
			if w.listed {
				for _, e := range w.list {
					if w.leader.Published(versionOf(e)) {
						w.published[versionOf(e)] = w.now
					}
				}
			}
			stored := decodeVersions(w.machine.RecentVersions())
			for k, at := range w.published {
				if w.now-at < streamMemory && !slices.Contains(stored, k) {
					t.Fatalf("at %v in term %d: %v was published at %v, the replicated state has %v", w.now, w.term, k, at, stored)
				}
			}
		}
	})
}

// Guards against a stream of a split route that is unknown although its begin was reported,
// or for which the only version of one of the services is a guess.
func TestOriginOfAStreamIsKnownByItsAttempt(t *testing.T) {
	v := NewStreamVersions(false)
	list := endpointsAt("v1")
	other := endpointsAt("v1")
	other[0].ID, other[0].Service = "o", "other"
	v.SetList(0, append(list, other...))
	v.Record(0, 1, ServiceVersion{"other", "v1"}, 0)
	if got, kind := v.Answer(0, 1, ""); got != (ServiceVersion{"other", "v1"}) || kind != StreamRecorded {
		t.Errorf("a reported stream began at %v (%s)", got, kind)
	}
	if got, kind := v.Answer(0, 2, ""); got != (ServiceVersion{}) || kind != StreamUnknown {
		t.Errorf("a stream without a report began at %v (%s)", got, kind)
	}
	v.Record(0, 1, of("v1"), 0)
	if got, kind := v.Answer(0, 1, "s"); got != (ServiceVersion{}) || kind != StreamUnknown {
		t.Errorf("an attempt at two services began at %v (%s)", got, kind)
	}
}

// Guards against a new leader that answers "unknown", for good, for a stream whose entry has
// not reported to it yet, and against one that never says so.
func TestStreamIsPendingUntilTheReportsHaveArrived(t *testing.T) {
	v := NewStreamVersions(true)
	v.SetList(0, endpointsAt("v1", "v2"))
	v.Open(time.Second, []ServiceVersion{of("v1"), of("v2"), {"other", "v1"}})
	wantAnswer(t, v, time.Second, 1, "", StreamPending)
	wantAnswer(t, v, time.Second, 0, "", StreamUnknown) // no report names it
	if got, kind := v.Answer(time.Second, 1, "other"); got.Version != "v1" || kind != StreamOnlyVersion {
		t.Errorf("service with one version: %v (%s)", got, kind)
	}
	v.Record(time.Second, 1, of("v1"), 0)
	wantAnswer(t, v, time.Second, 1, "v1", StreamRecorded)
	wantAnswer(t, v, time.Second+reportsDue, 2, "", StreamUnknown)
}
