package directory

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

const (
	// maxRemovedEndpoints bounds the removed endpoints that are remembered for deltas.
	maxRemovedEndpoints = 256
	// packedVersions is how many versions old a packed list may be.
	packedVersions = 16
)

// endpointList is the list of endpoints as sent to readers, with the version of each
// endpoint's last change. The leader creates its versions; the other control VMs
// copy them under the same numbers, so that an entry that changes from one control
// VM to another still gets a delta.
type endpointList struct {
	// epoch is the term of the leader that created the list; versions count from its
	// start.
	epoch, version uint64
	endpoints      map[string]*published
	// A reader whose version is older than minDeltaVersion gets the whole list.
	minDeltaVersion uint64
	removed         []removedEndpoint // ordered by version
	packed          packedList
}

// published is an endpoint as sent to readers, with the version of its last change.
type published struct {
	message *peerv1.DirectoryEndpoint
	version uint64
}

// removedEndpoint is an endpoint that was removed from the list at a version.
type removedEndpoint struct {
	id      string
	version uint64
}

// packedList is the whole list of endpoints at a version, encoded and compressed.
type packedList struct {
	version uint64
	data    []byte
}

func newEndpointList() *endpointList { return &endpointList{endpoints: map[string]*published{}} }

// begin starts the list of a new epoch, which has no endpoints yet.
func (l *endpointList) begin(epoch, version uint64) {
	*l = endpointList{epoch: epoch, version: version, minDeltaVersion: version, endpoints: map[string]*published{}}
}

// publish creates the next version, which has exactly the given endpoints.
func (l *endpointList) publish(endpoints []*peerv1.DirectoryEndpoint) {
	l.version++
	present := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		present[e.GetId()] = true
		l.set(e)
	}
	for id := range l.endpoints {
		if !present[id] {
			l.remove(id)
		}
	}
}

// set replaces an endpoint, as part of the current version.
func (l *endpointList) set(e *peerv1.DirectoryEndpoint) {
	old := l.endpoints[e.GetId()]
	if old == nil || !proto.Equal(old.message, e) {
		l.put(e)
	}
}

// put records a change of an endpoint. An older packed list is dropped if the endpoint
// has become evacuated or begun to warm up: a reader would send to it without restriction
// until the next delta. So it is if its software version has changed: a reader would take
// streams that begin there for streams of the old version.
func (l *endpointList) put(e *peerv1.DirectoryEndpoint) {
	var before *peerv1.DirectoryEndpoint
	if old := l.endpoints[e.GetId()]; old != nil {
		before = old.message
	}
	otherVersion := before != nil && e.GetSoftwareVersion() != before.GetSoftwareVersion()
	if otherVersion || (e.GetEvacuated() && !before.GetEvacuated()) || (e.GetWarmingUp() && !before.GetWarmingUp()) {
		l.packed = packedList{}
	}
	l.endpoints[e.GetId()] = &published{message: e, version: l.version}
}

// remove removes an endpoint, as part of the current version, and remembers it for
// deltas. Readers with a version older than the last removal that was dropped get
// the whole list. A copy also remembers endpoints that it never had: a reader that
// has them from another control VM may ask.
func (l *endpointList) remove(id string) {
	delete(l.endpoints, id)
	l.removed = append(l.removed, removedEndpoint{id, l.version})
	if n := len(l.removed) - maxRemovedEndpoints; n > 0 {
		l.minDeltaVersion = l.removed[n-1].version
		l.removed = slices.Delete(l.removed, 0, n)
	}
}

// listUpdate is what a reader of the list gets: the changes since its version, or
// the whole list.
type listUpdate struct {
	epoch, version uint64
	// partial is set for changes; packed is the whole list otherwise.
	partial bool
	changed []*peerv1.DirectoryEndpoint
	gone    []string
	packed  []byte
}

// olderThan reports whether a reader has a newer list than this one.
func (l *endpointList) olderThan(epoch, version uint64) bool {
	return epoch > l.epoch || (epoch == l.epoch && version > l.version)
}

// since returns the update for a reader that has a version of an epoch, which is not
// newer than the list.
func (l *endpointList) since(epoch, version uint64) (listUpdate, error) {
	if epoch != l.epoch || version < l.minDeltaVersion {
		p, err := l.pack()
		return listUpdate{epoch: l.epoch, version: p.version, packed: p.data}, err
	}
	u := listUpdate{epoch: l.epoch, version: l.version, partial: true}
	if version == l.version {
		return u, nil
	}
	for _, p := range l.endpoints {
		if p.version > version {
			u.changed = append(u.changed, p.message)
		}
	}
	for _, r := range l.removed {
		if r.version > version && l.endpoints[r.id] == nil {
			u.gone = append(u.gone, r.id)
		}
	}
	return u, nil
}

// pack returns the packed list. The same one is used for up to packedVersions
// further versions: after a restart of all entries each of them requests it, and
// the next delta brings an older list up to date. See put for the exceptions.
func (l *endpointList) pack() (packedList, error) {
	if l.packed.data != nil && l.packed.version >= l.minDeltaVersion && l.version-l.packed.version <= packedVersions {
		return l.packed, nil
	}
	list := &peerv1.EndpointList{}
	for _, id := range slices.Sorted(maps.Keys(l.endpoints)) {
		list.Endpoints = append(list.Endpoints, l.endpoints[id].message)
	}
	data, err := proto.Marshal(list)
	if err != nil {
		return packedList{}, err
	}
	if data, err = catalog.Pack(data); err != nil {
		return packedList{}, err
	}
	l.packed = packedList{version: l.version, data: data}
	return l.packed, nil
}

// apply brings a copy of the list up to date with an update from the leader. An
// update that is older than the copy, for example one that was sent by an earlier
// leader and arrived late, changes nothing.
func (l *endpointList) apply(u listUpdate) error {
	if !l.olderThan(u.epoch, u.version) {
		return nil
	}
	if u.partial && u.epoch != l.epoch {
		return fmt.Errorf("changes of epoch %d do not apply to a list of epoch %d", u.epoch, l.epoch)
	}
	if !u.partial {
		list, err := UnpackEndpoints(u.packed)
		if err != nil {
			return err
		}
		l.begin(u.epoch, u.version)
		for _, e := range list {
			l.set(e)
		}
		return nil
	}
	l.version = u.version
	for _, id := range u.gone {
		l.remove(id)
	}
	for _, e := range u.changed {
		// Also if it is equal to the copy's: it may have been gone in between, and a
		// reader may have that version from another control VM.
		l.put(e)
	}
	return nil
}

// UnpackEndpoints decodes a packed list of endpoints.
func UnpackEndpoints(packed []byte) ([]*peerv1.DirectoryEndpoint, error) {
	data, err := catalog.Unpack(packed)
	if err != nil {
		return nil, fmt.Errorf("unpack the list of endpoints: %w", err)
	}
	list := &peerv1.EndpointList{}
	if err := proto.Unmarshal(data, list); err != nil {
		return nil, fmt.Errorf("decode the list of endpoints: %w", err)
	}
	return list.GetEndpoints(), nil
}
