package quorum

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"

	"cottonarch.example/cottonarch/base/hashing"
	"cottonarch.example/cottonarch/base/ident"
)

// Scan requests one page of an acceptor's records whose keys have a prefix. With Buckets, a Scan
// requests a digest of each bucket of keys instead; with Buckets and OnlyBuckets, a Scan requests
// the records of the keys in the listed buckets.
type Scan struct {
	Round      uint64                `json:"turn"`
	Membership ident.MembershipEpoch `json:"roster"`
	Prefix     string                `json:"prefix"`
	After      ident.Key             `json:"after,omitempty"`
	Values     bool                  `json:"values,omitempty"`

	Buckets     int   `json:"buckets,omitempty"`
	OnlyBuckets []int `json:"only,omitempty"`
}

// Bucket returns the bucket of a key, from 0 to buckets-1.
func Bucket(key ident.Key, buckets int) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key))
	return int(hash.Sum32() % uint32(buckets))
}

// DigestBytes is the size of the digest of one bucket, in bytes.
const DigestBytes = 8

// AddToDigests adds a record's accepted state to the digest of its key's bucket; digests holds the
// digests of all buckets. A digest is the sum of the hashes of the accepted states in the bucket,
// so the digest does not depend on the order in which the states are added.
func AddToDigests(digests []byte, key ident.Key, record Record) {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s\x00%d\x00%s\x00%d", key, record.Accepted.Epoch, record.Accepted.Proposer, record.Revision)
	digest := digests[Bucket(key, len(digests)/DigestBytes)*DigestBytes:]
	binary.LittleEndian.PutUint64(digest, binary.LittleEndian.Uint64(digest)+hashing.Mix(hash.Sum64()))
}

// Row is one record in the response to a Scan.
type Row struct {
	Key    ident.Key `json:"key"`
	Record Record    `json:"cell"`
}

// ScanResponse answers a Scan with one page of rows or with digests.
type ScanResponse struct {
	Round      uint64                `json:"turn"`
	Disk       ident.Disk            `json:"disk"`
	Membership ident.MembershipEpoch `json:"roster"`
	After      ident.Key             `json:"after,omitempty"`
	Rows       []Row                 `json:"rows,omitempty"`
	More       bool                  `json:"more,omitempty"`
	Digest     []byte                `json:"digest,omitempty"` // digests of all buckets, if the Scan requested digests
}
