package report

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/wcharczuk/go-chart/v2"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/capacity/run"
)

// Figures is the file of what was measured, Text that of the tables.
const (
	FiguresFile = "capacity.json"
	TablesFile  = "tables.md"
)

// ReadResult reads an earlier run's figures.
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

// Write writes figures, tables and plots into a folder and gives the tables.
func Write(result *run.Result, dir string) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", failure.Wrap(err, failure.Internal, "folder")
	}
	raw, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return "", failure.Wrap(err, failure.Internal, "figures")
	}
	text := Tables(result)
	files := map[string][]byte{FiguresFile: append(raw, '\n'), TablesFile: []byte(text)}
	rows := Rows(result)
	for _, p := range plots {
		svg, err := p.draw(result, rows)
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

// plot is figures of one unit in one picture; the lines run on to the size asked about.
type plot struct {
	file, title string
	series      [][3]string // load, name, shown as
}

var plots = []plot{
	{"processor", "processor cores", [][3]string{{"steady", "core/busiest/processor cores", "busiest core"}, {"steady", "core/all/processor cores", "core, mean"}, {"steady", "sidecar/all/processor cores", "sidecar"}}},
	{"messages", "messages a second at each core", [][3]string{{"steady", "core/all/messages a second", "all"}, {"steady", "core/leases/messages a second", "leases"}, {"steady", "core/registry/messages a second", "registry"}}},
	{"bytes", "bytes a second", [][3]string{{"steady", "sidecar/all/bytes a second", "sidecar"}}},
	{"memory", "bytes of memory", [][3]string{{"steady", "core/all/memory", "core"}, {"steady", "sidecar/all/memory", "sidecar"}}},
	{"times", "seconds until known to all", [][3]string{{"leave", "mesh/known to all/seconds", "an endpoint leaves"}, {"changes", "mesh/known to all/seconds", "a change"}, {"manifest", "mesh/known to all/seconds", "a whole manifest"},
		{"restart", "mesh/known to all/seconds", "restarts"}, {"zone back", "mesh/known to all/seconds", "a zone back"}, {"apart", "mesh/known to all/seconds", "regions joined"}, {"start", "mesh/known to all/seconds", "all start at once"}}},
}

const lineSteps = 40

func (p plot) draw(result *run.Result, rows []Row) ([]byte, error) {
	picture := chart.Chart{Title: p.title, Width: 760, Height: 420, Background: chart.Style{Padding: chart.Box{Top: 50, Left: 20, Right: 20, Bottom: 20}}, XAxis: chart.XAxis{Name: "nodes"}, YAxis: chart.YAxis{Name: p.title, ValueFormatter: func(v any) string {
		if f, ok := v.(float64); ok {
			return formatNumber(f)
		}
		return ""
	}}}
	for i, series := range p.series {
		r, ok := findRow(rows, series[0], series[1])
		if !ok {
			continue
		}
		color := chart.GetDefaultColor(i)
		dots := chart.ContinuousSeries{Name: series[2], Style: chart.Style{StrokeWidth: chart.Disabled, DotWidth: 4, DotColor: color, StrokeColor: color}}
		for _, point := range r.Points {
			dots.XValues, dots.YValues = append(dots.XValues, point.X), append(dots.YValues, point.Y)
		}
		line := chart.ContinuousSeries{Name: series[2] + ", line", Style: chart.Style{StrokeColor: color, StrokeWidth: 1}}
		to := max(float64(result.Target.Nodes), r.Line.MaxSize)
		for k := range lineSteps + 1 {
			x := r.Line.MinSize + (to-r.Line.MinSize)*float64(k)/lineSteps
			line.XValues, line.YValues = append(line.XValues, x), append(line.YValues, r.Line.ValueAt(x))
		}
		picture.Series = append(picture.Series, dots, line)
	}
	if len(picture.Series) == 0 {
		return nil, nil
	}
	highest := 0.0
	for _, s := range picture.Series {
		for _, y := range s.(chart.ContinuousSeries).YValues {
			highest = max(highest, y)
		}
	}
	if highest <= 0 {
		return nil, nil // there is nothing to see
	}
	picture.YAxis.Range = &chart.ContinuousRange{Min: 0, Max: highest * 1.05}
	picture.Elements = []chart.Renderable{chart.LegendThin(&picture)}
	var out bytes.Buffer
	if err := picture.Render(chart.SVG, &out); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Begin and End mark where a page holds the tables.
const (
	BeginMark = "<!-- capacity: begin -->"
	EndMark   = "<!-- capacity: end -->"
)

// UpdatePage puts the tables between the marks of a page.
func UpdatePage(file, text string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return failure.New(failure.BadSettings, "%v", err)
	}
	head, rest, hasBegin := strings.Cut(string(raw), BeginMark)
	_, tail, hasEnd := strings.Cut(rest, EndMark)
	if !hasBegin || !hasEnd {
		return failure.New(failure.BadSettings, "%s has no marks %s and %s", file, BeginMark, EndMark)
	}
	if err := os.WriteFile(file, []byte(head+BeginMark+"\n"+text+EndMark+tail), 0o644); err != nil {
		return failure.Wrap(err, failure.Internal, "page")
	}
	return nil
}
