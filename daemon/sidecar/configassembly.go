package sidecar

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/delta"
	"cottonarch.example/cottonarch/daemon/api/mesh"
)

// maxConfigBytes bounds a configuration that is taken from another process.
const maxConfigBytes = mesh.MaxPartBytes

// configAssembly puts the parts of a configuration together. Invariant: data is the beginning of
// one form, compressed or not, of one revision.
type configAssembly struct {
	revision   ident.ConfigRevision
	compressed bool
	size       int
	data       []byte
	// partBytes is the size of the parts to ask for; a process of an earlier release serves its own.
	partBytes int
}

func (a *configAssembly) complete() bool { return a.revision != 0 && len(a.data) == a.size }

// add takes the next part; one of another revision, or in another form, begins it anew.
func (a *configAssembly) add(part mesh.ConfigPart) *failure.Error {
	if part.Revision != a.revision || part.Compressed != a.compressed {
		if part.Offset != 0 {
			*a = configAssembly{partBytes: min(2*a.partBytes, mesh.MaxPartBytes)}
			return nil
		}
		if part.Revision == 0 || part.Size <= 0 || part.Size > maxConfigBytes {
			return failure.New(failure.BadResponse, "a configuration can't have %d bytes", part.Size)
		}
		*a = configAssembly{
			revision: part.Revision, compressed: part.Compressed, size: part.Size, data: make([]byte, 0, part.Size), partBytes: a.partBytes,
		}
	}
	if part.Offset != len(a.data) || part.Size != a.size || len(part.Data) == 0 || len(a.data)+len(part.Data) > a.size {
		return failure.New(failure.BadResponse, "a part of the configuration does not fit")
	}
	a.data = append(a.data, part.Data...)
	return nil
}

// bytes returns the configuration as it is stored.
func (a *configAssembly) bytes() (json.RawMessage, *failure.Error) {
	if !a.compressed {
		return a.data, nil
	}
	return delta.Decompress(a.data, maxConfigBytes)
}
