package ring

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"testing"

	"github.com/shoenig/test/must"
)

// fuzzOptions describes a ring that is small enough to use the whole image as a fuzz input.
var fuzzOptions = Options{FileCount: 4, FileSize: 512}

// imageOf returns the concatenated contents of the files of a ring.
func imageOf(folder *MemoryFolder) []byte {
	var joined []byte
	for i := range fuzzOptions.FileCount {
		joined = append(joined, folder.Files[fmt.Sprintf("ring-%03d", i)].durable...)
	}
	return joined
}

// folderOf returns a folder whose files hold the image, which may have any length.
func folderOf(raw []byte) *MemoryFolder {
	folder := NewMemoryFolder()
	raw = append(bytes.Clone(raw), make([]byte, int(fuzzOptions.FileSize)*fuzzOptions.FileCount)...)
	for i := range fuzzOptions.FileCount {
		part := raw[int64(i)*fuzzOptions.FileSize : int64(i+1)*fuzzOptions.FileSize]
		folder.Files[fmt.Sprintf("ring-%03d", i)] = &MemoryFile{folder: folder, durable: bytes.Clone(part), cached: bytes.Clone(part)}
	}
	return folder
}

// withChecksums fixes the checksum of every file header, and of every record that is reachable
// through the lengths of the preceding records, so that the fuzzer also reaches the code behind the
// checksum verification.
func withChecksums(raw []byte) []byte {
	raw = bytes.Clone(raw)
	for start := 0; start+fileHeaderSize <= len(raw); start += int(fuzzOptions.FileSize) {
		file := raw[start:min(len(raw), start+int(fuzzOptions.FileSize))]
		binary.LittleEndian.PutUint32(file, fileMagic)
		binary.LittleEndian.PutUint32(file[28:], crc32.Checksum(file[:28], castagnoliTable))
		generation := file[4:12]
		for offset := fileHeaderSize; offset+recordHeaderSize <= len(file); {
			end := offset + recordHeaderSize + int(binary.LittleEndian.Uint32(file[offset+8:]))
			if binary.LittleEndian.Uint32(file[offset:]) != recordMagic || end > len(file) {
				break
			}
			sum := crc32.Update(crc32.Checksum(file[offset+8:end], castagnoliTable), castagnoliTable, generation)
			binary.LittleEndian.PutUint32(file[offset+4:], sum)
			offset = end
		}
	}
	return raw
}

// holdsRecord reports whether an image holds the record at any offset, with a correct checksum for
// the generation in the header of the same file.
func holdsRecord(raw []byte, key string, data []byte) bool {
	for start := 0; start+fileHeaderSize <= len(raw); start += int(fuzzOptions.FileSize) {
		file := raw[start:min(len(raw), start+int(fuzzOptions.FileSize))]
		for offset := fileHeaderSize; offset+recordHeaderSize <= len(file); offset++ {
			end := offset + recordHeaderSize + len(key) + len(data)
			if end > len(file) || !bytes.Equal(file[offset+recordHeaderSize:end], append([]byte(key), data...)) {
				continue
			}
			size, width := binary.LittleEndian.Uint32(file[offset+8:]), binary.LittleEndian.Uint16(file[offset+12:])
			sum := crc32.Update(crc32.Checksum(file[offset+8:end], castagnoliTable), castagnoliTable, file[4:12])
			if int(size) == len(key)+len(data) && int(width) == len(key) && sum == binary.LittleEndian.Uint32(file[offset+4:]) {
				return true
			}
		}
	}
	return false
}

// FuzzOpen checks, for arbitrary file contents, that Open does not panic, that a record is returned
// only if the files hold the record with a correct checksum, and that an opened ring accepts a new
// record and returns the record after a restart.
func FuzzOpen(f *testing.F) {
	for _, writes := range []int{0, 1, 5, 20, 60} {
		folder := NewMemoryFolder()
		r, err := Open(folder, fuzzOptions)
		must.NoError(f, err)
		for n := range writes {
			must.NoError(f, r.Append([]Record{{fmt.Sprint("k", n%3), bytes.Repeat([]byte{byte(n + 1)}, n%40)}}))
			must.NoError(f, r.Sync())
		}
		whole := imageOf(folder)
		f.Add(whole, false)
		f.Add(whole, true)
		torn := bytes.Clone(whole)
		torn[len(torn)/3] ^= 1
		f.Add(torn, false)
	}
	f.Add([]byte{}, false)
	f.Fuzz(func(t *testing.T, raw []byte, fixChecksums bool) {
		whole := int(fuzzOptions.FileSize) * fuzzOptions.FileCount
		raw = append(bytes.Clone(raw), make([]byte, whole)...)[:whole]
		if fixChecksums {
			raw = withChecksums(raw)
		}
		folder := folderOf(raw)
		r, err := Open(folder, fuzzOptions)
		if err != nil {
			return
		}
		for _, record := range r.Records() {
			must.True(t, holdsRecord(raw, record.Key, record.Data), must.Sprintf("record %q is not in the files", record.Key))
		}
		if r.Append([]Record{{"new", []byte("data")}}) != nil || r.Sync() != nil {
			return // full
		}
		folder.Crash(func(int) int { return 0 })
		r, err = Open(folder, fuzzOptions)
		must.NoError(t, err)
		must.Eq(t, "data", contents(r)["new"])
	})
}
