package wal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
)

// FS is the file system that the log is stored in. Names are paths.
type FS interface {
	// MkdirAll creates a folder and its parents.
	MkdirAll(dir string) error
	// Create opens a file for writing, truncating it if it exists.
	Create(name string) (File, error)
	// OpenAppend opens an existing file for writing at its end.
	OpenAppend(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	// ReadDir returns the names of the files in a folder, sorted.
	ReadDir(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes created, renamed and removed names in a folder durable.
	SyncDir(dir string) error
	// Lock acquires an exclusive lock on a file, creating the file if needed, or
	// returns ErrLocked. Closing releases the lock.
	Lock(name string) (io.Closer, error)
}

// File is a file that is open for writing.
type File interface {
	io.WriteCloser
	// Sync makes the file's content durable.
	Sync() error
	// Truncate shortens the file; the next write is at the new end.
	Truncate(size int64) error
}

// OS is the file system of the operating system.
type OS struct{}

// MkdirAll implements FS.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return openFile(name, os.O_CREATE|os.O_TRUNC)
}

// OpenAppend implements FS.
func (OS) OpenAppend(name string) (File, error) {
	return openFile(name, 0)
}

func openFile(name string, flag int) (File, error) {
	// With O_APPEND, writes go to the end of the file even after a Truncate.
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_APPEND|flag, 0o600)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// ReadDir implements FS.
func (OS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Lock implements FS with flock, which the operating system releases however the
// process ends.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, errors.Join(fmt.Errorf("%s: %w", name, ErrLocked), f.Close())
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("lock %s: %w", name, err), f.Close())
	}
	return f, nil
}

// isDiskFull reports whether a write failed for lack of space.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
