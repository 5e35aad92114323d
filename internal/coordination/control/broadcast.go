package control

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
)

// view is what waiting calls watch.
type view struct {
	config, suspects, residency, leader, catalog uint64
}

// broadcast holds the newest view and wakes those who wait for another one.
type broadcast struct {
	mu      sync.Mutex
	view    view
	changed chan struct{}
}

func newBroadcast() *broadcast {
	return &broadcast{changed: make(chan struct{})}
}

func (b *broadcast) update(v view) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v == b.view {
		return
	}
	b.view = v
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *broadcast) watch() (view, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view, b.changed
}

// wait returns true once the view satisfies f, and false when ctx ends or the
// server stops.
func (b *broadcast) wait(ctx context.Context, stopped <-chan struct{}, f func(view) bool) bool {
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

// residency is what the leader's placement last published. Its versions differ
// between leaders, since an entry may see several of them.
type residency struct {
	version uint64
	list    []*peerv1.EndpointResidency
	// complete is the version from which on changed is known for each endpoint;
	// an entry with an older one gets the whole list.
	complete uint64
	changed  map[string]uint64
}

// set publishes a new list. An endpoint that is no longer listed cannot be told
// by a partial list, so every entry then gets the whole one.
func (r *residency) set(term uint64, list []*peerv1.EndpointResidency) {
	const counterBits = 32
	first := term << counterBits
	newTerm := r.version < first
	r.version = max(r.version+1, first)
	old := make(map[string]*peerv1.EndpointResidency, len(r.list))
	for _, e := range r.list {
		old[e.GetEndpoint()] = e
	}
	if newTerm {
		r.complete = r.version
		r.changed = make(map[string]uint64, len(list))
	}
	for _, e := range list {
		if !proto.Equal(e, old[e.GetEndpoint()]) {
			r.changed[e.GetEndpoint()] = r.version
		}
		delete(old, e.GetEndpoint())
	}
	if len(old) > 0 {
		r.complete = r.version
	}
	r.list = list
}

// since returns what an entry with a version has to learn, and whether that is
// only a part of the list.
func (r *residency) since(version uint64) (list []*peerv1.EndpointResidency, partial bool) {
	if version < r.complete || version > r.version {
		return r.list, false
	}
	for _, e := range r.list {
		if r.changed[e.GetEndpoint()] > version {
			list = append(list, e)
		}
	}
	return list, true
}
