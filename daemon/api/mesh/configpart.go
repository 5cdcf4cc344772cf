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
	// MaxPartBytes is the maximum size of a part that a client can request.
	MaxPartBytes = 2 * validation.MaxBytes
)

// ConfigPart is a part of a configuration, limited to MaxPartBytes, or a delta that replaces all
// parts. Size is the size of the whole configuration. Size, Offset and Data refer to the compressed
// form if Compressed is set.
type ConfigPart struct {
	Revision   ident.ConfigRevision `json:"epoch"`
	Size       int                  `json:"size"`
	Offset     int                  `json:"at"`
	Data       []byte               `json:"data"`
	Compressed bool                 `json:"packed,omitempty"`
	Delta      *delta.Delta         `json:"delta,omitempty"`
}

// ConfigSource is a configuration to serve. DeltaFrom, if set, returns the delta from an older
// revision, or nil if there is no such delta.
type ConfigSource struct {
	Revision   ident.ConfigRevision
	Raw        json.RawMessage
	Compressed *delta.Compressed
	DeltaFrom  func(from ident.ConfigRevision) *delta.Delta
}

// configPart serves one part of the newest configuration that this core holds.
func (h handlers) configPart(w http.ResponseWriter, r *http.Request) {
	config := h.core.Config()
	if config == nil {
		// Only a majority can determine that no configuration exists, so the response is not NotFound.
		response.WriteError(w, failure.New(failure.NotReady, "this core does not hold a configuration yet").WithRetryAfter(retryAfterSeconds))
		return
	}
	ServeConfigPart(w, r, ConfigSource{Revision: config.Revision, Raw: config.Document, Compressed: config.Compressed, DeltaFrom: h.core.ConfigDelta})
}

// ServeConfigPart serves one part of a configuration. A request for offset 0 that names a revision
// for which a delta exists gets the delta instead. A request that accepts the compressed form gets a
// part of the compressed form if there is one.
func ServeConfigPart(w http.ResponseWriter, r *http.Request, source ConfigSource) {
	query := r.URL.Query()
	offset, err := strconv.Atoi(query.Get("at"))
	if err != nil || offset < 0 {
		response.WriteError(w, invalidOffset())
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
		response.WriteError(w, invalidOffset())
		return
	}
	part.Size, part.Data = len(data), data[offset:min(len(data), offset+partSize(query.Get("bytes")))]
	response.WriteJSON(w, http.StatusOK, part)
}

// partSize returns the size of the part to serve for a requested size, which may be "".
func partSize(requested string) int {
	size, err := strconv.Atoi(requested)
	if err != nil {
		return DefaultPartBytes
	}
	return min(max(size, DefaultPartBytes), MaxPartBytes)
}

// delta returns the delta from a revision to the served revision, or nil if there is no such delta.
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

func invalidOffset() *failure.Error {
	return failure.New(failure.Malformed, "the parameter at is not an offset within the configuration")
}
