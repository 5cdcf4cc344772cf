// Package ring stores records under keys in a ring of preallocated files, and keeps the newest
// record of each key. It is a log that is written round and round: before a file is
// overwritten, its live records are moved forward, so the space never grows and no index is
// stored. Opening a ring distinguishes a torn tail, which a loss of power leaves, from damage to
// what was synced, which is reported and never skipped.
package ring

import (
	"cmp"
	"slices"

	"cottonarch.example/cottonarch/base/failure"
)

// Options sizes a ring. Invariant: it stays the same for the life of the files.
type Options struct {
	FileCount int
	FileSize  int64 // bytes
}

// Record is one key with its newest data.
type Record struct {
	Key  string
	Data []byte
}

// liveRecord is the newest record of a key, and the file that holds it.
type liveRecord struct {
	file int
	data []byte
}

// Ring is the ring of files. Invariants:
//   - sequence numbers rise by one a record, over all files;
//   - a file's header names its lap and its first sequence number, so no record of an
//     earlier lap or of a torn tail is ever read again;
//   - the file after the current one holds no live record once the current file
//     holds its moved mark, and only then is it overwritten;
//   - every record names the newest sequence number known synced when it was written, so
//     that damage can be distinguished from a torn tail.
//
// A Ring is used by one goroutine at a time.
type Ring struct {
	options Options
	files   []File
	current int    // file that is written
	lap     uint64 // of the current file
	offset  int64  // where the current file's next record goes

	sequence       uint64 // of the last record
	syncedSequence uint64 // up to which all is synced
	dirtyFiles     map[int]bool
	live           map[string]liveRecord
	liveBytes      int64
	fatalErr       error // of the first write or sync that failed
	scanEnd        int64 // while opening: the end of the last record of the file read last

	// Appends, Syncs, Moves and BytesWritten count what was done since the ring was opened;
	// Moves are records moved forward.
	Appends, Syncs, Moves, BytesWritten uint64
}

// Append writes records; they count only after Sync. It returns Oversize for a record that
// never fits, and DiskFailed when the ring has no room or a write failed. A refusal for want
// of room leaves the records before it appended.
func (r *Ring) Append(batch []Record) error {
	if r.fatalErr != nil {
		return r.fatalErr
	}
	for _, record := range batch {
		if err := r.makeRoom(recordSize(record.Key, record.Data)); err != nil {
			return err
		}
		if err := r.writeRecord(record.Key, record.Data); err != nil {
			return err
		}
		r.Appends++
	}
	return nil
}

// makeRoom begins next files until the current one has room for need bytes.
func (r *Ring) makeRoom(need int64) error {
	if need > r.MaxRecordSize() {
		return failure.New(failure.Oversize, "a record of %d bytes is too large for the ring", need)
	}
	if r.liveBytes+need > r.maxLiveBytes() {
		return failure.New(failure.DiskFailed, "the ring is full of live records")
	}
	for tries := 0; r.offset+need > r.options.FileSize; tries++ {
		if tries > r.options.FileCount {
			return failure.New(failure.DiskFailed, "no file of the ring has room for the record")
		}
		if err := r.nextFile(); err != nil {
			return err
		}
	}
	return nil
}

// writeRecord writes one record into the current file, which must have room.
func (r *Ring) writeRecord(key string, data []byte) error {
	r.sequence++
	raw := encodeRecord(storedRecord{key: key, data: data, sequence: r.sequence, syncedSequence: r.syncedSequence}, r.lap)
	if _, err := r.files[r.current].WriteAt(raw, r.offset); err != nil {
		r.fatalErr = failure.Wrap(err, failure.DiskFailed, "write record")
		return r.fatalErr
	}
	r.dirtyFiles[r.current] = true
	r.offset += int64(len(raw))
	r.BytesWritten += uint64(len(raw))
	if key != movedKey {
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

// Sync makes all that was appended durable. After a failed write or sync nothing counts any
// more: the ring returns that error until it is opened again.
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

// Records lists the newest record of each key, in the order of the keys.
func (r *Ring) Records() []Record {
	records := make([]Record, 0, len(r.live))
	for key, record := range r.live {
		records = append(records, Record{key, record.data})
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return records
}

// FreeFraction returns the part of the space for live records that is still free, 0 to 1.
func (r *Ring) FreeFraction() float64 { return 1 - float64(r.liveBytes)/float64(r.maxLiveBytes()) }

// MaxRecordSize returns the size in bytes, key and header included, of the largest record that fits.
func (r *Ring) MaxRecordSize() int64 { return r.options.FileSize / 2 }

// maxLiveBytes bounds the live records: it leaves room for the current file, for the one being
// cleared, and for as many dead records as live ones.
func (r *Ring) maxLiveBytes() int64 { return r.options.FileSize * int64(r.options.FileCount-2) / 2 }
