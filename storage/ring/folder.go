package ring

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"cottonarch.example/cottonarch/base/failure"
)

// File is what the ring needs of a preallocated file.
type File interface {
	ReadAt(p []byte, off int64) (int, error)
	WriteAt(p []byte, off int64) (int, error)
	Sync() error
}

// Folder opens preallocated files; a file that was not there is all zeros. Until Sync the
// name of a file that was made may be lost with the power, each by itself, whatever was
// written and synced within the file.
type Folder interface {
	Open(name string, size int64) (File, error)
	Sync() error
}

// Dir is a Folder on a real disk. Invariant: one process holds it at a time.
type Dir struct {
	path string
	lock *os.File
}

// OpenDir makes and locks the data folder.
func OpenDir(path string) (*Dir, error) {
	if err := makeFolder(path); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, failure.Wrap(err, failure.DiskFailed, "open lock")
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, failure.Wrap(err, failure.DiskFailed, "another process holds the data folder")
	}
	return &Dir{path: path, lock: lock}, nil
}

// Close lets the folder go.
func (d *Dir) Close() error { return failure.Wrap(d.lock.Close(), failure.DiskFailed, "close") }

// Open opens one file, filling it with zeros up to its size.
func (d *Dir) Open(name string, size int64) (File, error) {
	f, err := os.OpenFile(filepath.Join(d.path, name), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, failure.Wrap(err, failure.DiskFailed, "open "+name)
	}
	stat, err := f.Stat()
	if err != nil {
		return nil, failure.Wrap(err, failure.DiskFailed, "stat "+name)
	}
	if stat.Size() > size {
		return nil, failure.New(failure.Damaged, "%s is longer than the ring's file size", name)
	}
	zeros := make([]byte, 1<<20)
	for written := stat.Size(); written < size; {
		n := min(int64(len(zeros)), size-written)
		if _, err := f.WriteAt(zeros[:n], written); err != nil {
			return nil, failure.Wrap(err, failure.DiskFailed, "preallocate "+name)
		}
		written += n
	}
	if stat.Size() < size {
		if err := f.Sync(); err != nil {
			return nil, failure.Wrap(err, failure.DiskFailed, "sync "+name)
		}
	}
	return f, nil
}

// Sync makes the names of the folder's files last.
func (d *Dir) Sync() error { return syncFolder(d.path) }

func syncFolder(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return failure.Wrap(err, failure.DiskFailed, "open folder")
	}
	err = dir.Sync()
	_ = dir.Close()
	return failure.Wrap(err, failure.DiskFailed, "sync folder")
}

// makeFolder makes a folder with those above it, and has the names of all that it made
// last, and its own in any case: an earlier run may have been killed before it had.
func makeFolder(path string) error {
	path, err := filepath.Abs(path)
	if err != nil {
		return failure.Wrap(err, failure.DiskFailed, "find data folder")
	}
	parents := []string{filepath.Dir(path)}
	for parent := parents[0]; ; parent = filepath.Dir(parent) {
		if _, err := os.Stat(parent); err == nil || parent == filepath.Dir(parent) {
			break
		}
		parents = append(parents, filepath.Dir(parent))
	}
	if err := os.MkdirAll(path, 0o755); err != nil {
		return failure.Wrap(err, failure.DiskFailed, "make data folder")
	}
	for _, parent := range parents {
		// Who may not read the folder above did not make it.
		if err := syncFolder(parent); err != nil && !errors.Is(err, fs.ErrPermission) {
			return err
		}
	}
	return nil
}

// MemoryFolder is a Folder in memory that loses or tears what was not synced. Invariant:
// solid holds only what a Sync covered, or what Crash chose to keep of the rest.
type MemoryFolder struct {
	Files map[string]*MemoryFile
	// BeforeWrite, when set, is asked before each write or sync and may fail it.
	BeforeWrite func(deed string) error
	// Counters of bytes.
	BytesRead, BytesWritten uint64
}

// MemoryFile is one file of a Mem.
type MemoryFile struct {
	folder     *MemoryFolder
	nameSynced bool // the folder was synced since the file was made
	durable    []byte
	cached     []byte
	unsynced   []pendingWrite
}

type pendingWrite struct {
	offset int64
	data   []byte
}

// NewMemoryFolder makes an empty disk.
func NewMemoryFolder() *MemoryFolder { return &MemoryFolder{Files: map[string]*MemoryFile{}} }

// Open opens a file.
func (m *MemoryFolder) Open(name string, size int64) (File, error) {
	if f, ok := m.Files[name]; ok {
		return f, nil
	}
	f := &MemoryFile{folder: m, durable: make([]byte, size), cached: make([]byte, size)}
	m.Files[name] = f
	return f, nil
}

// Sync makes the names of all files last.
func (m *MemoryFolder) Sync() error {
	if m.BeforeWrite != nil {
		if err := m.BeforeWrite("sync folder"); err != nil {
			return err
		}
	}
	for _, f := range m.Files {
		f.nameSynced = true
	}
	return nil
}

// ReadAt reads what the process sees.
func (f *MemoryFile) ReadAt(p []byte, off int64) (int, error) {
	if off >= int64(len(f.cached)) {
		return 0, fmt.Errorf("read past end: %w", os.ErrInvalid)
	}
	n := copy(p, f.cached[off:])
	f.folder.BytesRead += uint64(n)
	return n, nil
}

// WriteAt writes softly.
func (f *MemoryFile) WriteAt(p []byte, off int64) (int, error) {
	if f.folder.BeforeWrite != nil {
		if err := f.folder.BeforeWrite("write"); err != nil {
			return 0, err
		}
	}
	copy(f.cached[off:], p)
	f.folder.BytesWritten += uint64(len(p))
	f.unsynced = append(f.unsynced, pendingWrite{off, append([]byte(nil), p...)})
	return len(p), nil
}

// Sync makes the writes solid.
func (f *MemoryFile) Sync() error {
	if f.folder.BeforeWrite != nil {
		if err := f.folder.BeforeWrite("sync"); err != nil {
			return err
		}
	}
	for _, p := range f.unsynced {
		copy(f.durable[p.offset:], p.data)
	}
	f.unsynced = nil
	return nil
}

// Crash loses power: of every unsynced write, keep says how many bytes stayed, and of the
// one name of a file that no Sync of the folder covered whether it stayed.
func (m *MemoryFolder) Crash(keep func(n int) int) {
	for _, name := range slices.Sorted(maps.Keys(m.Files)) { // keep may draw
		f := m.Files[name]
		if !f.nameSynced && keep(1) == 0 {
			delete(m.Files, name)
			continue
		}
		f.nameSynced = true
		for _, p := range f.unsynced {
			n := keep(len(p.data))
			copy(f.durable[p.offset:], p.data[:n])
		}
		f.unsynced = nil
		copy(f.cached, f.durable)
	}
	m.BeforeWrite = nil
}

// Unsynced counts the writes that a loss of power may take, in the order in which Crash
// asks for them.
func (m *MemoryFolder) Unsynced() int {
	n := 0
	for _, f := range m.Files {
		n += len(f.unsynced)
	}
	return n
}

// CorruptByte damages one solid byte.
func (m *MemoryFolder) CorruptByte(name string, off int64) {
	f := m.Files[name]
	f.durable[off] ^= 0x5a
	f.cached[off] = f.durable[off]
}
