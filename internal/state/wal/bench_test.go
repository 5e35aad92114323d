package wal_test

import (
	"fmt"
	"testing"

	"github.com/radishloom/radishloom/internal/state/wal"
)

// BenchmarkAppend measures synced appends of small entries to a file on disk.
func BenchmarkAppend(b *testing.B) {
	for _, n := range []uint64{1, 16, 64} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			l, _, err := wal.Open(wal.OS{}, b.TempDir(), wal.Options{})
			must(b, err)
			index := uint64(1)
			for b.Loop() {
				must(b, l.Append(nil, entries(1, index, index+n-1)))
				if index += n; index%4096 == 1 {
					must(b, l.SaveSnapshot(snapshotAt(1, index-1)))
				}
			}
			must(b, l.Close())
		})
	}
}
