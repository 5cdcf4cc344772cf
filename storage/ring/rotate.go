package ring

import (
	"slices"

	"cottonarch.example/cottonarch/base/failure"
)

// rotate begins the next file, which holds no live record. It then moves the live records of the
// following file into the new current file, so that the following file can be overwritten next.
func (r *Ring) rotate() error {
	if err := r.Sync(); err != nil {
		return err
	}
	r.current = (r.current + 1) % r.options.FileCount
	r.generation++
	if _, err := r.files[r.current].WriteAt(encodeFileHeader(r.generation, r.sequence+1), 0); err != nil {
		r.fatalErr = failure.Wrap(err, failure.DiskFailed, "write header")
		return r.fatalErr
	}
	r.dirtyFiles[r.current], r.offset = true, fileHeaderSize
	if err := r.moveLiveRecords(); err != nil {
		return err
	}
	return r.Sync()
}

// moveLiveRecords moves the live records of the next file into the current file and then appends the
// move marker.
func (r *Ring) moveLiveRecords() error {
	next := (r.current + 1) % r.options.FileCount
	var keys []string
	need := recordSize(moveMarkerKey, nil)
	for key, record := range r.live {
		if record.file == next {
			keys = append(keys, key)
			need += recordSize(key, record.data)
		}
	}
	if r.offset+need > r.options.FileSize {
		return failure.New(failure.DiskFailed, "ring-%03d has no room for the live records of ring-%03d: %d bytes needed", r.current, next, need)
	}
	slices.Sort(keys)
	for _, key := range keys {
		if err := r.writeRecord(key, r.live[key].data); err != nil {
			return err
		}
		r.Moves++
	}
	return r.writeRecord(moveMarkerKey, nil)
}
