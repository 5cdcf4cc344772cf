// Package fit fits a curve through what was measured at a few sizes, to extrapolate it to
// another size: weighted least squares over the forms constant, linear and quadratic.
package fit

import (
	"fmt"
	"math"
)

// Point is a figure Y that was measured at the size X.
type Point struct{ X, Y float64 }

// Curve is Y = Intercept + Coefficient·X^Exponent. Invariants: neither Intercept nor
// Coefficient is negative, so that no figure falls as the size grows; Exponent is 0, 1 or 2.
type Curve struct {
	Exponent         float64 `json:"power"`
	Intercept        float64 `json:"a"`
	Coefficient      float64 `json:"b"`
	MaxRelativeError float64 `json:"off"`  // of the farthest point, as a part of the line's value
	MinSize          float64 `json:"from"` // smallest size measured
	MaxSize          float64 `json:"to"`   // largest size measured
	PointCount       int     `json:"n"`
}

// ValueAt is the line's figure at a size.
func (l Curve) ValueAt(x float64) float64 { return l.Intercept + l.Coefficient*math.Pow(x, l.Exponent) }

// Slope is the line's derivative at a size: what one more adds.
func (l Curve) Slope(x float64) float64 {
	if l.Exponent == 0 {
		return 0
	}
	return l.Coefficient * l.Exponent * math.Pow(x, l.Exponent-1)
}

// Formula shows the line as text, with n for the size.
func (l Curve) Formula() string {
	switch l.Exponent {
	case 0:
		return fmt.Sprintf("%.3g", l.Intercept)
	case 1:
		return fmt.Sprintf("%.3g + %.3g·n", l.Intercept, l.Coefficient)
	}
	return fmt.Sprintf("%.3g + %.3g·n²", l.Intercept, l.Coefficient)
}

// MinPoints is how many sizes a fit needs.
const MinPoints = 4

// forms are the exponents to choose from, the simplest first. A form is taken only if its
// error is below maxErrorRatio times that of the best simpler one.
var forms = []struct{ exponent, maxErrorRatio float64 }{{0, 1}, {1, 0.75}, {2, 0.5}}

// BestCurve fits every form and chooses the simplest that no more complex one is clearly
// better than. It is false when there are fewer points than MinPoints.
func BestCurve(points []Point) (Curve, bool) {
	if len(points) < MinPoints {
		return Curve{}, false
	}
	best := fitExponent(points, forms[0].exponent)
	for _, form := range forms[1:] {
		line := fitExponent(points, form.exponent)
		if line.relativeRMS(points) < form.maxErrorRatio*best.relativeRMS(points) {
			best = line
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

// weights weighs each point by the inverse square of what is expected there, so that relative
// errors count alike at all sizes. A point far below the highest weighs no more than one of a
// tenth of it: a figure of zero, which was too small to be measured, must not dominate.
func weights(points []Point, expected func(Point) float64) []float64 {
	highest := 0.0
	for _, p := range points {
		highest = max(highest, expected(p))
	}
	out := make([]float64, len(points))
	for i, p := range points {
		y := max(expected(p), highest/10, smallestValue)
		out[i] = 1 / (y * y)
	}
	return out
}

// smallestValue keeps weights finite when all figures are zero.
const smallestValue = 1e-9

func measuredValue(p Point) float64 { return p.Y }

// reweightingRounds is how often a line is fitted anew with the weights that its own values
// give; without that, points that happen to be low would draw it down.
const reweightingRounds = 4

// fitExponent fits a line with the given exponent by iteratively reweighted least squares.
func fitExponent(points []Point, exponent float64) Curve {
	l := leastSquares(points, exponent, weights(points, measuredValue))
	for range reweightingRounds {
		l = leastSquares(points, exponent, weights(points, func(p Point) float64 { return l.ValueAt(p.X) }))
	}
	return l
}

// leastSquares fits a line with the given exponent by weighted linear least squares. It gives
// a constant where the figures do not grow, and a line through the origin where the intercept
// would be negative.
func leastSquares(points []Point, exponent float64, pointWeights []float64) Curve {
	var w, wx, wy, wxx, wxy float64
	for i, p := range points {
		weight, x := pointWeights[i], math.Pow(p.X, exponent)
		w, wx, wy, wxx, wxy = w+weight, wx+weight*x, wy+weight*p.Y, wxx+weight*x*x, wxy+weight*x*p.Y
	}
	flat := Curve{Exponent: 0, Intercept: wy / w}
	if exponent == 0 {
		return flat
	}
	determinant := w*wxx - wx*wx
	if determinant <= 0 {
		return flat
	}
	l := Curve{Exponent: exponent, Intercept: (wy*wxx - wx*wxy) / determinant, Coefficient: (w*wxy - wx*wy) / determinant}
	switch {
	case l.Coefficient <= 0:
		return flat
	case l.Intercept < 0:
		l.Intercept, l.Coefficient = 0, wxy/wxx
	}
	return l
}

// relativeRMS is the root of the mean square of the relative errors. A small constant is
// added, so that of two forms that both fit almost perfectly the simpler is taken.
func (l Curve) relativeRMS(points []Point) (sum float64) {
	for i, w := range weights(points, measuredValue) {
		d := l.ValueAt(points[i].X) - points[i].Y
		sum += d * d * w
	}
	return math.Sqrt(sum/float64(len(points))) + 1e-3
}
