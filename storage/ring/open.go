package ring

import (
	"bytes"
	"fmt"
	"math"

	"cottonarch.example/cottonarch/base/failure"
)

// unknownEnd is the end of the newest file: no later file header gives the sequence number at which
// the newest file ends.
const unknownEnd = math.MaxUint64

// Open opens a ring and recovers its records, or initializes an empty ring. It returns a Corrupted
// failure if any synced record that may still be live cannot be read completely.
func Open(folder Folder, options Options) (*Ring, error) {
	r := &Ring{options: options, dirtyFiles: map[int]bool{}, live: map[string]liveRecord{}}
	if err := r.openFiles(folder); err != nil {
		return nil, err
	}
	headers, err := r.readHeaders()
	if err != nil {
		return nil, err
	}
	newest := newestFile(headers)
	if newest < 0 {
		if err := r.checkNeverWritten(headers); err != nil {
			return nil, err
		}
		r.current = options.FileCount - 1
		return r, r.rotate()
	}
	if err := r.recover(headers, newest); err != nil {
		return nil, err
	}
	return r, r.rotate()
}

// openFiles opens all files and makes their directory entries durable before anything is written.
// The folder is synced even if all files existed, because a run that was killed may have created
// the files without syncing the folder.
func (r *Ring) openFiles(folder Folder) error {
	for i := range r.options.FileCount {
		file, err := folder.Open(fmt.Sprintf("ring-%03d", i), r.options.FileSize)
		if err != nil {
			return err
		}
		r.files = append(r.files, file)
	}
	return folder.Sync()
}

func (r *Ring) readHeaders() ([]fileHeader, error) {
	headers := make([]fileHeader, len(r.files))
	raw := make([]byte, fileHeaderSize)
	for i, file := range r.files {
		if _, err := file.ReadAt(raw, 0); err != nil {
			return nil, failure.Wrap(err, failure.DiskFailed, "read header")
		}
		headers[i] = parseFileHeader(raw)
	}
	return headers, nil
}

// newestFile returns the index of the file with the highest generation, or -1 if no header is valid.
func newestFile(headers []fileHeader) int {
	newest := -1
	for i, header := range headers {
		if header.valid && (newest < 0 || header.generation > headers[newest].generation) {
			newest = i
		}
	}
	return newest
}

// checkNeverWritten checks that files without a valid header belong to a new ring. Only the header
// of the first file may be torn. Records are written only after the header was synced, so a record
// whose synced sequence number is set proves that a header existed and is corrupted.
func (r *Ring) checkNeverWritten(headers []fileHeader) error {
	for i, header := range headers {
		if !header.blank && i != 0 {
			return errHeaderCorrupted(i)
		}
	}
	return r.checkNoSyncedRecordLost(0, 1, fileHeaderSize)
}

// recover reads the files from the oldest to the newest, makes the records read durable, and
// completes the move of live records if a crash interrupted the move.
func (r *Ring) recover(headers []fileHeader, newest int) error {
	next := (newest + 1) % r.options.FileCount
	r.generation = headers[newest].generation
	moved, err := r.hasMoveMarker(newest, headers[newest].first)
	if err != nil {
		return err
	}
	for age := r.options.FileCount - 1; age >= 0; age-- {
		if moved && r.isOldest(age) && r.options.FileCount > 1 {
			continue // the oldest file holds no live record and may be partly overwritten
		}
		if err := r.recoverFile(headers, newest, age); err != nil {
			return err
		}
	}
	if !moved && r.oldestHeaderIsLost(headers[next]) {
		return failure.New(failure.Corrupted, "ring-%03d: file header is corrupted and the live records were not moved yet", next)
	}
	if err := r.checkNoSyncedRecordLost(next, r.generation+1, fileHeaderSize); err != nil {
		return err
	}
	r.current, r.syncedSequence = newest, r.sequence
	if err := r.syncAll(); err != nil {
		return err
	}
	if moved {
		return nil
	}
	// The newest file holds only a header and moved records, so repeating the move after those
	// records loses nothing and has room.
	r.offset = r.scanEnd
	return r.moveLiveRecords()
}

// isOldest reports whether the file that was begun age files before the newest file is the next file
// to be overwritten.
func (r *Ring) isOldest(age int) bool { return age == r.options.FileCount-1 }

