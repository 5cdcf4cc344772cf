package report

import (
	"bytes"

	"github.com/wcharczuk/go-chart/v2"

	"cottonarch.example/cottonarch/capacity/run"
)

// plotSeries is a row in a plot.
type plotSeries struct{ workload, name, label string }

// plot is figures of one unit in one picture; the lines run on to the target's size.
type plot struct {
	file   string // without its suffix
	title  string
	series []plotSeries
}

const convergenceTime = "mesh/known to all/seconds"

var plots = []plot{
	{"processor", "processor cores", []plotSeries{
		{"steady", "core/busiest/processor cores", "busiest core"},
		{"steady", "core/all/processor cores", "core, mean"},
		{"steady", "sidecar/all/processor cores", "sidecar"},
	}},
	{"messages", "messages a second at each core", []plotSeries{
		{"steady", "core/all/messages a second", "all"},
		{"steady", "core/leases/messages a second", "leases"},
		{"steady", "core/registry/messages a second", "registry"},
	}},
	{"bytes", "bytes a second", []plotSeries{
		{"steady", "sidecar/all/bytes a second", "sidecar"},
	}},
	{"memory", "bytes of memory", []plotSeries{
		{"steady", "core/all/memory", "core"},
		{"steady", "sidecar/all/memory", "sidecar"},
	}},
	{"times", "seconds until known to all", []plotSeries{
		{"leave", convergenceTime, "an endpoint leaves"},
		{"changes", convergenceTime, "a change"},
		{"manifest", convergenceTime, "a whole configuration"},
		{"restart", convergenceTime, "restarts"},
		{"zone back", convergenceTime, "a zone back"},
		{"apart", convergenceTime, "regions joined"},
		{"start", convergenceTime, "all start at once"},
	}},
}

// Appearance of plots, in pixels.
const (
	plotWidth     = 760
	plotHeight    = 420
	titlePadding  = 50
	edgePadding   = 20
	dotWidth      = 4
	lineSegments  = 40   // points that a line is drawn by
	yAxisHeadroom = 1.05 // height of the axis, times the highest value
)

// renderSVG draws the plot as SVG; nil when there is nothing to see.
func (p plot) renderSVG(result *run.Result, rows []Row) ([]byte, error) {
	var chartSeries []chart.Series
	highest := 0.0
	for i, s := range p.series {
		row, ok := findRow(rows, s.workload, s.name)
		if !ok {
			continue
		}
		dots, line := row.chartSeries(s.label, i, float64(result.Target.Nodes))
		for _, y := range append(append([]float64{}, dots.YValues...), line.YValues...) {
			highest = max(highest, y)
		}
		chartSeries = append(chartSeries, dots, line)
	}
	if highest <= 0 {
		return nil, nil
	}
	picture := chart.Chart{
		Title:      p.title,
		Width:      plotWidth,
		Height:     plotHeight,
		Background: chart.Style{Padding: chart.Box{Top: titlePadding, Left: edgePadding, Right: edgePadding, Bottom: edgePadding}},
		XAxis:      chart.XAxis{Name: "nodes"},
		YAxis:      chart.YAxis{Name: p.title, ValueFormatter: formatAxis, Range: &chart.ContinuousRange{Min: 0, Max: highest * yAxisHeadroom}},
		Series:     chartSeries,
	}
	picture.Elements = []chart.Renderable{chart.LegendThin(&picture)}
	var out bytes.Buffer
	if err := picture.Render(chart.SVG, &out); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func formatAxis(value any) string {
	if number, ok := value.(float64); ok {
		return formatNumber(number)
	}
	return ""
}

// chartSeries gives what was measured as dots and the fit as a line up to the target's size.
func (r Row) chartSeries(label string, colorIndex int, targetNodes float64) (dots, line chart.ContinuousSeries) {
	color := chart.GetDefaultColor(colorIndex)
	dots = chart.ContinuousSeries{Name: label, Style: chart.Style{
		StrokeWidth: chart.Disabled,
		DotWidth:    dotWidth,
		DotColor:    color,
		StrokeColor: color,
	}}
	for _, point := range r.Points {
		dots.XValues, dots.YValues = append(dots.XValues, point.X), append(dots.YValues, point.Y)
	}
	line = chart.ContinuousSeries{Name: label + ", line", Style: chart.Style{StrokeColor: color, StrokeWidth: 1}}
	end := max(targetNodes, r.Line.MaxSize)
	for step := range lineSegments + 1 {
		x := r.Line.MinSize + (end-r.Line.MinSize)*float64(step)/lineSegments
		line.XValues, line.YValues = append(line.XValues, x), append(line.YValues, r.Line.ValueAt(x))
	}
	return dots, line
}
