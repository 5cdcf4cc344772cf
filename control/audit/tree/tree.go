// Package tree makes a transparency log of the leaves, by the library that Go's own
// checksum database is checked with, so that others can check ours.
package tree

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"golang.org/x/mod/sumdb/tlog"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/config/proposal"
)

// Origin is the first line of a checkpoint.
const Origin = "cottonarch.example/audit"

// Log is what a core gives out.
type Log struct {
	Checkpoint string                `json:"checkpoint"`
	Leaves     []proposal.AuditEntry `json:"leaves"`
}

// Build makes the log of the leaves.
func Build(leaves []proposal.AuditEntry) (Log, error) {
	root, err := Root(leaves)
	if err != nil {
		return Log{}, err
	}
	if leaves == nil {
		leaves = []proposal.AuditEntry{}
	}
	return Log{Checkpoint: fmt.Sprintf("%s\n%d\n%s\n", Origin, len(leaves), base64.StdEncoding.EncodeToString(root[:])), Leaves: leaves}, nil
}

// Root is the hash over all leaves.
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
			return tlog.Hash{}, failure.Wrap(err, failure.Internal, "leaf")
		}
		stored, err := tlog.StoredHashes(int64(i), raw, reader)
		if err != nil {
			return tlog.Hash{}, failure.Wrap(err, failure.Internal, "hashes")
		}
		hashes = append(hashes, stored...)
	}
	root, err := tlog.TreeHash(int64(len(leaves)), reader)
	return root, failure.Wrap(err, failure.Internal, "tree")
}

// Verify checks a log against its own checkpoint and, when one is given, against an
// older checkpoint: what that one covered must be the beginning of this log.
func Verify(log Log, olderCheckpoint string) error {
	rebuilt, err := Build(log.Leaves)
	if err != nil {
		return err
	}
	if rebuilt.Checkpoint != log.Checkpoint {
		return failure.New(failure.Damaged, "the leaves do not make the checkpoint")
	}
	for i := 1; i < len(log.Leaves); i++ {
		if log.Leaves[i].Revision <= log.Leaves[i-1].Revision {
			return failure.New(failure.Damaged, "epoch %d stands after %d", log.Leaves[i].Revision, log.Leaves[i-1].Revision)
		}
	}
	if olderCheckpoint == "" {
		return nil
	}
	lines := strings.Split(olderCheckpoint, "\n")
	if len(lines) < 3 || lines[0] != Origin {
		return failure.New(failure.Malformed, "the older checkpoint is none of ours")
	}
	size, err := strconv.Atoi(lines[1])
	if err != nil || size < 0 {
		return failure.New(failure.Malformed, "the older checkpoint has no size")
	}
	if size > len(log.Leaves) {
		return failure.New(failure.Damaged, "the log has %d leaves, it had %d", len(log.Leaves), size)
	}
	prefix, err := Build(log.Leaves[:size])
	if err != nil {
		return err
	}
	if strings.TrimSpace(prefix.Checkpoint) != strings.TrimSpace(olderCheckpoint) {
		return failure.New(failure.Damaged, "the first %d leaves are not those of the older checkpoint", size)
	}
	return nil
}