// oldestHeaderIsLost reports whether the header of the next file to be overwritten, which the
// previous pass through the ring wrote, is missing or invalid.
func (r *Ring) oldestHeaderIsLost(header fileHeader) bool {
	files := uint64(r.options.FileCount)
	return r.generation >= files && (!header.valid || header.generation != r.generation-files+1)
}

// recoverFile reads the records of the file that was begun age files before the newest file.
func (r *Ring) recoverFile(headers []fileHeader, newest, age int) error {
	file := (newest - age + r.options.FileCount) % r.options.FileCount
	header := headers[file]
	if uint64(age) >= r.generation {
		// The first pass through the ring had not reached this file; only the header of the next
		// file to be written may be torn.
		if !header.blank && !r.isOldest(age) {
			return errHeaderCorrupted(file)
		}
		return nil
	}
	generation := r.generation - uint64(age)
	if !header.valid || header.generation != generation {
		if r.isOldest(age) {
			return nil // recover reports the loss unless the move marker exists
		}
		return errHeaderCorrupted(file)
	}
	if r.sequence != 0 && header.first != r.sequence+1 {
		return failure.New(failure.Corrupted, "ring-%03d: first record is %d, want %d", file, header.first, r.sequence+1)
	}
	r.sequence = header.first - 1
	if age == 0 {
		return r.scanFile(file, generation, unknownEnd)
	}
	end := headers[(file+1)%r.options.FileCount].first
	if err := r.scanFile(file, generation, end); err != nil {
		return err
	}
	if r.sequence+1 != end {
		return errRecordCorrupted(file, r.sequence+1)
	}
	return nil
}

// hasMoveMarker reports whether the newest file holds the marker that follows the moved records.
func (r *Ring) hasMoveMarker(file int, first uint64) (bool, error) {
	reader := r.reader(file)
	offset := int64(fileHeaderSize)
	for sequence := first; ; sequence++ {
		record, ok, err := reader.recordAt(offset, r.generation)
		if err != nil || !ok || record.sequence != sequence {
			return false, err
		}
		if record.key == moveMarkerKey {
			return true, nil
		}
		offset += record.size()
	}
}

// scanFile reads the records of one file with sequence numbers below end, and keeps the newest
// record of each key. For the newest file, end is unknownEnd, and scanFile checks that the bytes
// after the last record are at most a torn tail.
func (r *Ring) scanFile(file int, generation, end uint64) error {
	reader := r.reader(file)
	offset := int64(fileHeaderSize)
	found := map[string][]byte{} // slices of reader.loaded
	for r.sequence+1 < end {
		record, ok, err := reader.recordAt(offset, generation)
		if err != nil {
			return err
		}
		if !ok || record.sequence != r.sequence+1 {
			break
		}
		r.sequence = record.sequence
		offset += record.size()
		if record.key != moveMarkerKey {
			found[record.key] = record.data
		}
	}
	for key, data := range found {
		r.setLive(key, bytes.Clone(data), file)
	}
	r.scanEnd = offset
	if end == unknownEnd {
		return r.checkNoSyncedRecordLost(file, generation, offset)
	}
	return nil
}

// checkNoSyncedRecordLost searches a file, from an offset after the last record read, for a record
// that was written when a lost record was known to be synced. Such a record proves corruption: a
// torn tail contains no such record.
func (r *Ring) checkNoSyncedRecordLost(file int, generation uint64, from int64) error {
	reader := r.reader(file)
	if err := reader.loadToEndOfWrites(from); err != nil {
		return err
	}
	for offset := from; offset+recordHeaderSize <= int64(len(reader.loaded)); offset++ {
		if offset = reader.nextMagic(offset); offset < 0 {
			return nil
		}
		record, ok := parseRecord(reader.loaded[offset:], generation)
		if ok && record.sequence > r.sequence && record.syncedSequence > r.sequence {
			return errRecordCorrupted(file, r.sequence+1)
		}
	}
	return nil
}

// syncAll syncs every file. A run that was killed may have left unsynced writes. recover has read
// these writes, so they must be durable before the caller acts on them.
func (r *Ring) syncAll() error {
	for i := range r.files {
		r.dirtyFiles[i] = true
	}
	return r.Sync()
}
