package report

import (
	"bytes"

	"github.com/wcharczuk/go-chart/v2"

	"cottonarch.example/cottonarch/capacity/run"
)

// plotSeries identifies a row that a plot shows, and the label of the row.
type plotSeries struct{ workload, name, label string }

// plot describes one chart with metrics of the same unit. The curves extend to the size of the target.
type plot struct {
	file   string // name without the extension
	title  string
	series []plotSeries
}

// convergenceTime is the name of the metric of the time until all nodes know of an event.
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
	{"times", "convergence time in seconds", []plotSeries{
		{"leave", convergenceTime, "endpoint leaves"},
		{"changes", convergenceTime, "route change"},
		{"manifest", convergenceTime, "whole configuration"},
		{"restart", convergenceTime, "restarts"},
		{"zone back", convergenceTime, "zone recovers"},
		{"apart", convergenceTime, "partition heals"},
		{"start", convergenceTime, "all nodes restart"},
	}},
}

// Appearance of plots. Lengths are in pixels.
const (
	plotWidth     = 760
	plotHeight    = 420
	titlePadding  = 50
	edgePadding   = 20
	dotWidth      = 4
	curveSegments = 40   // segments of each drawn curve
	yAxisHeadroom = 1.05 // maximum of the y axis, relative to the highest value
)

// renderSVG renders the plot as SVG. It returns nil if the plot has no value above zero.
func (p plot) renderSVG(result *run.Result, rows []Row) ([]byte, error) {
	var renderedSeries []chart.Series
	maxY := 0.0
	for i, s := range p.series {
		row, ok := findRow(rows, s.workload, s.name)
		if !ok {
			continue
		}
		dots, curve := row.chartSeries(s.label, i, float64(result.Target.Nodes))
		for _, y := range append(append([]float64{}, dots.YValues...), curve.YValues...) {
			maxY = max(maxY, y)
		}
		renderedSeries = append(renderedSeries, dots, curve)
	}
	if maxY <= 0 {
		return nil, nil
	}
	picture := chart.Chart{
		Title:      p.title,
		Width:      plotWidth,
		Height:     plotHeight,
		Background: chart.Style{Padding: chart.Box{Top: titlePadding, Left: edgePadding, Right: edgePadding, Bottom: edgePadding}},
		XAxis:      chart.XAxis{Name: "nodes"},
		YAxis:      chart.YAxis{Name: p.title, ValueFormatter: formatAxis, Range: &chart.ContinuousRange{Min: 0, Max: maxY * yAxisHeadroom}},
		Series:     renderedSeries,
	}
	picture.Elements = []chart.Renderable{chart.LegendThin(&picture)}
	var out bytes.Buffer
	if err := picture.Render(chart.SVG, &out); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// formatAxis formats a value on the y axis.
func formatAxis(value any) string {
	if number, ok := value.(float64); ok {
		return formatNumber(number)
	}
	return ""
}

// chartSeries returns the measured points as dots, and the fitted curve up to the size of the target.
func (r Row) chartSeries(label string, colorIndex int, targetNodes float64) (dots, curve chart.ContinuousSeries) {
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
	curve = chart.ContinuousSeries{Name: label + ", line", Style: chart.Style{StrokeColor: color, StrokeWidth: 1}}
	maxX := max(targetNodes, r.Curve.MaxSize)
	for step := range curveSegments + 1 {
		x := r.Curve.MinSize + (maxX-r.Curve.MinSize)*float64(step)/curveSegments
		curve.XValues, curve.YValues = append(curve.XValues, x), append(curve.YValues, r.Curve.ValueAt(x))
	}
	return dots, curve
}
