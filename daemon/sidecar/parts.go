package sidecar

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/delta"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/daemon/api/mesh"
)

// maxConfigBytes bounds a manifest that is taken from another process.
const maxConfigBytes = 2 * validation.MaxBytes

// storedConfig is a manifest as it was stored, its compressed form for peers, and the delta that
// it came by, nil if it came whole.
type storedConfig struct {
	raw        json.RawMessage
	compressed *delta.Compressed
	delta      *delta.Delta
}

// deltaFrom gives the delta that it came by to those who have the manifest before it.
func (config storedConfig) deltaFrom(from ident.Epoch) *delta.Delta {
	if config.delta == nil || config.delta.From != from {
		return nil
	}
	return config.delta
}

// configAssembly puts a manifest together. Invariant: data is the beginning of one form of one epoch.
type configAssembly struct {
	revision   ident.Epoch
	compressed bool
	size       int
	data       []byte
}

func (p *configAssembly) complete() bool { return p.revision != 0 && len(p.data) == p.size }

// add takes the next part; one of another epoch, or in another form, begins anew.
func (p *configAssembly) add(part mesh.ConfigPart) *failure.Error {
	if part.Revision != p.revision || part.Compressed != p.compressed {
		if part.Offset != 0 {
			*p = configAssembly{}
			return nil
		}
		if part.Revision == 0 || part.Size <= 0 || part.Size > maxConfigBytes {
			return failure.New(failure.BadResponse, "a manifest of %d bytes", part.Size)
		}
		*p = configAssembly{revision: part.Revision, compressed: part.Compressed, size: part.Size, data: make([]byte, 0, part.Size)}
	}
	if part.Offset != len(p.data) || part.Size != p.size || len(part.Data) == 0 || len(p.data)+len(part.Data) > p.size {
		return failure.New(failure.BadResponse, "a part of the manifest does not fit")
	}
	p.data = append(p.data, part.Data...)
	return nil
}

// bytes gives the manifest as it is stored.
func (p *configAssembly) bytes() (json.RawMessage, *failure.Error) {
	if !p.compressed {
		return p.data, nil
	}
	return delta.Decompress(p.data, maxConfigBytes)
}
