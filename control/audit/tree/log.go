// Package tree builds and verifies the transparency log of the audit entries. The log is a Merkle
// tree as in RFC 6962, computed with the library of Go's checksum database, so that third parties
// can verify the log with independent tools.
package tree

import (
	"encoding/base64"
	"encoding/json"
	"fmt"

	"golang.org/x/mod/sumdb/tlog"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/config/proposal"
)

// Origin is the first line of a checkpoint.
const Origin = "cottonarch.example/audit"

// Log is the audit log with a checkpoint over all leaves: the origin, the number of leaves and the
// root hash in Base64, each on a line of its own.
type Log struct {
	Checkpoint string                `json:"checkpoint"`
	Leaves     []proposal.AuditEntry `json:"leaves"`
}

// Build returns the log of the leaves with its checkpoint.
func Build(leaves []proposal.AuditEntry) (Log, error) {
	root, err := Root(leaves)
	if err != nil {
		return Log{}, err
	}
	if leaves == nil {
		leaves = []proposal.AuditEntry{}
	}
	checkpoint := fmt.Sprintf("%s\n%d\n%s\n", Origin, len(leaves), base64.StdEncoding.EncodeToString(root[:]))
	return Log{Checkpoint: checkpoint, Leaves: leaves}, nil
}

// Root returns the root hash over the JSON encodings of the leaves.
func Root(leaves []proposal.AuditEntry) (tlog.Hash, error) {
	var hashes []tlog.Hash
	reader := tlog.HashReaderFunc(func(indexes []int64) ([]tlog.Hash, error) {
		found := make([]tlog.Hash, len(indexes))
		for i, index := range indexes {
			found[i] = hashes[index]
		}
		return found, nil
	})
	for i, leaf := range leaves {
		raw, err := json.Marshal(leaf)
		if err != nil {
			return tlog.Hash{}, failure.Wrap(err, failure.Internal, "encode audit leaf")
		}
		stored, err := tlog.StoredHashes(int64(i), raw, reader)
		if err != nil {
			return tlog.Hash{}, failure.Wrap(err, failure.Internal, "hash audit leaf")
		}
		hashes = append(hashes, stored...)
	}
	root, err := tlog.TreeHash(int64(len(leaves)), reader)
	return root, failure.Wrap(err, failure.Internal, "compute the root of the audit tree")
}
