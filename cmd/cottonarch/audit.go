package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/audit/tree"
)

// auditCmd verifies the audit log of configurations.
type auditCmd struct {
	target
	OldCheckpointFile string `name:"old" help:"File with an older checkpoint that the log must continue." type:"existingfile"`
	SaveFile          string `name:"save" help:"File to keep the new checkpoint in." type:"path"`
	PrintLeaves       bool   `name:"leaves" help:"Print the leaves of the log's Merkle tree too."`
}

// Run fetches and verifies the audit log, and prints the checkpoint of the log.
func (c auditCmd) Run() error {
	data, err := c.request(http.MethodGet, "/audit", nil)
	if err != nil {
		return err
	}
	var log tree.Log
	if err := json.Unmarshal(data, &log); err != nil {
		return failure.Wrap(err, failure.BadResponse, "can't decode the audit log")
	}
	oldCheckpoint, err := c.readOldCheckpoint()
	if err != nil {
		return err
	}
	if err := tree.Verify(log, oldCheckpoint); err != nil {
		return err
	}
	if c.SaveFile != "" {
		if err := os.WriteFile(c.SaveFile, []byte(log.Checkpoint), 0o644); err != nil {
			return failure.Wrap(err, failure.Internal, "can't save the checkpoint")
		}
	}
	if c.PrintLeaves {
		for _, leaf := range log.Leaves {
			fmt.Printf("%d %s\n", leaf.Revision, leaf.SHA256)
		}
	}
	fmt.Print(log.Checkpoint)
	return nil
}

// readOldCheckpoint reads the older checkpoint. The result is "" if no file is given.
func (c auditCmd) readOldCheckpoint() (string, error) {
	if c.OldCheckpointFile == "" {
		return "", nil
	}
	raw, err := os.ReadFile(c.OldCheckpointFile)
	if err != nil {
		return "", failure.Wrap(err, failure.Malformed, "can't read the old checkpoint")
	}
	return string(raw), nil
}
