package delta

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"cottonarch.example/cottonarch/kernel/failure"
)

// Packed is a whole configuration, compressed once for all who ask for it.
type Packed struct {
	raw  json.RawMessage
	once sync.Once
	data []byte
}

// Pack makes one; nothing is compressed before it is asked for.
func Pack(raw json.RawMessage) *Packed { return &Packed{raw: raw} }

// Bytes gives the compressed form.
func (p *Packed) Bytes() []byte {
	p.once.Do(func() { p.data = compress(p.raw) })
	return p.data
}

// compress can't fail: it writes to memory at a level that exists.
func compress(raw []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	_, _ = w.Write(raw)
	_ = w.Close()
	return out.Bytes()
}

// Unpack gives the configuration back, of at most most bytes.
func Unpack(data []byte, most int) (json.RawMessage, *failure.Error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), int64(most)+1))
	if err != nil {
		return nil, failure.New(failure.BadResponse, "a packed configuration: %v", err)
	}
	if len(raw) > most {
		return nil, failure.New(failure.BadResponse, "a packed configuration of more than %d bytes", most)
	}
	return raw, nil
}
