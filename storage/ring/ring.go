// Package ring keeps the newest record of each tag in a ring of preallocated
// files.
package ring

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"slices"

	"cottonarch.example/cottonarch/base/failure"
)

const (
	fileMagic        = 0x43544152
	recordMagic      = 0x52454344
	fileHeaderSize   = 32
	recordHeaderSize = 36
	movedKey         = "\x00moved"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Options sizes a ring.
type Options struct {
	FileCount int
	FileSize  int64
}

// Record is one tag with its newest data.
type Record struct {
	Key  string
	Data []byte
}

type liveRecord struct {
	file int
	data []byte
}

// Ring is the ring of files. Invariants:
//   - sequence numbers rise by one a record, over all files;
//   - a file's head names its lap and its first sequence number, so no record of an
//     earlier lap or of a torn tail is ever read again;
//   - the file after the current one holds no live record once the current file
//     holds its "moved" mark, and only then is it overwritten;
//   - every record names the last sequence known synced when it was written, so
//     that damage is told from a torn tail.
type Ring struct {
	options        Options
	files          []File
	current        int
	lap            uint64
	offset         int64
	sequence       uint64
	syncedSequence uint64
	dirtyFiles     map[int]bool
	live           map[string]liveRecord
	liveBytes      int64
	fatalErr       error
	scanEnd        int64
	// Counters.
	Appends, Syncs, Moves, BytesWritten uint64
}

func (r *Ring) recordSize(key string, data []byte) int64 {
	return int64(recordHeaderSize + len(key) + len(data))
}

// maxCount is beyond what any ring counts to, and far from where a count would wrap.
const maxCount = 1 << 62

// validCount tells whether a number of a head may be a count: laps and records count from 1.
func validCount(n uint64) bool { return n > 0 && n < maxCount }

// Open recovers a ring. It answers a Damaged failure when anything that was synced
// cannot be read whole.
func Open(folder Folder, options Options) (*Ring, error) {
	r := &Ring{options: options, dirtyFiles: map[int]bool{}, live: map[string]liveRecord{}}
	type fileHeader struct {
		ok, blank  bool
		lap, first uint64
	}
	headers := make([]fileHeader, options.FileCount)
	newest := -1
	for i := range options.FileCount {
		f, err := folder.Open(fmt.Sprintf("ring-%03d", i), options.FileSize)
		if err != nil {
			return nil, err
		}
		r.files = append(r.files, f)
	}
	// Also where all files were there: a run that was killed may have made them and not
	// synced the folder. Nothing is written before their names last.
	if err := folder.Sync(); err != nil {
		return nil, err
	}
	for i, f := range r.files {
		raw := make([]byte, fileHeaderSize)
		if _, err := f.ReadAt(raw, 0); err != nil {
			return nil, failure.Wrap(err, failure.DiskFailed, "read head")
		}
		header := fileHeader{blank: !slices.ContainsFunc(raw, func(b byte) bool { return b != 0 })}
		if binary.LittleEndian.Uint32(raw) == fileMagic && crc32.Checksum(raw[:28], castagnoli) == binary.LittleEndian.Uint32(raw[28:]) {
			header.lap, header.first = binary.LittleEndian.Uint64(raw[4:]), binary.LittleEndian.Uint64(raw[12:])
			header.ok = validCount(header.lap) && validCount(header.first)
			if header.ok && (newest < 0 || header.lap > headers[newest].lap) {
				newest = i
			}
		}
		headers[i] = header
	}
	if newest < 0 {
		for i, header := range headers {
			if !header.blank && i != 0 {
				return nil, failure.New(failure.Damaged, "ring-%03d: head is damaged", i)
			}
		}
		// Records follow a head only once it was synced: without a head, one that knew
		// anything as synced proves that the head was there and is damaged.
		if err := r.checkNothingLost(0, 1, fileHeaderSize); err != nil {
			return nil, err
		}
		r.current, r.sequence = options.FileCount-1, 0
		return r, r.nextFile()
	}
	next := (newest + 1) % options.FileCount
	// Walk from the oldest file to the newest.
	r.lap = headers[newest].lap
	moved, err := r.hasMovedMark(newest, headers[newest].first)
	if err != nil {
		return nil, err
	}
	for step := options.FileCount - 1; step >= 0; step-- {
		i := (newest - step + options.FileCount) % options.FileCount
		if moved && step == options.FileCount-1 && options.FileCount > 1 {
			continue // dead: its overwriting may have begun
		}
		wantLap := r.lap - uint64(step)
		if uint64(step) >= r.lap {
			// The first lap had not come this far; only the next file's head may be torn.
			if !headers[i].blank && i != next {
				return nil, failure.New(failure.Damaged, "ring-%03d: head is damaged", i)
			}
			continue
		}
		if !headers[i].ok || headers[i].lap != wantLap {
			if step == options.FileCount-1 {
				continue // judged below, by the moved mark
			}
			return nil, failure.New(failure.Damaged, "ring-%03d: head is damaged", i)
		}
		endSequence := ^uint64(0)
		if step > 0 {
			endSequence = headers[(i+1)%options.FileCount].first
		}
		if r.sequence != 0 && headers[i].first != r.sequence+1 {
			return nil, failure.New(failure.Damaged, "ring-%03d: begins at %d, wanted %d", i, headers[i].first, r.sequence+1)
		}
		r.sequence = headers[i].first - 1
		if err := r.scanFile(i, wantLap, endSequence); err != nil {
			return nil, err
		}
		if step > 0 && r.sequence+1 != endSequence {
			return nil, failure.New(failure.Damaged, "ring-%03d: record %d is damaged", i, r.sequence+1)
		}
	}
	if r.lap >= uint64(options.FileCount) && (!headers[next].ok || headers[next].lap != r.lap-uint64(options.FileCount)+1) && !moved {
		return nil, failure.New(failure.Damaged, "ring-%03d: head is damaged before its records were moved", next)
	}
	if err := r.checkNothingLost(next, r.lap+1, fileHeaderSize); err != nil {
		return nil, err
	}
	r.current, r.syncedSequence = newest, r.sequence
	// A run that was killed may have left writes that no sync covered. They were read, so
	// they must last before anything is built on them.
	for i := range r.files {
		r.dirtyFiles[i] = true
	}
	if err := r.Sync(); err != nil {
		return nil, err
	}
	if !moved {
		// The move was cut short. Whatever was appended after the head were only
		// moved records, so starting that file anew loses nothing and has room.
		r.offset = r.scanEnd
		if err := r.moveLiveRecords(); err != nil {
			return nil, err
		}
	}
	return r, r.nextFile()
}

// fileReader is a file as far as it was read. Invariant: raw is the file from its begin on.
type fileReader struct {
	file   File
	size   int64
	loaded []byte
}

// readAhead is how much of a file is read at once: a ring that holds little is opened without
// reading all of its files.
const readAhead = 256 << 10

// fill reads on until at least n bytes are there, or the file ends.
func (r *fileReader) fill(n int64) error {
	for n = min(n, r.size); int64(len(r.loaded)) < n; {
		have := len(r.loaded)
		next := int(min(readAhead, r.size-int64(have)))
		if cap(r.loaded)-have < next {
			r.loaded = slices.Grow(r.loaded, int(min(max(readAhead, int64(have)), r.size-int64(have)))) // twice as much
		}
		r.loaded = r.loaded[:have+next]
		if _, err := r.file.ReadAt(r.loaded[have:], int64(have)); err != nil {
			return failure.Wrap(err, failure.DiskFailed, "read records")
		}
	}
	return nil
}

// maxZeroRun is how much that was never written ends the look for lost records: more than any
// loss of power leaves out between two syncs.
const maxZeroRun = 4 * readAhead

// fillPastGaps reads on from an offset to the end of what was ever written.
func (r *fileReader) fillPastGaps(from int64) error {
	if err := r.fill(from); err != nil {
		return err
	}
	for zeroRun := 0; zeroRun < maxZeroRun && int64(len(r.loaded)) < r.size; {
		have := len(r.loaded)
		if err := r.fill(int64(have) + readAhead); err != nil {
			return err
		}
		if zeroRun += readAhead; len(bytes.Trim(r.loaded[have:], "\x00")) > 0 {
			zeroRun = 0
		}
	}
	return nil
}

// recordAt reads the record at an offset.
func (r *fileReader) recordAt(offset int64, lap uint64) (key string, data []byte, sequence, syncedSequence uint64, ok bool, err error) {
	if err = r.fill(offset + recordHeaderSize); err != nil || int64(len(r.loaded)) < offset+recordHeaderSize || binary.LittleEndian.Uint32(r.loaded[offset:]) != recordMagic {
		return
	}
	if err = r.fill(offset + recordHeaderSize + int64(binary.LittleEndian.Uint32(r.loaded[offset+8:]))); err != nil {
		return
	}
	key, data, sequence, syncedSequence, ok = parseRecord(r.loaded[offset:], lap)
	return
}

func (r *Ring) reader(i int) *fileReader {
	return &fileReader{file: r.files[i], size: r.options.FileSize}
}

// hasMovedMark tells whether the newest file holds its moved mark.
func (r *Ring) hasMovedMark(file int, first uint64) (bool, error) {
	reader := r.reader(file)
	for offset, want := int64(fileHeaderSize), first; ; want++ {
		key, data, sequence, _, ok, err := reader.recordAt(offset, r.lap)
		if err != nil || !ok || sequence != want {
			return false, err
		}
		if key == movedKey {
			return true, nil
		}
		offset += r.recordSize(key, data)
	}
}

// scanFile reads the records of one file up to limit, keeping the newest of each tag.
func (r *Ring) scanFile(file int, lap, endSequence uint64) error {
	reader := r.reader(file)
	offset := int64(fileHeaderSize)
	found := map[string][]byte{} // of this file, as it was read
	for r.sequence+1 < endSequence {
		key, data, sequence, _, ok, err := reader.recordAt(offset, lap)
		if err != nil {
			return err
		}
		if !ok || sequence != r.sequence+1 {
			break
		}
		r.sequence = sequence
		offset += r.recordSize(key, data)
		if key == movedKey {
			continue
		}
		found[key] = data
	}
	for key, data := range found {
		r.setLive(key, bytes.Clone(data), file)
	}
	r.scanEnd = offset
	if endSequence == ^uint64(0) {
		return r.checkNothingLost(file, lap, offset)
	}
	return nil
}

// checkNothingLost looks for a record behind the stop that knew a lost one as synced: that
// proves damage, where a torn tail leaves none.
func (r *Ring) checkNothingLost(file int, lap uint64, from int64) error {
	reader := r.reader(file)
	if err := reader.fillPastGaps(from); err != nil {
		return err
	}
	magic := binary.LittleEndian.AppendUint32(nil, recordMagic)
	for offset := from; offset+recordHeaderSize <= int64(len(reader.loaded)); offset++ {
		n := bytes.Index(reader.loaded[offset:], magic)
		if n < 0 {
			return nil
		}
		offset += int64(n)
		if _, _, sequence, syncedSequence, ok := parseRecord(reader.loaded[offset:], lap); ok && sequence > r.sequence && syncedSequence > r.sequence {
			return failure.New(failure.Damaged, "ring-%03d: record %d is damaged", file, r.sequence+1)
		}
	}
	return nil
}

// parseRecord reads one record; ok is false when its checksum or lap is not right.
func parseRecord(raw []byte, lap uint64) (key string, data []byte, sequence, syncedSequence uint64, ok bool) {
	if len(raw) < recordHeaderSize || binary.LittleEndian.Uint32(raw) != recordMagic {
		return
	}
	size, keyLength := binary.LittleEndian.Uint32(raw[8:]), binary.LittleEndian.Uint16(raw[12:])
	recordEnd := int64(recordHeaderSize) + int64(size)
	if recordEnd > int64(len(raw)) || uint32(keyLength) > size {
		return
	}
	sum := crc32.Checksum(raw[8:recordEnd], castagnoli)
	sum = crc32.Update(sum, castagnoli, binary.LittleEndian.AppendUint64(nil, lap))
	if sum != binary.LittleEndian.Uint32(raw[4:]) {
		return
	}
	sequence, syncedSequence = binary.LittleEndian.Uint64(raw[14:]), binary.LittleEndian.Uint64(raw[22:])
	body := raw[recordHeaderSize:recordEnd]
	return string(body[:keyLength]), body[keyLength:], sequence, syncedSequence, true
}

func (r *Ring) setLive(key string, data []byte, file int) {
	if old, ok := r.live[key]; ok {
		r.liveBytes -= r.recordSize(key, old.data)
	}
	r.live[key] = liveRecord{file, data}
	r.liveBytes += r.recordSize(key, data)
}

// writeRecord writes one record into the current file, which must have room.
func (r *Ring) writeRecord(key string, data []byte) error {
	r.sequence++
	raw := make([]byte, recordHeaderSize, r.recordSize(key, data))
	binary.LittleEndian.PutUint32(raw, recordMagic)
	binary.LittleEndian.PutUint32(raw[8:], uint32(len(key)+len(data)))
	binary.LittleEndian.PutUint16(raw[12:], uint16(len(key)))
	binary.LittleEndian.PutUint64(raw[14:], r.sequence)
	binary.LittleEndian.PutUint64(raw[22:], r.syncedSequence)
	raw = append(append(raw, key...), data...)
	sum := crc32.Checksum(raw[8:], castagnoli)
	sum = crc32.Update(sum, castagnoli, binary.LittleEndian.AppendUint64(nil, r.lap))
	binary.LittleEndian.PutUint32(raw[4:], sum)
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

// moveLiveRecords moves the live records of the next file into the current one and marks it.
func (r *Ring) moveLiveRecords() error {
	next := (r.current + 1) % r.options.FileCount
	var keys []string
	need := r.recordSize(movedKey, nil)
	for key, record := range r.live {
		if record.file == next {
			keys = append(keys, key)
			need += r.recordSize(key, record.data)
		}
	}
	if r.offset+need > r.options.FileSize {
		return failure.New(failure.DiskFailed, "no room to move live records forward")
	}
	slices.Sort(keys)
	for _, key := range keys {
		if err := r.writeRecord(key, r.live[key].data); err != nil {
			return err
		}
		r.Moves++
	}
	return r.writeRecord(movedKey, nil)
}

// nextFile goes to the next file, which holds nothing live.
func (r *Ring) nextFile() error {
	if err := r.Sync(); err != nil {
		return err
	}
	r.current = (r.current + 1) % r.options.FileCount
	r.lap++
	raw := make([]byte, fileHeaderSize)
	binary.LittleEndian.PutUint32(raw, fileMagic)
	binary.LittleEndian.PutUint64(raw[4:], r.lap)
	binary.LittleEndian.PutUint64(raw[12:], r.sequence+1)
	binary.LittleEndian.PutUint32(raw[28:], crc32.Checksum(raw[:28], castagnoli))
	if _, err := r.files[r.current].WriteAt(raw, 0); err != nil {
		r.fatalErr = failure.Wrap(err, failure.DiskFailed, "write head")
		return r.fatalErr
	}
	r.dirtyFiles[r.current], r.offset = true, fileHeaderSize
	if err := r.moveLiveRecords(); err != nil {
		return err
	}
	return r.Sync()
}

// FreeFraction is the part of the space for live records that is still free.
func (r *Ring) FreeFraction() float64 { return 1 - float64(r.liveBytes)/float64(r.maxLiveBytes()) }

func (r *Ring) maxLiveBytes() int64 { return r.options.FileSize * int64(r.options.FileCount-2) / 2 }

// MaxRecordSize is the largest record that fits.
func (r *Ring) MaxRecordSize() int64 { return r.options.FileSize / 2 }

// Append writes records; they count only after Sync. A refusal for want of room
// leaves the ring as it was.
func (r *Ring) Append(batch []Record) error {
	if r.fatalErr != nil {
		return r.fatalErr
	}
	for _, record := range batch {
		need := r.recordSize(record.Key, record.Data)
		if need > r.MaxRecordSize() {
			return failure.New(failure.Oversize, "record of %d bytes", need)
		}
		if r.liveBytes+need > r.maxLiveBytes() {
			return failure.New(failure.DiskFailed, "the ring is full of live records")
		}
		for tries := 0; r.offset+need > r.options.FileSize; tries++ {
			if tries > r.options.FileCount {
				return failure.New(failure.DiskFailed, "no room after a whole lap")
			}
			if err := r.nextFile(); err != nil {
				return err
			}
		}
		if err := r.writeRecord(record.Key, record.Data); err != nil {
			return err
		}
		r.Appends++
	}
	return nil
}

// Sync makes all that was appended last. After a failed sync nothing counts any
// more: the ring stays broken until it is opened anew.
func (r *Ring) Sync() error {
	if r.fatalErr != nil {
		return r.fatalErr
	}
	for i := range r.files {
		if !r.dirtyFiles[i] {
			continue
		}
		if err := r.files[i].Sync(); err != nil {
			r.fatalErr = failure.Wrap(err, failure.DiskFailed, "sync")
			return r.fatalErr
		}
		delete(r.dirtyFiles, i)
		r.Syncs++
	}
	r.syncedSequence = r.sequence
	return nil
}

// Records lists the newest record of each tag, in order of tag.
func (r *Ring) Records() []Record {
	out := make([]Record, 0, len(r.live))
	for key, record := range r.live {
		out = append(out, Record{key, record.data})
	}
	slices.SortFunc(out, func(a, b Record) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return out
}
