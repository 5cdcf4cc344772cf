package sidecar

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/delta"
	"cottonarch.example/cottonarch/daemon/api/mesh"
)

// maxConfigBytes bounds the size of a configuration that is fetched from another process.
const maxConfigBytes = mesh.MaxPartBytes

// configAssembly reassembles a configuration from its parts. Invariant: data is a prefix of one
// revision in one form, either compressed or uncompressed.
type configAssembly struct {
	revision   ident.ConfigRevision
	compressed bool
	size       int
	data       []byte
	// partBytes is the part size to request. A process of an earlier release ignores the request
	// and serves parts of its own size.
	partBytes int
}

func (a *configAssembly) complete() bool { return a.revision != 0 && len(a.data) == a.size }

// add appends the next part. A part of another revision, or in another form, restarts the assembly.
func (a *configAssembly) add(part mesh.ConfigPart) *failure.Error {
	if part.Revision != a.revision || part.Compressed != a.compressed {
		if part.Offset != 0 {
			*a = configAssembly{partBytes: min(2*a.partBytes, mesh.MaxPartBytes)}
			return nil
		}
		if part.Revision == 0 || part.Size <= 0 || part.Size > maxConfigBytes {
			return failure.New(failure.BadResponse, "the configuration has no revision or an invalid size of %d bytes", part.Size)
		}
		*a = configAssembly{
			revision: part.Revision, compressed: part.Compressed, size: part.Size, data: make([]byte, 0, part.Size), partBytes: a.partBytes,
		}
	}
	if part.Offset != len(a.data) || part.Size != a.size || len(part.Data) == 0 || len(a.data)+len(part.Data) > a.size {
		return failure.New(failure.BadResponse, "the configuration part does not continue the parts received before")
	}
	a.data = append(a.data, part.Data...)
	return nil
}

// bytes returns the configuration in its stored, uncompressed form.
func (a *configAssembly) bytes() (json.RawMessage, *failure.Error) {
	if !a.compressed {
		return a.data, nil
	}
	return delta.Decompress(a.data, maxConfigBytes)
}
