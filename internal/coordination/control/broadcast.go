package control

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
)

// watchedState is the part of the state whose changes wake waiting calls: the
// versions of the published data and the member identifier of the leader.
type watchedState struct {
	config, suspects, residency, leader, catalog, evacuations uint64
}

// broadcast holds the current watched state and wakes the waiting calls when it
// changes.
type broadcast struct {
	mu      sync.Mutex
	current watchedState
	changed chan struct{}
}

func newBroadcast() *broadcast {
	return &broadcast{changed: make(chan struct{})}
}

func (b *broadcast) update(v watchedState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v == b.current {
		return
	}
	b.current = v
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *broadcast) watch() (watchedState, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current, b.changed
}

// wait blocks until the watched state satisfies f and returns true. It returns
// false if ctx ends or the server stops first.
func (b *broadcast) wait(ctx context.Context, stopped <-chan struct{}, f func(watchedState) bool) bool {
	for {
		v, changed := b.watch()
		if f(v) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		case <-stopped:
			return false
		}
	}
}

// residency is the list of resident models for each endpoint that the leader's
// placement last published. Entries may receive lists from several leaders, so
// each leader numbers its versions from a range of its own.
type residency struct {
	version uint64
	list    []*peerv1.EndpointResidency
	// oldestBase is the oldest version to which a partial list can be applied. An
	// entry with an older version gets the full list.
	oldestBase uint64
	// changed is the version in which the list of an endpoint last changed.
	changed map[string]uint64
}

// publish replaces the list. A partial list cannot express that an endpoint was
// removed, so after a removal every entry gets the full list.
func (r *residency) publish(term uint64, list []*peerv1.EndpointResidency) {
	const counterBits = 32
	first := term << counterBits
	newTerm := r.version < first
	r.version = max(r.version+1, first)
	old := make(map[string]*peerv1.EndpointResidency, len(r.list))
	for _, e := range r.list {
		old[e.GetEndpoint()] = e
	}
	if newTerm {
		r.oldestBase = r.version
		r.changed = make(map[string]uint64, len(list))
	}
	for _, e := range list {
		if !proto.Equal(e, old[e.GetEndpoint()]) {
			r.changed[e.GetEndpoint()] = r.version
		}
		delete(old, e.GetEndpoint())
	}
	if len(old) > 0 {
		r.oldestBase = r.version
	}
	r.list = list
}

// since returns the update for an entry that has the given version: either the
// endpoints that changed (partial) or the full list.
func (r *residency) since(version uint64) (list []*peerv1.EndpointResidency, partial bool) {
	if version < r.oldestBase || version > r.version {
		return r.list, false
	}
	for _, e := range r.list {
		if r.changed[e.GetEndpoint()] > version {
			list = append(list, e)
		}
	}
	return list, true
}
