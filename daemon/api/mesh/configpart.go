package mesh

import (
	"encoding/json"
	"net/http"
	"strconv"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/delta"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/wire/response"
)

const (
	// DefaultPartBytes is the default and the minimum size of a configuration part.
	DefaultPartBytes = 256 << 10
	// MaxPartBytes is the size of the largest part that may be asked for.
	MaxPartBytes = 2 * validation.MaxBytes
)

// ConfigPart is a bounded part of a configuration, or a delta to it in place of all its parts.
// Size, Offset and Data are of the compressed form if Compressed is set.
type ConfigPart struct {
	Revision   ident.ConfigRevision `json:"epoch"`
	Size       int                  `json:"size"`
	Offset     int                  `json:"at"`
	Data       []byte               `json:"data"`
	Compressed bool                 `json:"packed,omitempty"`
	Delta      *delta.Delta         `json:"delta,omitempty"`
}

// ConfigSource is a configuration that is served. DeltaFrom, if set, gives the delta from an older
// revision, nil if there is none.
type ConfigSource struct {
	Revision   ident.ConfigRevision
	Raw        json.RawMessage
	Compressed *delta.Compressed
	DeltaFrom  func(from ident.ConfigRevision) *delta.Delta
}

// configPart serves the newest configuration that this core holds.
func (h handlers) configPart(w http.ResponseWriter, r *http.Request) {
	held := h.core.Config()
	if held == nil {
		// Only a majority can tell that there is none.
		response.WriteError(w, failure.New(failure.NotReady, "no configuration is known here").WithRetryAfter(retryAfterSeconds))
		return
	}
	ServeConfigPart(w, r, ConfigSource{Revision: held.Revision, Raw: held.Document, Compressed: held.Compressed, DeltaFrom: h.core.ConfigDelta})
}

// ServeConfigPart serves one part of a configuration: a delta to one who names a revision from
// which there is one, and the compressed form to one who can read it.
func ServeConfigPart(w http.ResponseWriter, r *http.Request, source ConfigSource) {
	query := r.URL.Query()
	offset, err := strconv.Atoi(query.Get("at"))
	if err != nil || offset < 0 {
		response.WriteError(w, badOffset())
		return
	}
	if offset == 0 {
		if change := source.delta(query.Get("have")); change != nil {
			response.WriteJSON(w, http.StatusOK, ConfigPart{Revision: change.To, Delta: change})
			return
		}
	}
	part := ConfigPart{Revision: source.Revision, Offset: offset, Compressed: query.Get("packed") != "" && source.Compressed != nil}
	data := []byte(source.Raw)
	if part.Compressed {
		data = source.Compressed.Bytes()
	}
	if offset > len(data) {
		response.WriteError(w, badOffset())
		return
	}
	part.Size, part.Data = len(data), data[offset:min(len(data), offset+partBytes(query.Get("bytes")))]
	response.WriteJSON(w, http.StatusOK, part)
}

// partBytes is the size of the part to serve to one who asks for a size, which may be "".
func partBytes(wanted string) int {
	size, err := strconv.Atoi(wanted)
	if err != nil {
		return DefaultPartBytes
	}
	return min(max(size, DefaultPartBytes), MaxPartBytes)
}

// delta returns the delta from a revision to the one that is served, nil if there is none.
func (s ConfigSource) delta(from string) *delta.Delta {
	revision, err := strconv.ParseUint(from, 10, 64)
	if err != nil || s.DeltaFrom == nil {
		return nil
	}
	change := s.DeltaFrom(ident.ConfigRevision(revision))
	if change == nil || change.To != s.Revision {
		return nil
	}
	return change
}

func badOffset() *failure.Error {
	return failure.New(failure.Malformed, "at is not an offset in the configuration")
}
