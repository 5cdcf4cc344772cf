// Package fit draws a line through what was measured at a few sizes and says what it
// gives at another.
package fit

import (
	"fmt"
	"math"
)

// Point is one measured figure at a size.
type Point struct{ X, Y float64 }

// Line is Y = A + B·X^Power. Invariants: A and B are not below nought, so that no figure
// falls with the size; Power is 0 (no growth), 1 or 2.
type Line struct {
	Exponent         float64 `json:"power"`
	Intercept        float64 `json:"a"`
	Coefficient      float64 `json:"b"`
	MaxRelativeError float64 `json:"off"`  // farthest point from the line, as a part of it
	MinSize          float64 `json:"from"` // smallest and
	MaxSize          float64 `json:"to"`   // largest size measured
	PointCount       int     `json:"n"`
}

// ValueAt gives the figure at a size.
func (l Line) ValueAt(x float64) float64 { return l.Intercept + l.Coefficient*math.Pow(x, l.Exponent) }

// Slope is how much one more adds at a size.
func (l Line) Slope(x float64) float64 {
	if l.Exponent == 0 {
		return 0
	}
	return l.Coefficient * l.Exponent * math.Pow(x, l.Exponent-1)
}

// Formula shows the form.
func (l Line) Formula() string {
	switch l.Exponent {
	case 0:
		return fmt.Sprintf("%.3g", l.Intercept)
	case 1:
		return fmt.Sprintf("%.3g + %.3g·n", l.Intercept, l.Coefficient)
	}
	return fmt.Sprintf("%.3g + %.3g·n²", l.Intercept, l.Coefficient)
}

// MinPoints is how many sizes a line needs.
const MinPoints = 4

// BestLine fits no growth, growth with the size and growth with its square, by least squares
// of the parts by which the points are off, and keeps the simplest of which no other is
// nearer by a quarter, or for the square by half. It is false when there are fewer sizes than Enough.
func BestLine(points []Point) (Line, bool) {
	if len(points) < MinPoints {
		return Line{}, false
	}
	var best Line
	found := false
	for _, form := range []struct{ power, nearer float64 }{{0, 1}, {1, 0.75}, {2, 0.5}} {
		l := fitExponent(points, form.power)
		if !found || l.relativeRMS(points) < form.nearer*best.relativeRMS(points) {
			best, found = l, true
		}
	}
	best.PointCount, best.MinSize, best.MaxSize = len(points), points[0].X, points[0].X
	for _, p := range points {
		best.MinSize, best.MaxSize = min(best.MinSize, p.X), max(best.MaxSize, p.X)
		if expected := best.ValueAt(p.X); expected > 0 {
			best.MaxRelativeError = max(best.MaxRelativeError, math.Abs(p.Y-expected)/expected)
		}
	}
	return best, true
}

// weights gives each point the weight of a part, not of an amount: of what the line
// gives there, or of the point itself before there is one. A point far below the highest
// weighs no more than one of a tenth of it, so that a figure of nought, which is below
// what can be told, does not draw the line to itself.
func weights(points []Point, expected func(Point) float64) []float64 {
	highest := 0.0
	for _, p := range points {
		highest = max(highest, expected(p))
	}
	out := make([]float64, len(points))
	for i, p := range points {
		y := max(expected(p), highest/10, 1e-9)
		out[i] = 1 / (y * y)
	}
	return out
}

func measuredValue(p Point) float64 { return p.Y }

// reweightingRounds is how often a line is drawn anew with the weights that it gives itself; without
// that, points that happen to be low would draw it down.
const reweightingRounds = 4

func fitExponent(points []Point, exponent float64) Line {
	l := leastSquares(points, exponent, weights(points, measuredValue))
	for range reweightingRounds {
		l = leastSquares(points, exponent, weights(points, func(p Point) float64 { return l.ValueAt(p.X) }))
	}
	return l
}

func leastSquares(points []Point, exponent float64, pointWeights []float64) Line {
	var w, wx, wy, wxx, wxy float64
	for i, p := range points {
		weight, x := pointWeights[i], math.Pow(p.X, exponent)
		w, wx, wy, wxx, wxy = w+weight, wx+weight*x, wy+weight*p.Y, wxx+weight*x*x, wxy+weight*x*p.Y
	}
	flat := Line{Exponent: 0, Intercept: wy / w}
	if exponent == 0 {
		return flat
	}
	determinant := w*wxx - wx*wx
	if determinant <= 0 {
		return flat
	}
	l := Line{Exponent: exponent, Intercept: (wy*wxx - wx*wxy) / determinant, Coefficient: (w*wxy - wx*wy) / determinant}
	switch {
	case l.Coefficient <= 0:
		return flat
	case l.Intercept < 0:
		l.Intercept, l.Coefficient = 0, wxy/wxx
	}
	return l
}

func (l Line) relativeRMS(points []Point) (sum float64) {
	for i, w := range weights(points, measuredValue) {
		d := l.ValueAt(points[i].X) - points[i].Y
		sum += d * d * w
	}
	return math.Sqrt(sum/float64(len(points))) + 1e-3
}
