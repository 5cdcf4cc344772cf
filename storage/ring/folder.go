package ring

// File is a preallocated file of a ring.
type File interface {
	ReadAt(p []byte, offset int64) (int, error)
	WriteAt(p []byte, offset int64) (int, error)
	// Sync makes all earlier writes durable.
	Sync() error
}

// Folder opens preallocated files; a new file contains only zeros. Until Sync, a loss of power may
// remove each new file independently, even if the contents of the file were synced.
type Folder interface {
	Open(name string, size int64) (File, error)
	Sync() error
}
