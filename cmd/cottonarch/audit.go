package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/audit/tree"
)

type auditCmd struct {
	target
	Old    string `help:"File with an older checkpoint that the log must continue." type:"existingfile"`
	Save   string `help:"File to keep the new checkpoint in." type:"path"`
	Leaves bool   `help:"Print the leaves of the log's Merkle tree too."`
}

// Run fetches the audit log, verifies it and prints its checkpoint.
func (c auditCmd) Run() error {
	data, err := c.request(http.MethodGet, "/audit", nil)
	if err != nil {
		return err
	}
	var log tree.Log
	if err := json.Unmarshal(data, &log); err != nil {
		return failure.Wrap(err, failure.BadResponse, "audit")
	}
	oldCheckpoint, err := c.oldCheckpoint()
	if err != nil {
		return err
	}
	if err := tree.Verify(log, oldCheckpoint); err != nil {
		return err
	}
	if c.Save != "" {
		if err := os.WriteFile(c.Save, []byte(log.Checkpoint), 0o644); err != nil {
			return failure.Wrap(err, failure.Internal, "save")
		}
	}
	if c.Leaves {
		for _, leaf := range log.Leaves {
			fmt.Printf("%d %s\n", leaf.Revision, leaf.SHA256)
		}
	}
	fmt.Print(log.Checkpoint)
	return nil
}

// oldCheckpoint reads the older checkpoint, "" if none is given.
func (c auditCmd) oldCheckpoint() (string, error) {
	if c.Old == "" {
		return "", nil
	}
	raw, err := os.ReadFile(c.Old)
	if err != nil {
		return "", failure.Wrap(err, failure.Malformed, "old checkpoint")
	}
	return string(raw), nil
}
