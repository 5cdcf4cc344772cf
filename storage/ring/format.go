package ring

import (
	"encoding/binary"
	"hash/crc32"

	"cottonarch.example/cottonarch/base/failure"
)

// Every number on the disk is little-endian.
//
// A file begins with a header of fileHeaderSize bytes: the magic number, the lap, the
// sequence number of the file's first record, unused bytes, and the checksum of all before
// it. Records follow without gaps. A record is a header of recordHeaderSize bytes (the magic
// number, the checksum, the length of key and data together, the length of the key, the
// record's sequence number, the newest sequence number known synced when it was written, and
// unused bytes), then the key, then the data. Its checksum covers all behind itself, and the
// lap of the file, which is not stored with the record.
const (
	fileMagic      = 0x43544152
	fileHeaderSize = 32

	fileLapOffset   = 4
	fileFirstOffset = 12
	fileSumOffset   = 28

	recordMagic      = 0x52454344
	recordHeaderSize = 36

	recordSumOffset       = 4
	recordLengthOffset    = 8
	recordKeyLengthOffset = 12
	recordSequenceOffset  = 14
	recordSyncedOffset    = 22
)

// movedKey is the key of the moved mark, the record that follows the last moved record of a file. It
// begins with a zero byte so that it is no key of a caller's record.
const movedKey = "\x00moved"

// maxCount is beyond what any ring counts to, and far from where a count would wrap.
const maxCount = 1 << 62

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// fileHeader is the header of one file. Invariant: lap and first are set only when it is valid.
type fileHeader struct {
	valid bool
	blank bool   // never written
	lap   uint64 // how many files had been begun, this one included
	first uint64 // sequence number of the file's first record
}

// encodeFileHeader returns the bytes of a header.
func encodeFileHeader(lap, first uint64) []byte {
	raw := make([]byte, fileHeaderSize)
	binary.LittleEndian.PutUint32(raw, fileMagic)
	binary.LittleEndian.PutUint64(raw[fileLapOffset:], lap)
	binary.LittleEndian.PutUint64(raw[fileFirstOffset:], first)
	binary.LittleEndian.PutUint32(raw[fileSumOffset:], crc32.Checksum(raw[:fileSumOffset], castagnoli))
	return raw
}

// parseFileHeader reads a header from the first fileHeaderSize bytes of a file.
func parseFileHeader(raw []byte) fileHeader {
	header := fileHeader{blank: allZero(raw)}
	sum := crc32.Checksum(raw[:fileSumOffset], castagnoli)
	if binary.LittleEndian.Uint32(raw) != fileMagic || sum != binary.LittleEndian.Uint32(raw[fileSumOffset:]) {
		return header
	}
	lap, first := binary.LittleEndian.Uint64(raw[fileLapOffset:]), binary.LittleEndian.Uint64(raw[fileFirstOffset:])
	if validCount(lap) && validCount(first) {
		header.valid, header.lap, header.first = true, lap, first
	}
	return header
}

// validCount reports whether a number of a header may be a count: laps and records count from 1.
func validCount(n uint64) bool { return n > 0 && n < maxCount }

func allZero(raw []byte) bool {
	for _, b := range raw {
		if b != 0 {
			return false
		}
	}
	return true
}

// storedRecord is a record as a file holds it. Invariant: data lies within the bytes that it
// was parsed from.
type storedRecord struct {
	key            string
	data           []byte
	sequence       uint64
	syncedSequence uint64 // newest sequence number known synced when it was written
}

// size returns how many bytes of its file the record takes.
func (s storedRecord) size() int64 { return recordSize(s.key, s.data) }

func recordSize(key string, data []byte) int64 {
	return int64(recordHeaderSize + len(key) + len(data))
}

// encodeRecord returns the bytes of a record in a file of the given lap.
func encodeRecord(record storedRecord, lap uint64) []byte {
	raw := make([]byte, recordHeaderSize, record.size())
	binary.LittleEndian.PutUint32(raw, recordMagic)
	binary.LittleEndian.PutUint32(raw[recordLengthOffset:], uint32(len(record.key)+len(record.data)))
	binary.LittleEndian.PutUint16(raw[recordKeyLengthOffset:], uint16(len(record.key)))
	binary.LittleEndian.PutUint64(raw[recordSequenceOffset:], record.sequence)
	binary.LittleEndian.PutUint64(raw[recordSyncedOffset:], record.syncedSequence)
	raw = append(append(raw, record.key...), record.data...)
	binary.LittleEndian.PutUint32(raw[recordSumOffset:], recordChecksum(raw[recordLengthOffset:], lap))
	return raw
}

// parseRecord reads the record that raw begins with; ok is false when there is none whose
// checksum is right under the lap.
func parseRecord(raw []byte, lap uint64) (record storedRecord, ok bool) {
	if len(raw) < recordHeaderSize || binary.LittleEndian.Uint32(raw) != recordMagic {
		return storedRecord{}, false
	}
	length, keyLength := binary.LittleEndian.Uint32(raw[recordLengthOffset:]), binary.LittleEndian.Uint16(raw[recordKeyLengthOffset:])
	end := int64(recordHeaderSize) + int64(length)
	if end > int64(len(raw)) || uint32(keyLength) > length {
		return storedRecord{}, false
	}
	if recordChecksum(raw[recordLengthOffset:end], lap) != binary.LittleEndian.Uint32(raw[recordSumOffset:]) {
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

func recordChecksum(covered []byte, lap uint64) uint32 {
	sum := crc32.Checksum(covered, castagnoli)
	return crc32.Update(sum, castagnoli, binary.LittleEndian.AppendUint64(nil, lap))
}

func errHeaderDamaged(file int) error {
	return failure.New(failure.Corrupted, "ring-%03d: header is damaged", file)
}

func errRecordDamaged(file int, sequence uint64) error {
	return failure.New(failure.Corrupted, "ring-%03d: record %d is damaged", file, sequence)
}
