package ring

import (
	"bytes"
	"encoding/binary"
	"slices"

	"cottonarch.example/cottonarch/base/failure"
)

const (
	// readAhead is how much of a file is read at once: a ring that holds little is opened
	// without reading all of its files.
	readAhead = 256 << 10
	// maxZeroRun is how many bytes that were never written end the search for lost records:
	// more than any loss of power leaves out between two syncs.
	maxZeroRun = 4 * readAhead
)

// fileReader reads one file from its start. Invariant: loaded holds the first bytes of the file.
type fileReader struct {
	file   File
	size   int64
	loaded []byte
}

func (r *Ring) reader(file int) *fileReader {
	return &fileReader{file: r.files[file], size: r.options.FileSize}
}

// fill reads on until at least n bytes are loaded, or the file ends.
func (r *fileReader) fill(n int64) error {
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
		if zeroRun += readAhead; !allZero(r.loaded[have:]) {
			zeroRun = 0
		}
	}
	return nil
}

// recordAt reads the record at an offset; ok is false when there is none.
func (r *fileReader) recordAt(offset int64, lap uint64) (record storedRecord, ok bool, err error) {
	if err := r.fill(offset + recordHeaderSize); err != nil {
		return storedRecord{}, false, err
	}
	if int64(len(r.loaded)) < offset+recordHeaderSize || binary.LittleEndian.Uint32(r.loaded[offset:]) != recordMagic {
		return storedRecord{}, false, nil
	}
	length := int64(binary.LittleEndian.Uint32(r.loaded[offset+recordLengthOffset:]))
	if err := r.fill(offset + recordHeaderSize + length); err != nil {
		return storedRecord{}, false, err
	}
	record, ok = parseRecord(r.loaded[offset:], lap)
	return record, ok, nil
}

// nextMagic returns the offset of the next record magic number from an offset on, -1 if none is
// loaded.
func (r *fileReader) nextMagic(from int64) int64 {
	magic := binary.LittleEndian.AppendUint32(nil, recordMagic)
	n := bytes.Index(r.loaded[from:], magic)
	if n < 0 {
		return -1
	}
	return from + int64(n)
}
