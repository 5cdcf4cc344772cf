package cluster

import (
	"maps"
	"slices"

	"cottonarch.example/cottonarch/storage/ring"
)

// disk is the storage of a member.
type disk interface {
	append(records []ring.Record) error
	sync() error
	// unsynced returns the number of writes that a power loss may drop.
	unsynced() int
	// dropUnsynced drops the unsynced writes whose bit in mask is not set.
	dropUnsynced(mask uint64) error
	// open returns the records that a new process recovers. Opening syncs the disk, like opening a
	// ring.
	open() ([]ring.Record, error)
	// peek returns the records that open would return, without opening or syncing the disk.
	peek() []ring.Record
	// state returns the state that later steps may depend on.
	state() any
}

// plainDisk stores records without a file format, so that each unsynced record may be lost
// individually. A ring can end in fewer states, because recovery reads no record after the first
// lost record. Invariant: Durable holds the newest synced record of each key; Pending holds the
// unsynced records in the order of the writes.
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

func (d *plainDisk) dropUnsynced(mask uint64) error {
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
	return d.peek(), nil
}

func (d *plainDisk) peek() []ring.Record {
	newest := maps.Clone(d.Durable)
	for _, record := range d.Pending {
		newest[record.Key] = string(record.Data)
	}
	out := make([]ring.Record, 0, len(newest))
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		out = append(out, ring.Record{Key: key, Data: []byte(newest[key])})
	}
	return out
}

func (d *plainDisk) state() any { return d }
