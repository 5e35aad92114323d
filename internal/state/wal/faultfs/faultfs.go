// Package faultfs implements an in-memory wal.FS for tests with fault injection:
// crashes that lose unsynced bytes and names or tear the last write, failed syncs,
// a full disk and corrupted files.
package faultfs

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"github.com/radishloom/radishloom/internal/state/wal"
)

// ErrInjected is the error of a sync that a test made fail.
var ErrInjected = errors.New("faultfs: injected failure")

// Op is an operation that can fail for lack of space.
type Op int

// The operations that FillAt can choose.
const (
	OpCreate Op = iota
	OpWrite
	OpSync
	OpRename
	OpSyncDir
	opNone
)

type inode struct {
	data    []byte
	durable []byte
	// syncFailed says that a sync failed. As on Linux, later syncs succeed without
	// writing the data that the failed one dropped.
	syncFailed bool
}

// FS is a file system that simulates crashes. It is safe for concurrent use.
type FS struct {
	mu            sync.Mutex
	rand          func(n int) int
	names         map[string]*inode
	durable       map[string]*inode
	locked        map[string]bool
	epoch         int
	failingSync   int // number of the sync that fails, counted from 1
	capacityBytes int
	syncs         int
	// filling is the operation that fills the disk once opsLeft more of its kind
	// have succeeded.
	filling Op
	opsLeft int
}

// New returns an empty file system. rand returns a number in [0, n) and decides
// which unsynced data survives a crash.
func New(rand func(n int) int) *FS {
	return &FS{
		rand:          rand,
		names:         map[string]*inode{},
		durable:       map[string]*inode{},
		locked:        map[string]bool{},
		capacityBytes: 1 << 40,
		filling:       opNone,
	}
}

// Crash simulates a crash of the machine: open files become unusable, locks are
// released, and unsynced data is lost entirely or in part.
func (f *FS) Crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch++
	f.locked = map[string]bool{}
	remaining := map[string]*inode{}
	for _, name := range f.allNames() {
		n := f.durable[name]
		if f.names[name] != n && f.rand(2) == 0 {
			n = f.names[name]
		}
		if n != nil {
			remaining[name] = n
		}
	}
	f.names, f.durable = remaining, map[string]*inode{}
	for _, name := range f.allNames() {
		n := remaining[name]
		f.durable[name] = n
		n.data = f.contentAfterCrash(n)
		n.durable = bytes.Clone(n.data)
		n.syncFailed = false
	}
}

func (f *FS) allNames() []string {
	var names []string
	for name := range f.names {
		names = append(names, name)
	}
	for name := range f.durable {
		if f.names[name] == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// contentAfterCrash returns a file's content after a crash.
func (f *FS) contentAfterCrash(n *inode) []byte {
	if !bytes.HasPrefix(n.data, n.durable) {
		if f.rand(2) == 0 {
			return n.data
		}
		return n.durable
	}
	extra := bytes.Clone(n.data[len(n.durable):])
	extra = extra[:f.rand(len(extra)+1)]
	if len(extra) > 0 && f.rand(4) == 0 {
		clear(extra[:f.rand(len(extra))])
	}
	return append(bytes.Clone(n.durable), extra...)
}

// Wipe simulates a crash that loses all files.
func (f *FS) Wipe() {
	f.Crash()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.names, f.durable = map[string]*inode{}, map[string]*inode{}
}

// FailSync makes the sync after the next n syncs fail. Later syncs succeed again.
func (f *FS) FailSync(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failingSync = f.syncs + n + 1
}

// SetFreeBytes sets the free space to n bytes. Writes beyond it fail with ENOSPC.
// It ends the effect of FillAt.
func (f *FS) SetFreeBytes(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.filling = opNone
	f.capacityBytes = f.usedBytes() + n
}

// FillAt makes the disk full at the operation after the next n of a kind. This
// operation, later ones of the kind, and all writes then fail with ENOSPC until
// SetFreeBytes is called. A write that fills the disk is torn.
func (f *FS) FillAt(op Op, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.filling, f.opsLeft = op, n
}

// fills reports whether the disk is full for this operation.
func (f *FS) fills(op Op) bool {
	if op != f.filling {
		return false
	}
	f.opsLeft--
	if f.opsLeft == -1 {
		f.capacityBytes = f.usedBytes()
	}
	return f.opsLeft < 0
}

// FlipBit inverts one bit of a file, both of the current and the synced content.
func (f *FS) FlipBit(name string, offset int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.names[name]
	n.data = bytes.Clone(n.data)
	n.data[offset] ^= 1
	n.durable = bytes.Clone(n.data)
}

// Put replaces a file, both the current and the synced content.
func (f *FS) Put(name string, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := &inode{data: bytes.Clone(data), durable: bytes.Clone(data)}
	f.names[name], f.durable[name] = n, n
}

// Syncs returns the number of syncs of files and folders so far.
func (f *FS) Syncs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncs
}

func (f *FS) usedBytes() int {
	n := 0
	for _, i := range f.names {
		n += len(i.data)
	}
	return n
}

// MkdirAll implements wal.FS; folders always exist.
func (f *FS) MkdirAll(string) error { return nil }

// Create implements wal.FS.
func (f *FS) Create(name string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fills(OpCreate) {
		return nil, fmt.Errorf("create %s: %w", name, syscall.ENOSPC)
	}
	n := &inode{}
	f.names[name] = n
	return &file{fs: f, inode: n, epoch: f.epoch}, nil
}

// OpenAppend implements wal.FS.
func (f *FS) OpenAppend(name string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.names[name]
	if n == nil {
		return nil, fmt.Errorf("open %s: %w", name, fs.ErrNotExist)
	}
	return &file{fs: f, inode: n, epoch: f.epoch}, nil
}

// ReadFile implements wal.FS.
func (f *FS) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.names[name]
	if n == nil {
		return nil, fmt.Errorf("read %s: %w", name, fs.ErrNotExist)
	}
	return bytes.Clone(n.data), nil
}

