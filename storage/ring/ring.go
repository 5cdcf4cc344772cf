// Package ring implements a circular log of keyed records in a fixed set of preallocated files, and
// keeps the newest record of each key, the live record. Before a file is overwritten, the live
// records of the file are moved to the current file, so the log never grows and no index is stored.
// Open distinguishes a torn tail, the incomplete unsynced writes that a loss of power leaves, from
// corruption of synced data, which is reported and never skipped.
package ring

import (
	"cmp"
	"slices"

	"cottonarch.example/cottonarch/base/failure"
)

// Options holds the number and size of a ring's files. Invariant: the options never change once the
// files exist.
type Options struct {
	FileCount int
	FileSize  int64 // bytes
}

// Record is a key with its data.
type Record struct {
	Key  string
	Data []byte
}

// liveRecord is the newest record of a key, with the index of the file that holds the record.
type liveRecord struct {
	file int
	data []byte
}

// Ring is a circular log over a fixed set of files. Invariants:
//   - sequence numbers increase by one with each record, across all files;
//   - the header of a file holds the generation and the first sequence number of the file, so no
//     record of an earlier generation or of a torn tail is ever read again;
//   - the file after the current file holds no live record once the current file holds the move
//     marker, and is overwritten only then;
//   - every record holds the newest sequence number known to be synced when the record was
//     written, so that corruption can be distinguished from a torn tail.
//
// A Ring is used by one goroutine at a time.
type Ring struct {
	options    Options
	files      []File
	current    int    // index of the file being written
	generation uint64 // of the current file
	offset     int64  // of the next record in the current file

	sequence       uint64 // of the last record
	syncedSequence uint64 // all records up to this sequence number are synced
	dirtyFiles     map[int]bool
	live           map[string]liveRecord
	liveBytes      int64
	fatalErr       error // of the first write or sync that failed
	scanEnd        int64 // during Open: the end of the last record in the most recently read file

	// Appends, Syncs, Moves and BytesWritten are counters since the ring was opened. Moves counts
	// live records moved to the current file.
	Appends, Syncs, Moves, BytesWritten uint64
}

// Append writes records, which are durable only after Sync. It returns Oversize for a record that
// never fits, and DiskFailed if the ring has no room or a write failed. If a record does not fit,
// the records of the batch before that record stay appended.
func (r *Ring) Append(batch []Record) error {
	if r.fatalErr != nil {
		return r.fatalErr
	}
	for _, record := range batch {
		if err := r.ensureSpace(recordSize(record.Key, record.Data)); err != nil {
			return err
		}
		if err := r.writeRecord(record.Key, record.Data); err != nil {
			return err
		}
		r.Appends++
	}
	return nil
}

// ensureSpace rotates files until the current file has room for need bytes.
func (r *Ring) ensureSpace(need int64) error {
	if need > r.MaxRecordSize() {
		return failure.New(failure.Oversize, "a record of %d bytes is too large for the ring", need)
	}
	if r.liveBytes+need > r.maxLiveBytes() {
		return failure.New(failure.DiskFailed, "a record of %d bytes does not fit: the ring is full with %d bytes of live records", need, r.liveBytes)
	}
	for tries := 0; r.offset+need > r.options.FileSize; tries++ {
		if tries > r.options.FileCount {
			return failure.New(failure.DiskFailed, "no file of the ring has room for a record of %d bytes", need)
		}
		if err := r.rotate(); err != nil {
			return err
		}
	}
	return nil
}

// writeRecord writes one record to the current file, which must have room for the record.
func (r *Ring) writeRecord(key string, data []byte) error {
	r.sequence++
	raw := encodeRecord(storedRecord{key: key, data: data, sequence: r.sequence, syncedSequence: r.syncedSequence}, r.generation)
	if _, err := r.files[r.current].WriteAt(raw, r.offset); err != nil {
		r.fatalErr = failure.Wrap(err, failure.DiskFailed, "write record")
		return r.fatalErr
	}
	r.dirtyFiles[r.current] = true
	r.offset += int64(len(raw))
	r.BytesWritten += uint64(len(raw))
	if key != moveMarkerKey {
		r.setLive(key, data, r.current)
	}
	return nil
}

func (r *Ring) setLive(key string, data []byte, file int) {
	if old, ok := r.live[key]; ok {
		r.liveBytes -= recordSize(key, old.data)
	}
	r.live[key] = liveRecord{file, data}
	r.liveBytes += recordSize(key, data)
}

// Sync makes all appended records durable. After a failed write or sync, all later appends and syncs
// return the same error until the ring is opened again.
func (r *Ring) Sync() error {
	if r.fatalErr != nil {
		return r.fatalErr
	}
	for i, file := range r.files {
		if !r.dirtyFiles[i] {
			continue
		}
		if err := file.Sync(); err != nil {
			r.fatalErr = failure.Wrap(err, failure.DiskFailed, "sync")
			return r.fatalErr
		}
		delete(r.dirtyFiles, i)
		r.Syncs++
	}
	r.syncedSequence = r.sequence
	return nil
}

// Records returns the newest record of each key, ordered by key.
func (r *Ring) Records() []Record {
	records := make([]Record, 0, len(r.live))
	for key, record := range r.live {
		records = append(records, Record{key, record.data})
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return records
}

// FreeFraction returns the free fraction, from 0 to 1, of the space for live records.
func (r *Ring) FreeFraction() float64 { return 1 - float64(r.liveBytes)/float64(r.maxLiveBytes()) }

// MaxRecordSize returns the size in bytes, key and header included, of the largest record that fits.
func (r *Ring) MaxRecordSize() int64 { return r.options.FileSize / 2 }

// maxLiveBytes returns the maximum total size of the live records. The maximum leaves room for the
// current file, for the file whose records are being moved, and for as many superseded records as
// live records.
func (r *Ring) maxLiveBytes() int64 { return r.options.FileSize * int64(r.options.FileCount-2) / 2 }
