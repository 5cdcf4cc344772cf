package report

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/wcharczuk/go-chart/v2"

	"cottonarch.example/cottonarch/capacity/run"
	"cottonarch.example/cottonarch/kernel/failure"
)

// Figures is the file of what was measured, Text that of the tables.
const (
	Figures = "capacity.json"
	Text    = "tables.md"
)

// Load reads an earlier run's figures.
func Load(file string) (*run.Result, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, failure.New(failure.BadSettings, "%v", err)
	}
	res := &run.Result{}
	if err := json.Unmarshal(raw, res); err != nil {
		return nil, failure.New(failure.BadSettings, "%s: %v", file, err)
	}
	return res, nil
}

// Write writes figures, tables and plots into a folder and gives the tables.
func Write(res *run.Result, dir string) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", failure.Wrap(err, failure.Internal, "folder")
	}
	raw, err := json.MarshalIndent(res, "", " ")
	if err != nil {
		return "", failure.Wrap(err, failure.Internal, "figures")
	}
	text := Tables(res)
	put := map[string][]byte{Figures: append(raw, '\n'), Text: []byte(text)}
	rows := Rows(res)
	for _, p := range plots {
		svg, err := p.draw(res, rows)
		if err != nil {
			return "", failure.Wrap(err, failure.Internal, "plot "+p.file)
		}
		if svg != nil {
			put[p.file+".svg"] = svg
		}
	}
	for name, data := range put {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o644); err != nil {
			return "", failure.Wrap(err, failure.Internal, "write")
		}
	}
	return text, nil
}

// plot is figures of one unit in one picture; the lines run on to the size asked about.
type plot struct {
	file, title string
	rows        [][3]string // load, name, shown as
}

var plots = []plot{
	{"processor", "processor cores", [][3]string{{"steady", "core/busiest/processor cores", "busiest core"}, {"steady", "core/all/processor cores", "core, mean"}, {"steady", "sidecar/all/processor cores", "sidecar"}}},
	{"messages", "messages a second at each core", [][3]string{{"steady", "core/all/messages a second", "all"}, {"steady", "core/leases/messages a second", "leases"}, {"steady", "core/registry/messages a second", "registry"}}},
	{"bytes", "bytes a second", [][3]string{{"steady", "sidecar/all/bytes a second", "sidecar"}}},
	{"memory", "bytes of memory", [][3]string{{"steady", "core/all/memory", "core"}, {"steady", "sidecar/all/memory", "sidecar"}}},
	{"times", "seconds until known to all", [][3]string{{"leave", "mesh/known to all/seconds", "an endpoint leaves"}, {"changes", "mesh/known to all/seconds", "a change"}, {"manifest", "mesh/known to all/seconds", "a whole manifest"},
		{"restart", "mesh/known to all/seconds", "restarts"}, {"zone back", "mesh/known to all/seconds", "a zone back"}, {"apart", "mesh/known to all/seconds", "regions joined"}, {"start", "mesh/known to all/seconds", "all start at once"}}},
}

const steps = 40

func (p plot) draw(res *run.Result, rows []Row) ([]byte, error) {
	c := chart.Chart{Title: p.title, Width: 760, Height: 420, Background: chart.Style{Padding: chart.Box{Top: 50, Left: 20, Right: 20, Bottom: 20}}, XAxis: chart.XAxis{Name: "nodes"}, YAxis: chart.YAxis{Name: p.title, ValueFormatter: func(v any) string {
		if f, ok := v.(float64); ok {
			return num(f)
		}
		return ""
	}}}
	for i, want := range p.rows {
		r, ok := find(rows, want[0], want[1])
		if !ok {
			continue
		}
		color := chart.GetDefaultColor(i)
		dots := chart.ContinuousSeries{Name: want[2], Style: chart.Style{StrokeWidth: chart.Disabled, DotWidth: 4, DotColor: color, StrokeColor: color}}
		for _, at := range r.Points {
			dots.XValues, dots.YValues = append(dots.XValues, at.X), append(dots.YValues, at.Y)
		}
		line := chart.ContinuousSeries{Name: want[2] + ", line", Style: chart.Style{StrokeColor: color, StrokeWidth: 1}}
		to := max(float64(res.Target.Nodes), r.Line.To)
		for k := range steps + 1 {
			x := r.Line.From + (to-r.Line.From)*float64(k)/steps
			line.XValues, line.YValues = append(line.XValues, x), append(line.YValues, r.Line.At(x))
		}
		c.Series = append(c.Series, dots, line)
	}
	if len(c.Series) == 0 {
		return nil, nil
	}
	top := 0.0
	for _, s := range c.Series {
		for _, y := range s.(chart.ContinuousSeries).YValues {
			top = max(top, y)
		}
	}
	if top <= 0 {
		return nil, nil // there is nothing to see
	}
	c.YAxis.Range = &chart.ContinuousRange{Min: 0, Max: top * 1.05}
	c.Elements = []chart.Renderable{chart.LegendThin(&c)}
	var out bytes.Buffer
	if err := c.Render(chart.SVG, &out); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Begin and End mark where a page holds the tables.
const (
	Begin = "<!-- capacity: begin -->"
	End   = "<!-- capacity: end -->"
)

// Page puts the tables between the marks of a page.
func Page(file, text string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return failure.New(failure.BadSettings, "%v", err)
	}
	head, rest, a := strings.Cut(string(raw), Begin)
	_, tail, b := strings.Cut(rest, End)
	if !a || !b {
		return failure.New(failure.BadSettings, "%s has no marks %s and %s", file, Begin, End)
	}
	if err := os.WriteFile(file, []byte(head+Begin+"\n"+text+End+tail), 0o644); err != nil {
		return failure.Wrap(err, failure.Internal, "page")
	}
	return nil
}
