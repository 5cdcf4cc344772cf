package main

import (
	"fmt"
	"io"
	"net/http"
	"os"

	"cottonarch.example/cottonarch/base/failure"
)

type applyCmd struct {
	target
	Patch bool   `aliases:"part" help:"The file is a patch, merged into the newest configuration; null removes a field."`
	Base  *int64 `help:"Revision that the change builds on; any other revision is a conflict."`
	File  string `arg:"" help:"Configuration file, - for standard input."`
}

// Run applies a configuration and prints the response.
func (c applyCmd) Run() error {
	raw, err := readFileOrStdin(c.File)
	if err != nil {
		return failure.Wrap(err, failure.Malformed, "configuration")
	}
	query := ""
	if c.Base != nil {
		query = fmt.Sprintf("?baseEpoch=%d", *c.Base)
	}
	method := http.MethodPut
	if c.Patch {
		method = http.MethodPatch
	}
	return c.print(method, "/manifest"+query, raw)
}

// readInput reads a file, or standard input if it is named -.
func readFileOrStdin(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}

type showCmd struct{ target }

// Run prints a configuration.
func (c showCmd) Run() error { return c.print(http.MethodGet, "/manifest", nil) }
