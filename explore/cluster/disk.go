package cluster

import (
	"maps"
	"slices"

	"cottonarch.example/cottonarch/storage/ring"
)

// disk is what a member writes to.
type disk interface {
	append(records []ring.Record) error
	sync() error
	// unsynced counts the writes that a loss of power may take.
	unsynced() int
	// lose takes the unsynced writes whose bit is not set.
	lose(mask uint64) error
	// open returns what a new process finds, and syncs it, as opening a ring does.
	open() ([]ring.Record, error)
	// contents is what opening would find, without opening.
	contents() []ring.Record
	// state is all that a later step may depend on.
	state() any
}

// plainDisk keeps records as they are: each unsynced one may be lost on its own. A ring loses
// less, for it reads nothing after the first record that was lost. Invariant: Durable is the
// newest synced record of each key; Pending are the records that no sync has covered, in order.
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
