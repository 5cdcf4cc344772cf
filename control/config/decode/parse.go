// Package decode reads JSON documents field by field: it checks types and bounds and
// reports every fault with the path of the field. Configurations and settings files are
// read with it.
package decode

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"unicode/utf8"

	"cottonarch.example/cottonarch/base/failure"
)

// Parse decodes a single JSON object; numbers stay json.Number, so that they can be
// encoded again without loss. Anything else, and any data after the object, is Malformed.
func Parse(raw []byte) (map[string]any, *failure.Error) {
	// The decoder would silently replace invalid UTF-8.
	if !utf8.Valid(raw) {
		return nil, failure.New(failure.Malformed, "not a JSON object: not in UTF-8")
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var object map[string]any
	if err := decoder.Decode(&object); err != nil {
		return nil, failure.New(failure.Malformed, "not a JSON object: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, failure.New(failure.Malformed, "unexpected data after the JSON object")
	}
	if object == nil {
		return nil, failure.New(failure.Malformed, "not a JSON object")
	}
	return object, nil
}
