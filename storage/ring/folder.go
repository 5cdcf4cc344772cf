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

	"cottonarch.example/cottonarch/kernel/failure"
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
	zero := make([]byte, 1<<20)
	for at := stat.Size(); at < size; {
		n := min(int64(len(zero)), size-at)
		if _, err := f.WriteAt(zero[:n], at); err != nil {
			return nil, failure.Wrap(err, failure.DiskFailed, "preallocate "+name)
		}
		at += n
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
	made := []string{filepath.Dir(path)}
	for above := made[0]; ; above = filepath.Dir(above) {
		if _, err := os.Stat(above); err == nil || above == filepath.Dir(above) {
			break
		}
		made = append(made, filepath.Dir(above))
	}
	if err := os.MkdirAll(path, 0o755); err != nil {
		return failure.Wrap(err, failure.DiskFailed, "make data folder")
	}
	for _, above := range made {
		// Who may not read the folder above did not make it.
		if err := syncFolder(above); err != nil && !errors.Is(err, fs.ErrPermission) {
			return err
		}
	}
	return nil
}

// Mem is a Folder in memory that loses or tears what was not synced. Invariant:
// solid holds only what a Sync covered, or what Crash chose to keep of the rest.
type Mem struct {
	Files map[string]*MemFile
	// Fail, when set, is asked before each write or sync and may fail it.
	Fail func(deed string) error
	// Counters of bytes.
	Read, Wrote uint64
}

// MemFile is one file of a Mem.
type MemFile struct {
	owner *Mem
	named bool // the folder was synced since the file was made
	solid []byte
	soft  []byte
	late  []patch
}

type patch struct {
	off  int64
	data []byte
}

// NewMem makes an empty disk.
func NewMem() *Mem { return &Mem{Files: map[string]*MemFile{}} }

// Open opens a file.
func (m *Mem) Open(name string, size int64) (File, error) {
	if f, ok := m.Files[name]; ok {
		return f, nil
	}
	f := &MemFile{owner: m, solid: make([]byte, size), soft: make([]byte, size)}
	m.Files[name] = f
	return f, nil
}

// Sync makes the names of all files last.
func (m *Mem) Sync() error {
	if m.Fail != nil {
		if err := m.Fail("sync folder"); err != nil {
			return err
		}
	}
	for _, f := range m.Files {
		f.named = true
	}
	return nil
}

// ReadAt reads what the process sees.
func (f *MemFile) ReadAt(p []byte, off int64) (int, error) {
	if off >= int64(len(f.soft)) {
		return 0, fmt.Errorf("read past end: %w", os.ErrInvalid)
	}
	n := copy(p, f.soft[off:])
	f.owner.Read += uint64(n)
	return n, nil
}

// WriteAt writes softly.
func (f *MemFile) WriteAt(p []byte, off int64) (int, error) {
	if f.owner.Fail != nil {
		if err := f.owner.Fail("write"); err != nil {
			return 0, err
		}
	}
	copy(f.soft[off:], p)
	f.owner.Wrote += uint64(len(p))
	f.late = append(f.late, patch{off, append([]byte(nil), p...)})
	return len(p), nil
}

// Sync makes the writes solid.
func (f *MemFile) Sync() error {
	if f.owner.Fail != nil {
		if err := f.owner.Fail("sync"); err != nil {
			return err
		}
	}
	for _, p := range f.late {
		copy(f.solid[p.off:], p.data)
	}
	f.late = nil
	return nil
}

// Crash loses power: of every unsynced write, keep says how many bytes stayed, and of the
// one name of a file that no Sync of the folder covered whether it stayed.
func (m *Mem) Crash(keep func(n int) int) {
	for _, name := range slices.Sorted(maps.Keys(m.Files)) { // keep may draw
		f := m.Files[name]
		if !f.named && keep(1) == 0 {
			delete(m.Files, name)
			continue
		}
		f.named = true
		for _, p := range f.late {
			n := keep(len(p.data))
			copy(f.solid[p.off:], p.data[:n])
		}
		f.late = nil
		copy(f.soft, f.solid)
	}
	m.Fail = nil
}

// Unsynced counts the writes that a loss of power may take, in the order in which Crash
// asks for them.
func (m *Mem) Unsynced() int {
	n := 0
	for _, f := range m.Files {
		n += len(f.late)
	}
	return n
}

// Flip damages one solid byte.
func (m *Mem) Flip(name string, off int64) {
	f := m.Files[name]
	f.solid[off] ^= 0x5a
	f.soft[off] = f.solid[off]
}
