// Package decode reads JSON documents field by field. It checks types and bounds and reports every
// fault with the path of the field. Configurations and settings files are read with this package.
package decode

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"unicode/utf8"

	"cottonarch.example/cottonarch/base/failure"
)

// Parse decodes a single JSON object. Numbers are kept as json.Number, so that they can be encoded
// again without loss. Parse fails with Malformed for any other value, and for data after the
// object.
func Parse(raw []byte) (map[string]any, *failure.Error) {
	// json.Decoder silently replaces invalid UTF-8.
	if !utf8.Valid(raw) {
		return nil, failure.New(failure.Malformed, "not a JSON object: invalid UTF-8")
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
