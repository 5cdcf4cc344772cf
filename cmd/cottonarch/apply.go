package main

import (
	"fmt"
	"io"
	"net/http"
	"os"

	"cottonarch.example/cottonarch/base/failure"
)

// applyCmd applies a configuration or a patch.
type applyCmd struct {
	target
	Patch bool   `aliases:"part" help:"The file is a patch, merged into the newest configuration; null removes a field."`
	Base  *int64 `help:"Revision that the change builds on; any other revision is a conflict."`
	File  string `arg:"" help:"Configuration file, - for standard input."`
}

// Run sends the configuration or patch to the core and prints the response.
func (c applyCmd) Run() error {
	raw, err := readFileOrStdin(c.File)
	if err != nil {
		return failure.Wrap(err, failure.Malformed, "can't read the configuration")
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

// readFileOrStdin reads a file, or standard input if the name of the file is -.
func readFileOrStdin(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}

// showCmd shows the configuration of a core or a sidecar.
type showCmd struct{ target }

// Run fetches and prints the configuration.
func (c showCmd) Run() error { return c.print(http.MethodGet, "/manifest", nil) }
