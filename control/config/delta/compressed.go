package delta

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"cottonarch.example/cottonarch/base/failure"
)

// Compressed holds a whole configuration that is compressed once, on first use, and shared by all
// receivers. Compressed is safe for concurrent use.
type Compressed struct {
	raw        json.RawMessage
	once       sync.Once
	compressed []byte
}

// NewCompressed returns a Compressed for a configuration, which the first call of Bytes compresses.
func NewCompressed(raw json.RawMessage) *Compressed { return &Compressed{raw: raw} }

// Bytes returns the configuration in DEFLATE format.
func (c *Compressed) Bytes() []byte {
	c.once.Do(func() { c.compressed = compress(c.raw) })
	return c.compressed
}

// compress cannot fail, as it writes to memory with a valid compression level.
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

// Decompress returns the configuration from its compressed form. Decompress fails with BadResponse
// if the data is malformed or the configuration has more than maxBytes bytes.
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
