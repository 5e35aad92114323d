package engine

import "github.com/cespare/xxhash/v2"

const (
	// PrefixBlockBytes is the granularity of cached prompt prefixes.
	PrefixBlockBytes = 256
	// MaxPrefixBlocks bounds the prefixes of one prompt.
	MaxPrefixBlocks = 32
)

// PrefixHashes returns the prefixes of a request body that CacheEvent.Prefix
// speaks of: the 64-bit xxHash of its first 256 bytes, of its first 512 bytes,
// and so on. The longest comes last.
func PrefixHashes(body []byte) []uint64 {
	blocks := min(len(body)/PrefixBlockBytes, MaxPrefixBlocks)
	out := make([]uint64, 0, blocks)
	var h xxhash.Digest
	h.Reset()
	for i := range blocks {
		_, _ = h.Write(body[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		out = append(out, h.Sum64())
	}
	return out
}
