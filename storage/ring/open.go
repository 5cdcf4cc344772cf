package ring

import (
	"bytes"
	"fmt"
	"math"

	"cottonarch.example/cottonarch/base/failure"
)

// noEnd is the end of a file whose successor does not say where it ends.
const noEnd = math.MaxUint64

// Open opens a ring and recovers what was written to it, or begins an empty one. It returns a
// Corrupted failure when anything that was synced cannot be read whole.
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
		return r, r.nextFile()
	}
	if err := r.recover(headers, newest); err != nil {
		return nil, err
	}
	return r, r.nextFile()
}

// openFiles opens all files and makes their names durable, before anything is written. The folder is
// synced even if all files existed: a run that was killed may have made them without syncing it.
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

// newestFile returns the file with the highest lap, -1 when no header is valid.
func newestFile(headers []fileHeader) int {
	newest := -1
	for i, header := range headers {
		if header.valid && (newest < 0 || header.lap > headers[newest].lap) {
			newest = i
		}
	}
	return newest
}

// checkNeverWritten checks that files without a valid header are those of a new ring. Only the
// header of the first file may be torn. Records follow a header only once it was synced: a
// record that knew anything as synced proves that the header was there and is damaged.
func (r *Ring) checkNeverWritten(headers []fileHeader) error {
	for i, header := range headers {
		if !header.blank && i != 0 {
			return errHeaderDamaged(i)
		}
	}
	return r.checkNothingLost(0, 1, fileHeaderSize)
}

// recover reads the files from the oldest to the newest, makes what it read durable, and completes
// the move of live records, which a crash may have interrupted.
func (r *Ring) recover(headers []fileHeader, newest int) error {
	next := (newest + 1) % r.options.FileCount
	r.lap = headers[newest].lap
	moved, err := r.hasMovedMark(newest, headers[newest].first)
	if err != nil {
		return err
	}
	for age := r.options.FileCount - 1; age >= 0; age-- {
		if moved && r.isOldest(age) && r.options.FileCount > 1 {
			continue // it holds nothing live, and its overwriting may have begun
		}
		if err := r.recoverFile(headers, newest, age); err != nil {
			return err
		}
	}
	if !moved && r.oldestIsLost(headers[next]) {
		return failure.New(failure.Corrupted, "ring-%03d: header is damaged before its records were moved", next)
	}
	if err := r.checkNothingLost(next, r.lap+1, fileHeaderSize); err != nil {
		return err
	}
	r.current, r.syncedSequence = newest, r.sequence
	if err := r.syncAll(); err != nil {
		return err
	}
	if moved {
		return nil
	}
	// The newest file holds only moved records after its header, so appending the move again
	// loses nothing and has room.
	r.offset = r.scanEnd
	return r.moveLiveRecords()
}

// isOldest reports whether a file that was begun age files before the newest is the next to be
// overwritten.
func (r *Ring) isOldest(age int) bool { return age == r.options.FileCount-1 }

// oldestIsLost reports whether the header of the next file to be overwritten, which was
// written a lap ago, is no longer there.
func (r *Ring) oldestIsLost(header fileHeader) bool {
	files := uint64(r.options.FileCount)
	return r.lap >= files && (!header.valid || header.lap != r.lap-files+1)
}

// recoverFile reads the records of the file that was begun age files before the newest.
func (r *Ring) recoverFile(headers []fileHeader, newest, age int) error {
	file := (newest - age + r.options.FileCount) % r.options.FileCount
	header := headers[file]
	if uint64(age) >= r.lap {
		// The first lap had not come this far; only the next file's header may be torn.
		if !header.blank && !r.isOldest(age) {
			return errHeaderDamaged(file)
		}
		return nil
	}
	lap := r.lap - uint64(age)
	if !header.valid || header.lap != lap {
		if r.isOldest(age) {
			return nil // recover decides, by the moved mark
		}
		return errHeaderDamaged(file)
	}
	if r.sequence != 0 && header.first != r.sequence+1 {
		return failure.New(failure.Corrupted, "ring-%03d: begins at record %d, want %d", file, header.first, r.sequence+1)
	}
	r.sequence = header.first - 1
	if age == 0 {
		return r.scanFile(file, lap, noEnd)
	}
	end := headers[(file+1)%r.options.FileCount].first
	if err := r.scanFile(file, lap, end); err != nil {
		return err
	}
	if r.sequence+1 != end {
		return errRecordDamaged(file, r.sequence+1)
	}
	return nil
}

// hasMovedMark reports whether the newest file holds the mark that ends the moved records.
func (r *Ring) hasMovedMark(file int, first uint64) (bool, error) {
	reader := r.reader(file)
	offset := int64(fileHeaderSize)
	for sequence := first; ; sequence++ {
		record, ok, err := reader.recordAt(offset, r.lap)
		if err != nil || !ok || record.sequence != sequence {
			return false, err
		}
		if record.key == movedKey {
			return true, nil
		}
		offset += record.size()
	}
}

// scanFile reads the records of one file up to a sequence number, keeping the newest of each
// key. Of the newest file, which has no end, it checks that what follows is a torn tail.
func (r *Ring) scanFile(file int, lap, end uint64) error {
	reader := r.reader(file)
	offset := int64(fileHeaderSize)
	found := map[string][]byte{} // within the reader's bytes
	for r.sequence+1 < end {
		record, ok, err := reader.recordAt(offset, lap)
		if err != nil {
			return err
		}
		if !ok || record.sequence != r.sequence+1 {
			break
		}
		r.sequence = record.sequence
		offset += record.size()
		if record.key != movedKey {
			found[record.key] = record.data
		}
	}
	for key, data := range found {
		r.setLive(key, bytes.Clone(data), file)
	}
	r.scanEnd = offset
	if end == noEnd {
		return r.checkNothingLost(file, lap, offset)
	}
	return nil
}

// checkNothingLost searches a file, from an offset after the last record that was read, for a record
// that was written when a lost one was known synced. Such a record proves damage: a torn tail leaves
// none.
func (r *Ring) checkNothingLost(file int, lap uint64, from int64) error {
	reader := r.reader(file)
	if err := reader.fillPastGaps(from); err != nil {
		return err
	}
	for offset := from; offset+recordHeaderSize <= int64(len(reader.loaded)); offset++ {
		if offset = reader.nextMagic(offset); offset < 0 {
			return nil
		}
		record, ok := parseRecord(reader.loaded[offset:], lap)
		if ok && record.sequence > r.sequence && record.syncedSequence > r.sequence {
			return errRecordDamaged(file, r.sequence+1)
		}
	}
	return nil
}

// syncAll syncs every file. A run that was killed may have left writes that no sync covered; they
// were read, so they must be durable before anything builds on them.
func (r *Ring) syncAll() error {
	for i := range r.files {
		r.dirtyFiles[i] = true
	}
	return r.Sync()
}
