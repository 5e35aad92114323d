package control

import (
	"errors"
	"fmt"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/raft"
	"github.com/radishloom/radishloom/internal/state/wal"
)

// maybeSnapshot starts a snapshot when enough entries or bytes were applied since
// the last one. The state is encoded in the background.
func (l *loop) maybeSnapshot() error {
	entries := l.applied - l.snapshotIndex
	l.cfg.Metrics.LogSize(entries, l.bytesSinceSnapshot)
	if l.snapshotRunning || (entries < l.snapshotEntries && l.bytesSinceSnapshot < snapshotBytes) {
		return nil
	}
	if l.core.Status().Applied != l.applied {
		return nil // the core has not caught up yet after the log was reopened
	}
	l.snapshotRunning = true
	index, size, started := l.applied, l.bytesSinceSnapshot, l.cfg.Clock.Now()
	encode := l.machine.Capture()
	var data []byte
	var err error
	l.background(func() { data, err = encode() }, func() {
		l.snapshotRunning = false
		if err == nil {
			err = l.compact(index, size, data)
		}
		if err != nil {
			l.fatal = err
			return
		}
		l.cfg.Metrics.SnapshotTaken(len(data), l.cfg.Clock.Now()-started)
	})
	return nil
}

// compact replaces the log up to index by a snapshot with the encoded state. The
// snapshot is discarded if the core refuses its index, since a newer snapshot was
// received or the log was reopened during the encoding.
func (l *loop) compact(index uint64, size int, data []byte) error {
	s, err := l.core.CreateSnapshot(index, data)
	if errors.Is(err, raft.ErrSnapshotIndex) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("compact the log: %w", err)
	}
	l.snapshotIndex = index
	l.bytesSinceSnapshot = max(0, l.bytesSinceSnapshot-size)
	return l.saveSnapshot(s)
}

// saveSnapshot saves a snapshot. If the disk is full, the log stays as it is and
// the snapshot is saved later.
func (l *loop) saveSnapshot(s *statev1.Snapshot) error {
	err := l.log.SaveSnapshot(s)
	l.unsavedSnapshot = nil
	if errors.Is(err, wal.ErrDiskFull) {
		l.unsavedSnapshot = s
		l.unsavedRetryAt = l.cfg.Clock.Now() + time.Second
		return nil
	}
	if err != nil {
		return fmt.Errorf("save the snapshot at log index %d: %w", s.GetIndex(), err)
	}
	return nil
}
