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

// faultyDisk is an in-memory data folder that simulates a power loss and slow, stalled or failing
// writes and syncs. Invariant: after a power loss, no operation of the old process changes the data.
type faultyDisk struct {
	mu         sync.Mutex
	mem        *ring.MemoryFolder
	poweredOff bool
	delay      time.Duration
	stalled    chan struct{} // if not nil, operations wait until the channel is closed
	failure    error         // if not nil, every operation fails with this error
}

func newFaultyDisk() *faultyDisk { return &faultyDisk{mem: ring.NewMemoryFolder()} }

// configure changes the faults.
func (d *faultyDisk) configure(change func(*faultyDisk)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d)
}

// run performs an operation on the disk with the configured faults.
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

// losePower simulates a power loss: unsynced writes are lost or torn. losePower returns a disk with
// the surviving data.
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

// faultyFile is a file on a faultyDisk. Faults do not apply to reads.
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
