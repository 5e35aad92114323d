package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishloom/radishloom/internal/coordination/engine"
)

const (
	// prefixBlock is the step in bytes between the lengths of two prefixes.
	prefixBlock = 1024
	maxPrefixes = 16
	// maxCachedPrefixes bounds the prefixes that are remembered for one endpoint.
	maxCachedPrefixes = 4096
	// blockPrefillTime is the prefill time that each cached block saves.
	blockPrefillTime = 5 * time.Millisecond
)

// Prefixes returns the hashes of the prefixes of the body, in steps of 1 KiB and
// shortest first. Requests with a common beginning share hashes.
func Prefixes(body []byte) []uint64 {
	n := min(len(body)/prefixBlock, maxPrefixes)
	if n == 0 {
		return nil
	}
	out := make([]uint64, 0, n)
	h := xxhash.New()
	for i := range n {
		_, _ = h.Write(body[i*prefixBlock : (i+1)*prefixBlock])
		out = append(out, h.Sum64())
	}
	return out
}

// prefixCache is an estimate of the contents of one endpoint's prefix cache. It
// may miss cached prefixes and contain evicted ones.
type prefixCache struct {
	seq            uint64
	known          map[uint64]bool
	insertionOrder []uint64 // oldest first, to drop the oldest beyond maxCachedPrefixes
}

// apply applies events in order. A gap in their sequence means that evictions may
// have been missed, so all prefixes known before it are dropped.
func (v *prefixCache) apply(events []engine.CacheEvent) {
	for _, ev := range events {
		if ev.Seq <= v.seq {
			continue
		}
		if ev.Seq != v.seq+1 && v.seq != 0 {
			v.known, v.insertionOrder = nil, nil
		}
		v.seq = ev.Seq
		if ev.Evicted {
			delete(v.known, ev.Prefix)
		} else {
			v.add(ev.Prefix)
		}
	}
}

// addSent adds the prefixes of a request that is sent to the engine, because they
// will be cached by the time that the next request arrives.
func (v *prefixCache) addSent(prefixes []uint64) {
	for _, p := range prefixes {
		v.add(p)
	}
}

func (v *prefixCache) add(p uint64) {
	if v.known == nil {
		v.known = make(map[uint64]bool)
	}
	if v.known[p] {
		return
	}
	v.known[p] = true
	v.insertionOrder = append(v.insertionOrder, p)
	for len(v.insertionOrder) > maxCachedPrefixes {
		delete(v.known, v.insertionOrder[0])
		v.insertionOrder = v.insertionOrder[1:]
	}
}

// timeSaved returns the prefill time saved by the longest of the prefixes that is
// cached.
func (v *prefixCache) timeSaved(prefixes []uint64) time.Duration {
	for i := len(prefixes); i > 0; i-- {
		if v.known[prefixes[i-1]] {
			return time.Duration(i) * blockPrefillTime
		}
	}
	return 0
}
