package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishloom/radishloom/internal/coordination/engine"
)

const (
	// prefixBlock is the length in bytes of one step of a prefix.
	prefixBlock = 1024
	maxPrefixes = 16
	// maxView bounds the prefixes kept for one endpoint.
	maxView = 4096
	// prefixGain is the prefill time that one cached block saves.
	prefixGain = 5 * time.Millisecond
)

// Prefixes returns the hash of each prefix of the body in steps of 1 KiB. Two
// requests that begin alike share hashes.
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

// prefixView is what is believed of one endpoint's prefix cache: hints only.
type prefixView struct {
	seq    uint64
	known  map[uint64]bool
	oldest []uint64 // order of insertion, for the bound
}

// apply takes events in order. A gap in the sequence means that evictions may
// have been missed, so everything known before it is dropped.
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

// expect adds the prefixes of a request that was just sent: the engine will
// hold them when the next one arrives.
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

// gain is the time that cached prefixes save.
func (v *prefixView) gain(prefixes []uint64) time.Duration {
	for i := len(prefixes); i > 0; i-- {
		if v.known[prefixes[i-1]] {
			return time.Duration(i) * prefixGain
		}
	}
	return 0
}
