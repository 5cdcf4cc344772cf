package mutant

import "cottonarch.example/cottonarch/storage/ring"

// LazySyncFolder is a folder that syncs only what was written through it, as if opening a ring synced
// nothing.
type LazySyncFolder struct{ ring.Folder }

// Open opens a file.
func (l LazySyncFolder) Open(name string, size int64) (ring.File, error) {
	f, err := l.Folder.Open(name, size)
	return &lazySyncFile{File: f}, err
}

type lazySyncFile struct {
	ring.File
	dirty bool
}

// WriteAt writes.
func (f *lazySyncFile) WriteAt(p []byte, off int64) (int, error) {
	f.dirty = true
	return f.File.WriteAt(p, off)
}

// Sync syncs what was written through this file.
func (f *lazySyncFile) Sync() error {
	if !f.dirty {
		return nil
	}
	f.dirty = false
	return f.File.Sync()
}
