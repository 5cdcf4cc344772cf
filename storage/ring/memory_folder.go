package ring

import (
	"maps"
	"os"
	"slices"

	"cottonarch.example/cottonarch/base/failure"
)

// MemoryFolder is a Folder in memory that can lose or tear unsynced writes, for tests and
// simulations of a loss of power.
type MemoryFolder struct {
	Files map[string]*MemoryFile
	// BeforeOperation, if set, is called before each operation ("write", "sync" or "sync folder").
	// If BeforeOperation returns an error, the operation fails with that error.
	BeforeOperation func(operation string) error
	// BytesRead and BytesWritten are totals over all files.
	BytesRead, BytesWritten uint64
}

// MemoryFile is a file of a MemoryFolder. Invariant: durable holds only synced writes and the parts
// of unsynced writes that survived a Crash; cached holds the contents that the process reads.
type MemoryFile struct {
	folder     *MemoryFolder
	nameSynced bool // the folder was synced after the file was created
	durable    []byte
	cached     []byte
	unsynced   []pendingWrite
}

// pendingWrite is a write that no Sync has covered.
type pendingWrite struct {
	offset int64
	data   []byte
}

// NewMemoryFolder returns an empty folder.
func NewMemoryFolder() *MemoryFolder { return &MemoryFolder{Files: map[string]*MemoryFile{}} }

// Open opens or creates a file. A new file contains only zeros.
func (m *MemoryFolder) Open(name string, size int64) (File, error) {
	if f, ok := m.Files[name]; ok {
		return f, nil
	}
	f := &MemoryFile{folder: m, durable: make([]byte, size), cached: make([]byte, size)}
	m.Files[name] = f
	return f, nil
}

// Sync makes the directory entries of all files durable.
func (m *MemoryFolder) Sync() error {
	if err := m.runBeforeOperation("sync folder"); err != nil {
		return err
	}
	for _, f := range m.Files {
		f.nameSynced = true
	}
	return nil
}

// runBeforeOperation calls BeforeOperation, if set.
func (m *MemoryFolder) runBeforeOperation(operation string) error {
	if m.BeforeOperation == nil {
		return nil
	}
	return m.BeforeOperation(operation)
}

// ReadAt reads the contents, including unsynced writes.
func (f *MemoryFile) ReadAt(p []byte, offset int64) (int, error) {
	if offset >= int64(len(f.cached)) {
		return 0, failure.Wrap(os.ErrInvalid, failure.DiskFailed, "read past the end of the file")
	}
	n := copy(p, f.cached[offset:])
	f.folder.BytesRead += uint64(n)
	return n, nil
}

// WriteAt writes to the file. Until the next Sync, a crash may lose the write.
func (f *MemoryFile) WriteAt(p []byte, offset int64) (int, error) {
	if err := f.folder.runBeforeOperation("write"); err != nil {
		return 0, err
	}
	copy(f.cached[offset:], p)
	f.folder.BytesWritten += uint64(len(p))
	f.unsynced = append(f.unsynced, pendingWrite{offset, append([]byte(nil), p...)})
	return len(p), nil
}

// Sync makes the writes to this file durable.
func (f *MemoryFile) Sync() error {
	if err := f.folder.runBeforeOperation("sync"); err != nil {
		return err
	}
	for _, p := range f.unsynced {
		copy(f.durable[p.offset:], p.data)
	}
	f.unsynced = nil
	return nil
}

// Crash simulates a loss of power. Of every unsynced write of n bytes, the first keep(n) bytes
// survive. A file whose directory entry is not synced survives unless keep(1) is 0. Files are
// visited in the order of their names. Crash resets BeforeOperation.
func (m *MemoryFolder) Crash(keep func(n int) int) {
	for _, name := range slices.Sorted(maps.Keys(m.Files)) {
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
	m.BeforeOperation = nil
}

// UnsyncedWrites returns the number of writes that a loss of power may lose.
func (m *MemoryFolder) UnsyncedWrites() int {
	n := 0
	for _, f := range m.Files {
		n += len(f.unsynced)
	}
	return n
}

// CorruptByte flips bits of one byte of a file.
func (m *MemoryFolder) CorruptByte(name string, offset int64) {
	f := m.Files[name]
	f.durable[offset] ^= 0x5a
	f.cached[offset] = f.durable[offset]
}
