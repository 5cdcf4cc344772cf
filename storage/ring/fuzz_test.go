package ring

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"testing"

	"github.com/shoenig/test/must"
)

// fuzzBoot is a ring small enough for its whole image to be an input.
var fuzzBoot = Boot{Files: 4, Size: 512}

// image is what a ring's files hold, one after the other.
func image(box *Mem) []byte {
	var out []byte
	for i := range fuzzBoot.Files {
		out = append(out, box.Files[fmt.Sprintf("ring-%03d", i)].solid...)
	}
	return out
}

// disk lays an image of any length out as files.
func disk(raw []byte) *Mem {
	box := NewMem()
	raw = append(bytes.Clone(raw), make([]byte, int(fuzzBoot.Size)*fuzzBoot.Files)...)
	for i := range fuzzBoot.Files {
		part := raw[int64(i)*fuzzBoot.Size : int64(i+1)*fuzzBoot.Size]
		box.Files[fmt.Sprintf("ring-%03d", i)] = &MemFile{owner: box, solid: bytes.Clone(part), soft: bytes.Clone(part)}
	}
	return box
}

// sealed gives every head, and every record that stands where its length says, the checksum
// that it would have: then what the checksum keeps out on a real disk comes through.
func sealed(raw []byte) []byte {
	raw = bytes.Clone(raw)
	for at := 0; at+fileHead <= len(raw); at += int(fuzzBoot.Size) {
		file := raw[at:min(len(raw), at+int(fuzzBoot.Size))]
		binary.LittleEndian.PutUint32(file, fileMagic)
		binary.LittleEndian.PutUint32(file[28:], crc32.Checksum(file[:28], table))
		lap := file[4:12]
		for off := fileHead; off+recordHead <= len(file); {
			end := off + recordHead + int(binary.LittleEndian.Uint32(file[off+8:]))
			if binary.LittleEndian.Uint32(file[off:]) != recordMagic || end > len(file) {
				break
			}
			sum := crc32.Update(crc32.Checksum(file[off+8:end], table), table, lap)
			binary.LittleEndian.PutUint32(file[off+4:], sum)
			off = end
		}
	}
	return raw
}

// intact tells whether a record with a right checksum stands anywhere in an image, under
// the lap of the head of its own file.
func intact(raw []byte, tag string, data []byte) bool {
	for at := 0; at+fileHead <= len(raw); at += int(fuzzBoot.Size) {
		file := raw[at:min(len(raw), at+int(fuzzBoot.Size))]
		for off := fileHead; off+recordHead <= len(file); off++ {
			end := off + recordHead + len(tag) + len(data)
			if end > len(file) || !bytes.Equal(file[off+recordHead:end], append([]byte(tag), data...)) {
				continue
			}
			size, width := binary.LittleEndian.Uint32(file[off+8:]), binary.LittleEndian.Uint16(file[off+12:])
			sum := crc32.Update(crc32.Checksum(file[off+8:end], table), table, file[4:12])
			if int(size) == len(tag)+len(data) && int(width) == len(tag) && sum == binary.LittleEndian.Uint32(file[off+4:]) {
				return true
			}
		}
	}
	return false
}

// Whatever bytes stand in the files: opening them ends without a panic, a record is given
// only as it stands there under a right checksum, and a ring that opens takes a record and
// gives it back when it is opened anew.
func FuzzOpen(f *testing.F) {
	for _, writes := range []int{0, 1, 5, 20, 60} {
		box := NewMem()
		r, err := Open(box, fuzzBoot)
		must.NoError(f, err)
		for n := range writes {
			must.NoError(f, r.Append([]Record{{fmt.Sprint("k", n%3), bytes.Repeat([]byte{byte(n + 1)}, n%40)}}))
			must.NoError(f, r.Sync())
		}
		whole := image(box)
		f.Add(whole, false)
		f.Add(whole, true)
		torn := bytes.Clone(whole)
		torn[len(torn)/3] ^= 1
		f.Add(torn, false)
	}
	f.Add([]byte{}, false)
	f.Fuzz(func(t *testing.T, raw []byte, seal bool) {
		whole := int(fuzzBoot.Size) * fuzzBoot.Files
		raw = append(bytes.Clone(raw), make([]byte, whole)...)[:whole]
		if seal {
			raw = sealed(raw)
		}
		box := disk(raw)
		r, err := Open(box, fuzzBoot)
		if err != nil {
			return
		}
		for _, record := range r.Records() {
			must.True(t, intact(raw, record.Tag, record.Data), must.Sprintf("%q came from nowhere", record.Tag))
		}
		if r.Append([]Record{{"new", []byte("data")}}) != nil || r.Sync() != nil {
			return // full
		}
		box.Crash(func(int) int { return 0 })
		r, err = Open(box, fuzzBoot)
		must.NoError(t, err)
		must.Eq(t, "data", see(r)["new"])
	})
}
