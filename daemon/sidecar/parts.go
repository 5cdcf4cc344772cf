package sidecar

import (
	"encoding/json"

	"cottonarch.example/cottonarch/adapter/mesh"
	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/control/manifest/delta"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
)

// manifestMost bounds a manifest that is taken from another process.
const manifestMost = 2 * check.BytesMax

// stored is a manifest as it was stored, its compressed form for peers, and the delta that
// it came by, nil if it came whole.
type stored struct {
	raw    json.RawMessage
	packed *delta.Packed
	change *delta.Delta
}

// since gives the delta that it came by to those who have the manifest before it.
func (m stored) since(from ident.Epoch) *delta.Delta {
	if m.change == nil || m.change.From != from {
		return nil
	}
	return m.change
}

// parts puts a manifest together. Invariant: data is the beginning of one form of one epoch.
type parts struct {
	epoch  ident.Epoch
	packed bool
	size   int
	data   []byte
}

func (p *parts) done() bool { return p.epoch != 0 && len(p.data) == p.size }

// take takes the next part; one of another epoch, or in another form, begins anew.
func (p *parts) take(in mesh.Part) *failure.Error {
	if in.Epoch != p.epoch || in.Packed != p.packed {
		if in.At != 0 {
			*p = parts{}
			return nil
		}
		if in.Epoch == 0 || in.Size <= 0 || in.Size > manifestMost {
			return failure.New(failure.BadResponse, "a manifest of %d bytes", in.Size)
		}
		*p = parts{epoch: in.Epoch, packed: in.Packed, size: in.Size, data: make([]byte, 0, in.Size)}
	}
	if in.At != len(p.data) || in.Size != p.size || len(in.Data) == 0 || len(p.data)+len(in.Data) > p.size {
		return failure.New(failure.BadResponse, "a part of the manifest does not fit")
	}
	p.data = append(p.data, in.Data...)
	return nil
}

// raw gives the manifest as it is stored.
func (p *parts) raw() (json.RawMessage, *failure.Error) {
	if !p.packed {
		return p.data, nil
	}
	return delta.Unpack(p.data, manifestMost)
}
