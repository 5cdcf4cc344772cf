package ring

import (
	"encoding/binary"
	"hash/crc32"

	"cottonarch.example/cottonarch/base/failure"
)

// All numbers on the disk are little-endian.
//
// A file begins with a header of fileHeaderSize bytes: the magic number, the generation of the file,
// the sequence number of the file's first record, unused bytes, and the checksum of the preceding
// bytes. Records follow without gaps. A record is a header of recordHeaderSize bytes (the magic
// number, the checksum, the length of key and data together, the length of the key, the record's
// sequence number, the newest sequence number known to be synced when the record was written, and
// unused bytes), then the key, then the data. The checksum of a record covers all bytes after the
// checksum, and the generation of the file, which is not stored with the record.
const (
	fileMagic      = 0x43544152
	fileHeaderSize = 32

	fileGenerationOffset = 4
	fileFirstOffset      = 12
	fileSumOffset        = 28

	recordMagic      = 0x52454344
	recordHeaderSize = 36

	recordSumOffset       = 4
	recordLengthOffset    = 8
	recordKeyLengthOffset = 12
	recordSequenceOffset  = 14
	recordSyncedOffset    = 22
)

// moveMarkerKey is the key of the move marker, the record that follows the last moved record of a
// file. The key begins with a zero byte so that it never equals the key of a caller's record.
const moveMarkerKey = "\x00moved"

// maxCount is larger than any count that a ring reaches, and far below the overflow of uint64.
const maxCount = 1 << 62

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// fileHeader is the header of one file. Invariant: generation and first are set only if valid is
// true.
type fileHeader struct {
	valid      bool
	blank      bool   // never written
	generation uint64 // number of files begun so far, including this file
	first      uint64 // sequence number of the file's first record
}

// encodeFileHeader returns the encoded form of a file header.
func encodeFileHeader(generation, first uint64) []byte {
	raw := make([]byte, fileHeaderSize)
	binary.LittleEndian.PutUint32(raw, fileMagic)
	binary.LittleEndian.PutUint64(raw[fileGenerationOffset:], generation)
	binary.LittleEndian.PutUint64(raw[fileFirstOffset:], first)
	binary.LittleEndian.PutUint32(raw[fileSumOffset:], crc32.Checksum(raw[:fileSumOffset], castagnoliTable))
	return raw
}

// parseFileHeader parses the header in the first fileHeaderSize bytes of a file.
func parseFileHeader(raw []byte) fileHeader {
	header := fileHeader{blank: allZero(raw)}
	sum := crc32.Checksum(raw[:fileSumOffset], castagnoliTable)
	if binary.LittleEndian.Uint32(raw) != fileMagic || sum != binary.LittleEndian.Uint32(raw[fileSumOffset:]) {
		return header
	}
	generation, first := binary.LittleEndian.Uint64(raw[fileGenerationOffset:]), binary.LittleEndian.Uint64(raw[fileFirstOffset:])
	if validCount(generation) && validCount(first) {
		header.valid, header.generation, header.first = true, generation, first
	}
	return header
}

// validCount reports whether n is a possible generation or sequence number; both start at 1.
func validCount(n uint64) bool { return n > 0 && n < maxCount }

func allZero(raw []byte) bool {
	for _, b := range raw {
		if b != 0 {
			return false
		}
	}
	return true
}

// storedRecord is a record in a file. Invariant: data of a parsed record is a slice of the parsed
// bytes.
type storedRecord struct {
	key            string
	data           []byte
	sequence       uint64
	syncedSequence uint64 // newest sequence number known to be synced at the time of the write
}

// size returns the size in bytes of the record in a file.
func (s storedRecord) size() int64 { return recordSize(s.key, s.data) }

func recordSize(key string, data []byte) int64 {
	return int64(recordHeaderSize + len(key) + len(data))
}

// encodeRecord returns the encoded form of a record in a file of the given generation.
func encodeRecord(record storedRecord, generation uint64) []byte {
	raw := make([]byte, recordHeaderSize, record.size())
	binary.LittleEndian.PutUint32(raw, recordMagic)
	binary.LittleEndian.PutUint32(raw[recordLengthOffset:], uint32(len(record.key)+len(record.data)))
	binary.LittleEndian.PutUint16(raw[recordKeyLengthOffset:], uint16(len(record.key)))
	binary.LittleEndian.PutUint64(raw[recordSequenceOffset:], record.sequence)
	binary.LittleEndian.PutUint64(raw[recordSyncedOffset:], record.syncedSequence)
	raw = append(append(raw, record.key...), record.data...)
	binary.LittleEndian.PutUint32(raw[recordSumOffset:], recordChecksum(raw[recordLengthOffset:], generation))
	return raw
}

// parseRecord parses the record at the start of raw. ok is false if there is no record or the
// checksum does not match for the generation.
func parseRecord(raw []byte, generation uint64) (record storedRecord, ok bool) {
	if len(raw) < recordHeaderSize || binary.LittleEndian.Uint32(raw) != recordMagic {
		return storedRecord{}, false
	}
	length, keyLength := binary.LittleEndian.Uint32(raw[recordLengthOffset:]), binary.LittleEndian.Uint16(raw[recordKeyLengthOffset:])
	end := int64(recordHeaderSize) + int64(length)
	if end > int64(len(raw)) || uint32(keyLength) > length {
		return storedRecord{}, false
	}
	if recordChecksum(raw[recordLengthOffset:end], generation) != binary.LittleEndian.Uint32(raw[recordSumOffset:]) {
		return storedRecord{}, false
	}
	body := raw[recordHeaderSize:end]
	return storedRecord{
		key:            string(body[:keyLength]),
		data:           body[keyLength:],
		sequence:       binary.LittleEndian.Uint64(raw[recordSequenceOffset:]),
		syncedSequence: binary.LittleEndian.Uint64(raw[recordSyncedOffset:]),
	}, true
}

func recordChecksum(covered []byte, generation uint64) uint32 {
	sum := crc32.Checksum(covered, castagnoliTable)
	return crc32.Update(sum, castagnoliTable, binary.LittleEndian.AppendUint64(nil, generation))
}

func errHeaderCorrupted(file int) error {
	return failure.New(failure.Corrupted, "ring-%03d: file header is corrupted", file)
}

func errRecordCorrupted(file int, sequence uint64) error {
	return failure.New(failure.Corrupted, "ring-%03d: record %d is corrupted", file, sequence)
}
