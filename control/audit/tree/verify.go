package tree

import (
	"strconv"
	"strings"

	"cottonarch.example/cottonarch/base/failure"
)

// Verify checks that a log matches its own checkpoint and, if olderCheckpoint is not empty, that
// the log continues the log which olderCheckpoint covers.
func Verify(log Log, olderCheckpoint string) error {
	rebuilt, err := Build(log.Leaves)
	if err != nil {
		return err
	}
	if rebuilt.Checkpoint != log.Checkpoint {
		return failure.New(failure.Corrupted, "the leaves of the audit log do not match its checkpoint")
	}
	for i := 1; i < len(log.Leaves); i++ {
		if log.Leaves[i].Revision <= log.Leaves[i-1].Revision {
			return failure.New(failure.Corrupted, "the audit log has revision %d after revision %d", log.Leaves[i].Revision, log.Leaves[i-1].Revision)
		}
	}
	if olderCheckpoint == "" {
		return nil
	}
	return verifyContinuation(log, olderCheckpoint)
}

// verifyContinuation checks that the log begins with the leaves that an older checkpoint covers.
func verifyContinuation(log Log, olderCheckpoint string) error {
	size, err := checkpointSize(olderCheckpoint)
	if err != nil {
		return err
	}
	if size > len(log.Leaves) {
		return failure.New(failure.Corrupted, "the audit log has %d leaves, but the older checkpoint covers %d", len(log.Leaves), size)
	}
	prefix, err := Build(log.Leaves[:size])
	if err != nil {
		return err
	}
	if strings.TrimSpace(prefix.Checkpoint) != strings.TrimSpace(olderCheckpoint) {
		return failure.New(failure.Corrupted, "the first %d leaves of the audit log do not match the older checkpoint", size)
	}
	return nil
}

// checkpointSize returns the number of leaves that a checkpoint covers.
func checkpointSize(checkpoint string) (int, error) {
	lines := strings.Split(checkpoint, "\n")
	if len(lines) < 3 || lines[0] != Origin {
		return 0, failure.New(failure.Malformed, "the older checkpoint is not a checkpoint of %q", Origin)
	}
	size, err := strconv.Atoi(lines[1])
	if err != nil || size < 0 {
		return 0, failure.New(failure.Malformed, "the older checkpoint has an invalid number of leaves %q", lines[1])
	}
	return size, nil
}
