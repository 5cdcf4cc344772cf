package cluster

import (
	"cottonarch.example/cottonarch/sim/mutant"
	"cottonarch.example/cottonarch/storage/ring"
)

// ringSettings are small, because a run writes few records and begins with empty disks.
var ringSettings = ring.Options{FileCount: 4, FileSize: 2 << 10}

// ringDisk is the ring of the daemon on files in memory. A ringDisk is slower than a plainDisk, but
// also exercises the recovery of a ring after lost writes. The embedded plainDisk holds the records
// that the ring must hold.
type ringDisk struct {
	plainDisk
	folder   *ring.MemoryFolder
	ring     *ring.Ring
	lazySync bool
}

func newRingDisk(lazySync bool) *ringDisk {
	return &ringDisk{plainDisk: *newPlainDisk(), folder: ring.NewMemoryFolder(), lazySync: lazySync}
}

func (d *ringDisk) append(records []ring.Record) error {
	_ = d.plainDisk.append(records)
	return d.ring.Append(records)
}

func (d *ringDisk) sync() error {
	_ = d.plainDisk.sync()
	return d.ring.Sync()
}

func (d *ringDisk) unsynced() int { return d.folder.UnsyncedWrites() }

func (d *ringDisk) dropUnsynced(mask uint64) error {
	write := 0
	d.folder.Crash(func(n int) int {
		write++
		if keepsWrite(mask, write-1) {
			return n
		}
		return 0
	})
	d.plainDisk = *newPlainDisk()
	r, err := ring.Open(d.folder, ringSettings)
	if err != nil {
		return err
	}
	d.Pending = r.Records()
	return d.plainDisk.sync()
}

func (d *ringDisk) open() ([]ring.Record, error) {
	var folder ring.Folder = d.folder
	if d.lazySync {
		folder = mutant.LazySyncFolder{Folder: d.folder}
	} else {
		_ = d.plainDisk.sync()
	}
	r, err := ring.Open(folder, ringSettings)
	if err != nil {
		return nil, err
	}
	d.ring = r
	return r.Records(), nil
}

// state includes the files if opening does not sync the ring: the records that a later power loss
// drops then depend on the file of each record.
func (d *ringDisk) state() any {
	if d.lazySync {
		return []any{d.plainDisk, d.folder.Files}
	}
	return d.plainDisk
}
