package wal

import (
	"errors"
	"fmt"
)

// Errors of the log.
var (
	// ErrLocked is returned if another process uses the folder.
	ErrLocked = errors.New("wal: the data folder is used by another process")
	// ErrDiskFull is returned if there is no space for a write. The write is undone
	// and the log stays usable.
	ErrDiskFull = errors.New("wal: disk full")
	// ErrUnusable is returned after a write or sync has failed. The state of the
	// disk is unknown, so nothing more is written and the process must stop.
	ErrUnusable = errors.New("wal: unusable after a failed write or sync")
	// ErrSync is returned, together with ErrUnusable on an open log, if a sync
	// failed.
	ErrSync = errors.New("wal: sync failed")
	// ErrIdentityMissing is returned if the folder holds a log without the identity
	// of its member.
	ErrIdentityMissing = errors.New("wal: identity file is missing although the folder holds a log")
	// ErrClosed is returned by a closed log.
	ErrClosed = errors.New("wal: closed")
	// ErrTooLarge is returned for a write beyond the 1 GiB limit of a frame.
	ErrTooLarge = errors.New("wal: frame exceeds the limit of 1 GiB")
	// ErrOutOfOrder is returned for entries that leave a gap in the log or precede
	// its snapshot, and for a snapshot that does not follow the last one.
	ErrOutOfOrder = errors.New("wal: out of order")
)

// CorruptError reports damage other than a torn tail.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns the message.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("wal: %s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}
