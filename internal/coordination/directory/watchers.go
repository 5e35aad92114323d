package directory

import (
	"maps"
	"slices"
	"time"
)

// watchers is the leader's record of which entries watch which control VM. An entry
// that has changed to another control VM is in both sets for a while.
type watchers struct {
	sets map[string]watcherSet // by control VM
	// current is the control VM whose set an entry was added to last.
	current map[string]string
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

func newWatchers() *watchers {
	return &watchers{sets: map[string]watcherSet{}, current: map[string]string{}}
}

// set replaces the set of a control VM.
func (w *watchers) set(vm string, version uint64, addresses map[string]string) {
	before := w.sets[vm].addresses
	for entry := range addresses {
		if _, known := before[entry]; !known {
			w.current[entry] = vm
		}
	}
	w.sets[vm] = watcherSet{version: version, addresses: addresses}
	w.changed()
}

// remove removes the set of a control VM.
func (w *watchers) remove(vm string) {
	delete(w.sets, vm)
	maps.DeleteFunc(w.current, func(_, at string) bool { return at == vm })
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
	maps.DeleteFunc(w.current, func(entry, _ string) bool { return !entries[entry] })
}

// moved returns the entries of a control VM's set that were added to another one's
// since. Their demand must not count at both.
func (w *watchers) moved(vm string) []string {
	var out []string
	for entry := range w.sets[vm].addresses {
		if at, known := w.current[entry]; known && at != vm {
			out = append(out, entry)
		}
	}
	return out
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
