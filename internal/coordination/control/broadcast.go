package control

import (
	"context"
	"sync"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
)

// view is what waiting calls watch.
type view struct {
	config, suspects, residency, leader uint64
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
}

func (r *residency) set(term uint64, list []*peerv1.EndpointResidency) {
	const counterBits = 32
	r.version = max(r.version+1, term<<counterBits)
	r.list = list
}
