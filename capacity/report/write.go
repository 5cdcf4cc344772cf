package report

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/capacity/run"
)

// Files of a report, besides its plots.
const (
	ResultFile = "capacity.json" // what was measured
	TablesFile = "tables.md"
)

// ReadResult reads the figures of an earlier run.
func ReadResult(file string) (*run.Result, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, failure.New(failure.BadSettings, "%v", err)
	}
	result := &run.Result{}
	if err := json.Unmarshal(raw, result); err != nil {
		return nil, failure.New(failure.BadSettings, "%s: %v", file, err)
	}
	return result, nil
}

// Write writes figures, tables and plots into a folder and returns the tables.
func Write(result *run.Result, dir string) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", failure.Wrap(err, failure.Internal, "folder")
	}
	raw, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return "", failure.Wrap(err, failure.Internal, "figures")
	}
	text := Tables(result)
	files := map[string][]byte{ResultFile: append(raw, '\n'), TablesFile: []byte(text)}
	rows := Rows(result)
	for _, p := range plots {
		svg, err := p.renderSVG(result, rows)
		if err != nil {
			return "", failure.Wrap(err, failure.Internal, "plot "+p.file)
		}
		if svg != nil {
			files[p.file+".svg"] = svg
		}
	}
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o644); err != nil {
			return "", failure.Wrap(err, failure.Internal, "write")
		}
	}
	return text, nil
}

// Markers in a page; its tables stand between them.
const (
	BeginMarker = "<!-- capacity: begin -->"
	EndMarker   = "<!-- capacity: end -->"
)

// UpdatePage replaces the tables between the markers of a page.
func UpdatePage(file, text string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return failure.New(failure.BadSettings, "%v", err)
	}
	head, rest, hasBegin := strings.Cut(string(raw), BeginMarker)
	_, tail, hasEnd := strings.Cut(rest, EndMarker)
	if !hasBegin || !hasEnd {
		return failure.New(failure.BadSettings, "%s has no markers %s and %s", file, BeginMarker, EndMarker)
	}
	if err := os.WriteFile(file, []byte(head+BeginMarker+"\n"+text+EndMarker+tail), 0o644); err != nil {
		return failure.Wrap(err, failure.Internal, "page")
	}
	return nil
}
