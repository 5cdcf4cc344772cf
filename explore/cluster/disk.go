package cluster

import (
	"maps"
	"slices"

	"cottonarch.example/cottonarch/sim/mutant"
	"cottonarch.example/cottonarch/storage/ring"
)

// disk is what a member writes on. Invariant: durable is the newest synced record of each
// tag, pending are the records that no sync has covered, in order.
type disk interface {
	append(records []ring.Record) error
	sync() error
	// unsynced counts the writes that a loss of power may take.
	unsynced() int
	// lose takes the unsynced writes whose bit is not set.
	lose(mask uint64) error
	// open reads what a new run finds, and syncs it, as opening a ring does.
	open() ([]ring.Record, error)
	// contents is what opening would find, without opening.
	contents() []ring.Record
	state() any
}

// plainDisk keeps records as they are: each unsynced one may be lost on its own. A ring
// loses less: nothing after the first that it lost.
type plainDisk struct {
	Durable map[string]string
	Pending []ring.Record
}

func newPlainDisk() *plainDisk { return &plainDisk{Durable: map[string]string{}} }

func (d *plainDisk) append(records []ring.Record) error {
	d.Pending = append(d.Pending, records...)
	return nil
}

func (d *plainDisk) sync() error {
	for _, record := range d.Pending {
		d.Durable[record.Key] = string(record.Data)
	}
	d.Pending = nil
	return nil
}

func (d *plainDisk) unsynced() int { return len(d.Pending) }

func (d *plainDisk) lose(mask uint64) error {
	for i, record := range d.Pending {
		if keepsWrite(mask, i) {
			d.Durable[record.Key] = string(record.Data)
		}
	}
	d.Pending = nil
	return nil
}

func (d *plainDisk) open() ([]ring.Record, error) {
	_ = d.sync()
	return d.contents(), nil
}

func (d *plainDisk) contents() []ring.Record {
	newest := maps.Clone(d.Durable)
	for _, record := range d.Pending {
		newest[record.Key] = string(record.Data)
	}
	out := make([]ring.Record, 0, len(newest))
	for _, tag := range slices.Sorted(maps.Keys(newest)) {
		out = append(out, ring.Record{Key: tag, Data: []byte(newest[tag])})
	}
	return out
}

func (d *plainDisk) state() any { return d }

// ringSettings is small: a run writes little, and each run begins with empty disks.
var ringSettings = ring.Options{FileCount: 4, FileSize: 2 << 10}

// ringDisk is the ring that the daemon uses, in memory. It is slower, and shows what
// recovery makes of lost writes.
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

func (d *ringDisk) unsynced() int { return d.mem.Unsynced() }

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

// state holds the files too when opening syncs nothing: then what a later loss takes
// depends on the file that each record lies in.
func (d *ringDisk) state() any {
	if d.lazy {
		return []any{d.plainDisk, d.mem.Files}
	}
	return d.plainDisk
}
