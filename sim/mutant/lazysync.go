package mutant

import "cottonarch.example/cottonarch/storage/ring"

// LazySyncFolder is a folder whose files sync only what was written through them: opening a
// ring then leaves unsynced what an earlier process wrote.
type LazySyncFolder struct{ ring.Folder }

// Open opens a file of the folder.
func (l LazySyncFolder) Open(name string, size int64) (ring.File, error) {
	f, err := l.Folder.Open(name, size)
	return &lazySyncFile{File: f}, err
}

type lazySyncFile struct {
	ring.File
	dirty bool
}

// WriteAt writes through to the file.
func (f *lazySyncFile) WriteAt(p []byte, off int64) (int, error) {
	f.dirty = true
	return f.File.WriteAt(p, off)
}

// Sync syncs the file, or does nothing if nothing was written through it since the last sync.
func (f *lazySyncFile) Sync() error {
	if !f.dirty {
		return nil
	}
	f.dirty = false
	return f.File.Sync()
}
