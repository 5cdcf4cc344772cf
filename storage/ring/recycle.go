package ring

import (
	"slices"

	"cottonarch.example/cottonarch/base/failure"
)

// nextFile begins the next file, which holds no live record, and moves the live records of the file
// after that one into it, so that this file can be overwritten next.
func (r *Ring) nextFile() error {
	if err := r.Sync(); err != nil {
		return err
	}
	r.current = (r.current + 1) % r.options.FileCount
	r.lap++
	if _, err := r.files[r.current].WriteAt(encodeFileHeader(r.lap, r.sequence+1), 0); err != nil {
		r.fatalErr = failure.Wrap(err, failure.DiskFailed, "write header")
		return r.fatalErr
	}
	r.dirtyFiles[r.current], r.offset = true, fileHeaderSize
	if err := r.moveLiveRecords(); err != nil {
		return err
	}
	return r.Sync()
}

// moveLiveRecords moves the live records of the next file into the current one and ends them
// with the moved mark.
func (r *Ring) moveLiveRecords() error {
	next := (r.current + 1) % r.options.FileCount
	var keys []string
	need := recordSize(movedKey, nil)
	for key, record := range r.live {
		if record.file == next {
			keys = append(keys, key)
			need += recordSize(key, record.data)
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
