package ring

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"cottonarch.example/cottonarch/base/failure"
)

// DiskFolder is a Folder on a real disk. Invariant: one process holds it at a time.
type DiskFolder struct {
	path string
	lock *os.File
}

// lockFile is the name of the file whose lock marks a folder as held.
const lockFile = "lock"

// OpenDiskFolder makes the data folder if it is not there, and locks it. It returns DiskFailed when
// another process holds the folder.
func OpenDiskFolder(path string) (*DiskFolder, error) {
	if err := makeFolder(path); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, failure.Wrap(err, failure.DiskFailed, "open lock")
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, failure.Wrap(err, failure.DiskFailed, "another process holds the data folder")
	}
	return &DiskFolder{path: path, lock: lock}, nil
}

// Close releases the lock on the folder. Files that were opened stay open.
func (d *DiskFolder) Close() error {
	return failure.Wrap(d.lock.Close(), failure.DiskFailed, "close lock")
}

// Open opens one file, filling it with zeros up to its size.
func (d *DiskFolder) Open(name string, size int64) (File, error) {
	f, err := os.OpenFile(filepath.Join(d.path, name), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, failure.Wrap(err, failure.DiskFailed, "open "+name)
	}
	if err := extend(f, name, size); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

// extend fills a file with zeros up to its size; a file that is longer is Corrupted.
func extend(f *os.File, name string, size int64) error {
	stat, err := f.Stat()
	if err != nil {
		return failure.Wrap(err, failure.DiskFailed, "stat "+name)
	}
	if stat.Size() > size {
		return failure.New(failure.Corrupted, "%s is longer than the ring's file size", name)
	}
	if stat.Size() == size {
		return nil
	}
	return failure.Wrap(preallocate(f, stat.Size(), size), failure.DiskFailed, "preallocate "+name)
}

// preallocate writes zeros from an offset up to the size, and syncs them.
func preallocate(f *os.File, from, size int64) error {
	zeros := make([]byte, 1<<20)
	for written := from; written < size; {
		n := min(int64(len(zeros)), size-written)
		if _, err := f.WriteAt(zeros[:n], written); err != nil {
			return err
		}
		written += n
	}
	return f.Sync()
}

// Sync makes the names of the folder's files durable.
func (d *DiskFolder) Sync() error { return syncFolder(d.path) }

func syncFolder(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return failure.Wrap(err, failure.DiskFailed, "open folder")
	}
	err = dir.Sync()
	_ = dir.Close()
	return failure.Wrap(err, failure.DiskFailed, "sync folder")
}

// makeFolder makes a folder with its parents, and makes the names of all that it made durable;
// the folder's own in any case, since an earlier run may have been killed before it had.
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
		// A parent that may not be read was not made by this process.
		if err := syncFolder(parent); err != nil && !errors.Is(err, fs.ErrPermission) {
			return err
		}
	}
	return nil
}
