package cluster

import (
	"cottonarch.example/cottonarch/sim/mutant"
	"cottonarch.example/cottonarch/storage/ring"
)

// ringSettings are small: a run writes little, and each begins with empty disks.
var ringSettings = ring.Options{FileCount: 4, FileSize: 2 << 10}

// ringDisk is the ring that the daemon uses, in memory. It is slower, and shows what recovery
// makes of lost writes. The records of its plainDisk are those that the ring must hold.
type ringDisk struct {
	plainDisk
	mem  *ring.MemoryFolder
	ring *ring.Ring
	lazy bool
}

func newRingDisk(lazy bool) *ringDisk {
	return &ringDisk{plainDisk: *newPlainDisk(), mem: ring.NewMemoryFolder(), lazy: lazy}
}

func (d *ringDisk) append(records []ring.Record) error {
	_ = d.plainDisk.append(records)
	return d.ring.Append(records)
}

func (d *ringDisk) sync() error {
	_ = d.plainDisk.sync()
	return d.ring.Sync()
}

func (d *ringDisk) unsynced() int { return d.mem.UnsyncedWrites() }

func (d *ringDisk) lose(mask uint64) error {
	write := 0
	d.mem.Crash(func(n int) int {
		write++
		if keepsWrite(mask, write-1) {
			return n
		}
		return 0
	})
	d.plainDisk = *newPlainDisk()
	r, err := ring.Open(d.mem, ringSettings)
	if err != nil {
		return err
	}
	d.Pending = r.Records()
	return d.plainDisk.sync()
}

func (d *ringDisk) open() ([]ring.Record, error) {
	var folder ring.Folder = d.mem
	if d.lazy {
		folder = mutant.LazySyncFolder{Folder: d.mem}
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

// state includes the files if opening syncs nothing: then what a later loss takes depends on the
// file that each record is in.
func (d *ringDisk) state() any {
	if d.lazy {
		return []any{d.plainDisk, d.mem.Files}
	}
	return d.plainDisk
}
