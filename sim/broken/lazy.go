package broken

import "cottonarch.example/cottonarch/storage/ring"

// Lazy is a folder that syncs only what was written through it, as if opening a ring synced
// nothing.
type Lazy struct{ ring.Folder }

// Open opens a file.
func (l Lazy) Open(name string, size int64) (ring.File, error) {
	f, err := l.Folder.Open(name, size)
	return &lazyFile{File: f}, err
}

type lazyFile struct {
	ring.File
	wrote bool
}

// WriteAt writes.
func (f *lazyFile) WriteAt(p []byte, off int64) (int, error) {
	f.wrote = true
	return f.File.WriteAt(p, off)
}

// Sync syncs what was written through this file.
func (f *lazyFile) Sync() error {
	if !f.wrote {
		return nil
	}
	f.wrote = false
	return f.File.Sync()
}
