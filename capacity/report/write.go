package report

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/capacity/run"
)

// Names of the files of a report. The report also has one file for each plot.
const (
	ResultFile = "capacity.json" // the run.Result
	TablesFile = "tables.md"
)

// ReadResult reads the result of an earlier run.
func ReadResult(file string) (*run.Result, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, failure.New(failure.BadSettings, "read a result file: %v", err)
	}
	result := &run.Result{}
	if err := json.Unmarshal(raw, result); err != nil {
		return nil, failure.New(failure.BadSettings, "decode the result file %s: %v", file, err)
	}
	return result, nil
}

// Write writes the result, the tables and the plots into a folder and returns the text of the tables.
func Write(result *run.Result, dir string) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", failure.Wrap(err, failure.Internal, "create the folder of the report")
	}
	raw, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return "", failure.Wrap(err, failure.Internal, "encode the result")
	}
	text := Tables(result)
	files := map[string][]byte{ResultFile: append(raw, '\n'), TablesFile: []byte(text)}
	rows := Rows(result)
	for _, p := range plots {
		svg, err := p.renderSVG(result, rows)
		if err != nil {
			return "", failure.Wrap(err, failure.Internal, "render the plot "+p.file)
		}
		if svg != nil {
			files[p.file+".svg"] = svg
		}
	}
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o644); err != nil {
			return "", failure.Wrap(err, failure.Internal, "write a file of the report")
		}
	}
	return text, nil
}

// Markers in a page, which enclose the tables.
const (
	BeginMarker = "<!-- capacity: begin -->"
	EndMarker   = "<!-- capacity: end -->"
)

// UpdatePage replaces the tables between the markers of a page.
func UpdatePage(file, text string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return failure.New(failure.BadSettings, "read the page: %v", err)
	}
	head, rest, hasBegin := strings.Cut(string(raw), BeginMarker)
	_, tail, hasEnd := strings.Cut(rest, EndMarker)
	if !hasBegin || !hasEnd {
		return failure.New(failure.BadSettings, "the page %s does not have the markers %s and %s", file, BeginMarker, EndMarker)
	}
	if err := os.WriteFile(file, []byte(head+BeginMarker+"\n"+text+EndMarker+tail), 0o644); err != nil {
		return failure.Wrap(err, failure.Internal, "write the page")
	}
	return nil
}
