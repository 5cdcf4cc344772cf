package ring

// File is what the ring needs of a preallocated file.
type File interface {
	ReadAt(p []byte, offset int64) (int, error)
	WriteAt(p []byte, offset int64) (int, error)
	// Sync makes all earlier writes durable.
	Sync() error
}

// Folder opens preallocated files; a file that was not there is all zeros. Until Sync the
// name of a file that was made may be lost with the power, each by itself, whatever was
// written and synced within the file.
type Folder interface {
	Open(name string, size int64) (File, error)
	Sync() error
}
