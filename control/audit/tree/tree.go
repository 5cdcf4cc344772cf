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

	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/kernel/failure"
)

// Origin is the first line of a checkpoint.
const Origin = "cottonarch.example/audit"

// Log is what a core gives out.
type Log struct {
	Checkpoint string       `json:"checkpoint"`
	Leaves     []offer.Line `json:"leaves"`
}

// Build makes the log of the leaves.
func Build(leaves []offer.Line) (Log, error) {
	root, err := Root(leaves)
	if err != nil {
		return Log{}, err
	}
	if leaves == nil {
		leaves = []offer.Line{}
	}
	return Log{Checkpoint: fmt.Sprintf("%s\n%d\n%s\n", Origin, len(leaves), base64.StdEncoding.EncodeToString(root[:])), Leaves: leaves}, nil
}

// Root is the hash over all leaves.
func Root(leaves []offer.Line) (tlog.Hash, error) {
	var held []tlog.Hash
	reader := tlog.HashReaderFunc(func(at []int64) ([]tlog.Hash, error) {
		out := make([]tlog.Hash, len(at))
		for i, x := range at {
			out[i] = held[x]
		}
		return out, nil
	})
	for i, l := range leaves {
		raw, err := json.Marshal(l)
		if err != nil {
			return tlog.Hash{}, failure.Wrap(err, failure.Internal, "leaf")
		}
		more, err := tlog.StoredHashes(int64(i), raw, reader)
		if err != nil {
			return tlog.Hash{}, failure.Wrap(err, failure.Internal, "hashes")
		}
		held = append(held, more...)
	}
	root, err := tlog.TreeHash(int64(len(leaves)), reader)
	return root, failure.Wrap(err, failure.Internal, "tree")
}

// Check checks a log against its own checkpoint and, when one is given, against an
// older checkpoint: what that one covered must be the beginning of this log.
func Check(l Log, old string) error {
	again, err := Build(l.Leaves)
	if err != nil {
		return err
	}
	if again.Checkpoint != l.Checkpoint {
		return failure.New(failure.Damaged, "the leaves do not make the checkpoint")
	}
	for i := 1; i < len(l.Leaves); i++ {
		if l.Leaves[i].Epoch <= l.Leaves[i-1].Epoch {
			return failure.New(failure.Damaged, "epoch %d stands after %d", l.Leaves[i].Epoch, l.Leaves[i-1].Epoch)
		}
	}
	if old == "" {
		return nil
	}
	lines := strings.Split(old, "\n")
	if len(lines) < 3 || lines[0] != Origin {
		return failure.New(failure.Malformed, "the older checkpoint is none of ours")
	}
	n, err := strconv.Atoi(lines[1])
	if err != nil || n < 0 {
		return failure.New(failure.Malformed, "the older checkpoint has no size")
	}
	if n > len(l.Leaves) {
		return failure.New(failure.Damaged, "the log has %d leaves, it had %d", len(l.Leaves), n)
	}
	part, err := Build(l.Leaves[:n])
	if err != nil {
		return err
	}
	if strings.TrimSpace(part.Checkpoint) != strings.TrimSpace(old) {
		return failure.New(failure.Damaged, "the first %d leaves are not those of the older checkpoint", n)
	}
	return nil
}
