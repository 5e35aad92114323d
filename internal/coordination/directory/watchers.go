package directory

import (
	"slices"
	"time"
)

// watchers is the leader's record of which entries watch which control VM. An entry
// that has changed to another control VM is in both sets for a while.
type watchers struct {
	sets map[string]watcherSet // by control VM
	// version grows when the union of the sets may have changed. addresses is the list
	// of addresses at addressesVersion.
	version, addressesVersion uint64
	addresses                 []string
	addressesAt               time.Duration
	count                     int // of different entries
}

// watcherSet is the set of entries that watch one control VM.
type watcherSet struct {
	version   uint64            // given by the control VM
	addresses map[string]string // by entry
}

func newWatchers() *watchers { return &watchers{sets: map[string]watcherSet{}} }

// set replaces the set of a control VM.
func (w *watchers) set(vm string, version uint64, addresses map[string]string) {
	w.sets[vm] = watcherSet{version: version, addresses: addresses}
	w.changed()
}

// remove removes the set of a control VM.
func (w *watchers) remove(vm string) {
	delete(w.sets, vm)
	w.changed()
}

func (w *watchers) changed() {
	w.version++
	entries := map[string]bool{}
	for _, s := range w.sets {
		for entry := range s.addresses {
			entries[entry] = true
		}
	}
	w.count = len(entries)
}

// setVersion returns the version of a control VM's set, or zero if there is none.
func (w *watchers) setVersion(vm string) uint64 { return w.sets[vm].version }

// list returns the addresses at which entries receive datagrams from others, and the
// version of that list. A list is kept for peersInterval.
func (w *watchers) list(now time.Duration) ([]string, uint64) {
	if w.addressesVersion == w.version || (w.addresses != nil && now-w.addressesAt < peersInterval) {
		return w.addresses, w.addressesVersion
	}
	w.addresses, w.addressesVersion, w.addressesAt = nil, w.version, now
	for _, s := range w.sets {
		for _, address := range s.addresses {
			if address != "" {
				w.addresses = append(w.addresses, address)
			}
		}
	}
	slices.Sort(w.addresses)
	w.addresses = slices.Compact(w.addresses)
	return w.addresses, w.addressesVersion
}
