package mutant

import "cottonarch.example/cottonarch/storage/ring"

// LazySyncFolder is a folder whose files skip a sync unless a write through the same open file
// preceded the sync. Opening a ring then does not sync the writes of an earlier process.
type LazySyncFolder struct{ ring.Folder }

// Open opens a file of the folder with a lazy sync.
func (l LazySyncFolder) Open(name string, size int64) (ring.File, error) {
	f, err := l.Folder.Open(name, size)
	return &lazySyncFile{File: f}, err
}

type lazySyncFile struct {
	ring.File
	dirty bool
}

// WriteAt writes to the underlying file and marks the file as dirty.
func (f *lazySyncFile) WriteAt(p []byte, off int64) (int, error) {
	f.dirty = true
	return f.File.WriteAt(p, off)
}

// Sync syncs the underlying file if there was a write through f since the last sync.
func (f *lazySyncFile) Sync() error {
	if !f.dirty {
		return nil
	}
	f.dirty = false
	return f.File.Sync()
}
