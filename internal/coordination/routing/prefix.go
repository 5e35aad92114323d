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
	// maxView bounds the prefixes that are remembered for one endpoint.
	maxView = 4096
	// prefixGain is the prefill time that each cached block saves.
	prefixGain = 5 * time.Millisecond
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

// prefixView is an estimate of the contents of one endpoint's prefix cache. It may
// be wrong in both directions.
type prefixView struct {
	seq    uint64
	known  map[uint64]bool
	oldest []uint64 // in order of insertion, to drop the oldest beyond the bound
}

// apply applies events in order. A gap in their sequence means that evictions may
// have been missed, so all prefixes known before it are dropped.
func (v *prefixView) apply(events []engine.CacheEvent) {
	for _, ev := range events {
		if ev.Seq <= v.seq {
			continue
		}
		if ev.Seq != v.seq+1 && v.seq != 0 {
			v.known, v.oldest = nil, nil
		}
		v.seq = ev.Seq
		if ev.Evicted {
			delete(v.known, ev.Prefix)
		} else {
			v.add(ev.Prefix)
		}
	}
}

// expect adds the prefixes of a request that is sent to the engine, because they
// will be cached by the time that the next request arrives.
func (v *prefixView) expect(prefixes []uint64) {
	for _, p := range prefixes {
		v.add(p)
	}
}

func (v *prefixView) add(p uint64) {
	if v.known == nil {
		v.known = make(map[uint64]bool)
	}
	if v.known[p] {
		return
	}
	v.known[p] = true
	v.oldest = append(v.oldest, p)
	for len(v.oldest) > maxView {
		delete(v.known, v.oldest[0])
		v.oldest = v.oldest[1:]
	}
}

// gain returns the prefill time saved by the longest of the prefixes that is
// cached.
func (v *prefixView) gain(prefixes []uint64) time.Duration {
	for i := len(prefixes); i > 0; i-- {
		if v.known[prefixes[i-1]] {
			return time.Duration(i) * prefixGain
		}
	}
	return 0
}