// ReadDir implements wal.FS.
func (f *FS) ReadDir(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.names {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// Rename implements wal.FS.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.names[from]
	if n == nil {
		return fmt.Errorf("rename %s: %w", from, fs.ErrNotExist)
	}
	if f.fills(OpRename) {
		return fmt.Errorf("rename %s: %w", from, syscall.ENOSPC)
	}
	f.names[to] = n
	delete(f.names, from)
	return nil
}

// Remove implements wal.FS.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.names[name] == nil {
		return fmt.Errorf("remove %s: %w", name, fs.ErrNotExist)
	}
	delete(f.names, name)
	return nil
}

// SyncDir implements wal.FS.
func (f *FS) SyncDir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nextSyncFails() {
		return ErrInjected
	}
	if f.fills(OpSyncDir) {
		return fmt.Errorf("sync %s: %w", dir, syscall.ENOSPC)
	}
	for _, name := range f.allNames() {
		if filepath.Dir(name) != filepath.Clean(dir) {
			continue
		}
		if n := f.names[name]; n != nil {
			f.durable[name] = n
		} else {
			delete(f.durable, name)
		}
	}
	return nil
}

func (f *FS) nextSyncFails() bool {
	f.syncs++
	return f.syncs == f.failingSync
}

// Lock implements wal.FS.
func (f *FS) Lock(name string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locked[name] {
		return nil, fmt.Errorf("%s: %w", name, wal.ErrLocked)
	}
	f.locked[name] = true
	return &lock{fs: f, name: name, epoch: f.epoch}, nil
}

type lock struct {
	fs    *FS
	name  string
	epoch int
}

func (l *lock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	if l.epoch == l.fs.epoch {
		delete(l.fs.locked, l.name)
	}
	return nil
}

type file struct {
	fs    *FS
	inode *inode
	epoch int
}

func (h *file) Write(p []byte) (int, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if h.epoch != h.fs.epoch {
		return 0, fs.ErrClosed
	}
	if h.fs.fills(OpWrite) && h.fs.opsLeft == -1 {
		h.fs.capacityBytes += h.fs.rand(len(p))
	}
	n := max(0, min(len(p), h.fs.capacityBytes-h.fs.usedBytes()))
	h.inode.data = append(h.inode.data, p[:n]...)
	if n < len(p) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

func (h *file) Sync() error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if h.epoch != h.fs.epoch {
		return fs.ErrClosed
	}
	if h.fs.nextSyncFails() {
		h.inode.syncFailed = true
		return ErrInjected
	}
	if h.fs.fills(OpSync) {
		h.inode.syncFailed = true
		return syscall.ENOSPC
	}
	if !h.inode.syncFailed {
		h.inode.durable = bytes.Clone(h.inode.data)
	}
	return nil
}

func (h *file) Truncate(size int64) error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if h.epoch != h.fs.epoch {
		return fs.ErrClosed
	}
	h.inode.data = bytes.Clone(h.inode.data[:size])
	return nil
}

func (h *file) Close() error { return nil }
