package ring

import (
	"bytes"
	"encoding/binary"
	"slices"

	"cottonarch.example/cottonarch/base/failure"
)

const (
	// readAhead is the size in bytes of one read, so that a ring with few records is opened without
	// reading all of its files.
	readAhead = 256 << 10
	// maxZeroRun is the number of consecutive zero bytes after which the search for lost records
	// ends. maxZeroRun is larger than any gap that a loss of power leaves between two syncs.
	maxZeroRun = 4 * readAhead
)

// fileReader reads one file from its start into memory. Invariant: loaded holds the first bytes of
// the file.
type fileReader struct {
	file   File
	size   int64
	loaded []byte
}

func (r *Ring) reader(file int) *fileReader {
	return &fileReader{file: r.files[file], size: r.options.FileSize}
}

// load reads on until at least n bytes are loaded, or the file ends.
func (r *fileReader) load(n int64) error {
	for n = min(n, r.size); int64(len(r.loaded)) < n; {
		have := len(r.loaded)
		next := int(min(readAhead, r.size-int64(have)))
		if cap(r.loaded)-have < next {
			double := min(max(readAhead, int64(have)), r.size-int64(have))
			r.loaded = slices.Grow(r.loaded, int(double))
		}
		r.loaded = r.loaded[:have+next]
		if _, err := r.file.ReadAt(r.loaded[have:], int64(have)); err != nil {
			return failure.Wrap(err, failure.DiskFailed, "read records")
		}
	}
	return nil
}

// loadToEndOfWrites reads on from an offset until maxZeroRun zero bytes follow, or the file ends.
func (r *fileReader) loadToEndOfWrites(from int64) error {
	if err := r.load(from); err != nil {
		return err
	}
	for zeroRun := 0; zeroRun < maxZeroRun && int64(len(r.loaded)) < r.size; {
		have := len(r.loaded)
		if err := r.load(int64(have) + readAhead); err != nil {
			return err
		}
		if zeroRun += readAhead; !allZero(r.loaded[have:]) {
			zeroRun = 0
		}
	}
	return nil
}

// recordAt reads the record at an offset. ok is false if there is no valid record.
func (r *fileReader) recordAt(offset int64, generation uint64) (record storedRecord, ok bool, err error) {
	if err := r.load(offset + recordHeaderSize); err != nil {
		return storedRecord{}, false, err
	}
	if int64(len(r.loaded)) < offset+recordHeaderSize || binary.LittleEndian.Uint32(r.loaded[offset:]) != recordMagic {
		return storedRecord{}, false, nil
	}
	length := int64(binary.LittleEndian.Uint32(r.loaded[offset+recordLengthOffset:]))
	if err := r.load(offset + recordHeaderSize + length); err != nil {
		return storedRecord{}, false, err
	}
	record, ok = parseRecord(r.loaded[offset:], generation)
	return record, ok, nil
}

// nextMagic returns the offset of the first record magic number at or after an offset within the
// loaded bytes, or -1.
func (r *fileReader) nextMagic(from int64) int64 {
	magic := binary.LittleEndian.AppendUint32(nil, recordMagic)
	n := bytes.Index(r.loaded[from:], magic)
	if n < 0 {
		return -1
	}
	return from + int64(n)
}
