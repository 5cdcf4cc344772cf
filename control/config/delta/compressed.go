package delta

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"cottonarch.example/cottonarch/base/failure"
)

// Compressed is a whole configuration that is compressed once, on first use, and shared by
// all receivers. It is safe for concurrent use.
type Compressed struct {
	raw        json.RawMessage
	once       sync.Once
	compressed []byte
}

// NewCompressed returns a configuration that Bytes will compress.
func NewCompressed(raw json.RawMessage) *Compressed { return &Compressed{raw: raw} }

// Bytes returns the configuration in the DEFLATE format.
func (c *Compressed) Bytes() []byte {
	c.once.Do(func() { c.compressed = compress(c.raw) })
	return c.compressed
}

// compress cannot fail: it writes to memory, at a valid compression level.
func compress(raw []byte) []byte {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	_, _ = writer.Write(raw)
	_ = writer.Close()
	return buffer.Bytes()
}

// Decompress returns the configuration of a compressed form. BadResponse says that the data
// is malformed or that the configuration has more than maxBytes bytes.
func Decompress(data []byte, maxBytes int) (json.RawMessage, *failure.Error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), int64(maxBytes)+1))
	if err != nil {
		return nil, failure.New(failure.BadResponse, "decompress configuration: %v", err)
	}
	if len(raw) > maxBytes {
		return nil, failure.New(failure.BadResponse, "the decompressed configuration has more than %d bytes", maxBytes)
	}
	return raw, nil
}
