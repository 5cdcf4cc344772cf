package ring

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"cottonarch.example/cottonarch/base/failure"
)

// DiskFolder is a Folder in the file system. Invariant: at most one process holds the folder at a
// time.
type DiskFolder struct {
	path string
	lock *os.File
}

// lockFile is the name of the file whose file lock marks a folder as held.
const lockFile = "lock"

// OpenDiskFolder creates the data folder if the folder does not exist, and locks it. It returns
// DiskFailed if another process holds the folder.
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
		return nil, failure.Wrap(err, failure.DiskFailed, "another process holds the data folder "+path)
	}
	return &DiskFolder{path: path, lock: lock}, nil
}

// Close releases the lock on the folder. Opened files stay open.
func (d *DiskFolder) Close() error {
	return failure.Wrap(d.lock.Close(), failure.DiskFailed, "close lock")
}

// Open opens or creates a file and preallocates the file up to size bytes.
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

// extend fills a file with zeros up to size. It returns Corrupted if the file is longer.
func extend(f *os.File, name string, size int64) error {
	stat, err := f.Stat()
	if err != nil {
		return failure.Wrap(err, failure.DiskFailed, "stat "+name)
	}
	if stat.Size() > size {
		return failure.New(failure.Corrupted, "%s is longer than the file size of the ring, %d bytes", name, size)
	}
	if stat.Size() == size {
		return nil
	}
	return failure.Wrap(preallocate(f, stat.Size(), size), failure.DiskFailed, "preallocate "+name)
}

// preallocate writes zeros from an offset up to size, and syncs the file.
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

// Sync makes the directory entries of the folder's files durable.
func (d *DiskFolder) Sync() error { return syncFolder(d.path) }

func syncFolder(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return failure.Wrap(err, failure.DiskFailed, "open folder "+path)
	}
	err = dir.Sync()
	_ = dir.Close()
	return failure.Wrap(err, failure.DiskFailed, "sync folder "+path)
}

// makeFolder creates a folder with its parents, and makes the directory entries of all created
// folders durable. The entry of the folder itself is synced even if the folder existed, because an
// earlier run may have been killed after creating the folder and before the sync.
func makeFolder(path string) error {
	path, err := filepath.Abs(path)
	if err != nil {
		return failure.Wrap(err, failure.DiskFailed, "resolve the path of the data folder")
	}
	parents := []string{filepath.Dir(path)}
	for parent := parents[0]; ; parent = filepath.Dir(parent) {
		if _, err := os.Stat(parent); err == nil || parent == filepath.Dir(parent) {
			break
		}
		parents = append(parents, filepath.Dir(parent))
	}
	if err := os.MkdirAll(path, 0o755); err != nil {
		return failure.Wrap(err, failure.DiskFailed, "create data folder "+path)
	}
	for _, parent := range parents {
		// A parent without read permission was not created by this process.
		if err := syncFolder(parent); err != nil && !errors.Is(err, fs.ErrPermission) {
			return err
		}
	}
	return nil
}
