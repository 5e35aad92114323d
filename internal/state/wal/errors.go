package wal

import (
	"errors"
	"fmt"
)

// Errors of the log.
var (
	// ErrLocked says that another process uses the folder.
	ErrLocked = errors.New("wal: the data folder is used by another process")
	// ErrDiskFull says that there was no space for a write. The write is undone
	// and the log can be used further.
	ErrDiskFull = errors.New("wal: disk full")
	// ErrPoisoned says that an earlier write or sync failed. What is on disk is
	// unknown, so nothing is written any more; the process must stop.
	ErrPoisoned = errors.New("wal: unusable after a failed write")
	// ErrSync is the cause of ErrPoisoned when a sync failed.
	ErrSync = errors.New("wal: sync failed")
	// ErrIdentityMissing says that the folder holds a log without the identity
	// that it belongs to.
	ErrIdentityMissing = errors.New("wal: identity file is missing although the folder holds a log")
	// ErrClosed refuses to use a closed log.
	ErrClosed = errors.New("wal: closed")
	// ErrTooLarge refuses a write beyond the format's limit.
	ErrTooLarge = errors.New("wal: write is too large")
	// ErrOrder refuses entries that do not continue the log.
	ErrOrder = errors.New("wal: entries do not continue the log")
)

// CorruptError reports damage that is not a torn tail.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns the message.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("wal: %s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}
