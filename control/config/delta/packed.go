package delta

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"cottonarch.example/cottonarch/base/failure"
)

// Compressed is a whole configuration, compressed once for all who ask for it.
type Compressed struct {
	raw        json.RawMessage
	once       sync.Once
	compressed []byte
}

// NewCompressed makes one; nothing is compressed before it is asked for.
func NewCompressed(raw json.RawMessage) *Compressed { return &Compressed{raw: raw} }

// Bytes gives the compressed form.
func (c *Compressed) Bytes() []byte {
	c.once.Do(func() { c.compressed = compress(c.raw) })
	return c.compressed
}

// compress can't fail: it writes to memory at a level that exists.
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

// Decompress gives the configuration back, of at most most bytes.
func Decompress(data []byte, maxBytes int) (json.RawMessage, *failure.Error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), int64(maxBytes)+1))
	if err != nil {
		return nil, failure.New(failure.BadResponse, "a packed configuration: %v", err)
	}
	if len(raw) > maxBytes {
		return nil, failure.New(failure.BadResponse, "a packed configuration of more than %d bytes", maxBytes)
	}
	return raw, nil
}
