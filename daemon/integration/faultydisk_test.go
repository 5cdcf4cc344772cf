package integration

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/storage/ring"
)

var _ core.Folder = (*faultyDisk)(nil)

// faultyDisk is a folder in memory whose operations can be made slow, stalled or failing, and
// which can lose power. Invariant: once the power is off, nothing of the old process reaches it.
type faultyDisk struct {
	mu         sync.Mutex
	mem        *ring.MemoryFolder
	poweredOff bool
	delay      time.Duration
	stalled    chan struct{} // operations wait until it is closed, unless it is nil
	failure    error         // of every operation, unless it is nil
}

func newFaultyDisk() *faultyDisk { return &faultyDisk{mem: ring.NewMemoryFolder()} }

// configure changes the faults.
func (d *faultyDisk) configure(change func(*faultyDisk)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d)
}

// run runs an operation on the disk, with the faults that are configured.
func (d *faultyDisk) run(operation func() error) error {
	d.mu.Lock()
	delay, stalled := d.delay, d.stalled
	d.mu.Unlock()
	if delay > 0 {
		<-time.After(delay)
	}
	if stalled != nil {
		<-stalled
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.poweredOff:
		return errors.New("the power is off")
	case d.failure != nil:
		return d.failure
	}
	return operation()
}

// Open implements core.Folder.
func (d *faultyDisk) Open(name string, size int64) (ring.File, error) {
	file, err := d.mem.Open(name, size)
	return faultyFile{disk: d, inner: file}, err
}

// Sync implements core.Folder.
func (d *faultyDisk) Sync() error { return d.run(d.mem.Sync) }

// Close implements core.Folder.
func (d *faultyDisk) Close() error { return nil }

// losePower turns the power off: what was not synced is lost or torn. The disk that is given holds
// the rest.
func (d *faultyDisk) losePower(rng *rand.Rand) *faultyDisk {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.poweredOff = true
	if d.stalled != nil {
		close(d.stalled)
		d.stalled = nil
	}
	d.mem.Crash(func(n int) int { return rng.IntN(n + 1) })
	return &faultyDisk{mem: d.mem}
}

// faultyFile is a file on a faultyDisk; reads have no faults.
type faultyFile struct {
	disk  *faultyDisk
	inner ring.File
}

func (f faultyFile) ReadAt(p []byte, off int64) (int, error) { return f.inner.ReadAt(p, off) }

func (f faultyFile) WriteAt(p []byte, off int64) (n int, err error) {
	err = f.disk.run(func() error {
		var writeErr error
		n, writeErr = f.inner.WriteAt(p, off)
		return writeErr
	})
	return n, err
}

func (f faultyFile) Sync() error { return f.disk.run(f.inner.Sync) }
