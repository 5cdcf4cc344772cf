// Package fit fits a curve to values measured at a few sizes, to extrapolate the values to other sizes.
// The curve is constant, linear or quadratic, and is fitted by weighted least squares.
package fit

import (
	"fmt"
	"math"
)

// Point is a value Y that was measured at size X.
type Point struct{ X, Y float64 }

// Curve is Y = Intercept + Coefficient·X^Exponent. Invariants: neither Intercept nor Coefficient is
// negative, so the value does not decrease as the size grows; Exponent is 0, 1 or 2.
type Curve struct {
	Exponent         float64 `json:"power"`
	Intercept        float64 `json:"a"`
	Coefficient      float64 `json:"b"`
	MaxRelativeError float64 `json:"off"`  // largest error of a point, relative to the curve's value
	MinSize          float64 `json:"from"` // smallest measured size
	MaxSize          float64 `json:"to"`   // largest measured size
	PointCount       int     `json:"n"`
}

// ValueAt returns the curve's value at a size.
func (c Curve) ValueAt(x float64) float64 { return c.Intercept + c.Coefficient*math.Pow(x, c.Exponent) }

// Slope returns the curve's derivative at a size: approximately how much the value grows when the size
// grows by 1.
func (c Curve) Slope(x float64) float64 {
	if c.Exponent == 0 {
		return 0
	}
	return c.Coefficient * c.Exponent * math.Pow(x, c.Exponent-1)
}

// Formula formats the curve as a formula in n, the size.
func (c Curve) Formula() string {
	switch c.Exponent {
	case 0:
		return fmt.Sprintf("%.3g", c.Intercept)
	case 1:
		return fmt.Sprintf("%.3g + %.3g·n", c.Intercept, c.Coefficient)
	}
	return fmt.Sprintf("%.3g + %.3g·n²", c.Intercept, c.Coefficient)
}

// MinPoints is the minimum number of points for a fit.
const MinPoints = 4

// forms lists the candidate exponents, beginning with the simplest. A form replaces the best simpler
// form only if the error is less than maxErrorRatio times the error of the simpler form.
var forms = []struct{ exponent, maxErrorRatio float64 }{{0, 1}, {1, 0.75}, {2, 0.5}}

// BestCurve fits every form and returns the simplest curve that no more complex form fits clearly better.
// The second result is false if there are fewer than MinPoints points.
func BestCurve(points []Point) (Curve, bool) {
	if len(points) < MinPoints {
		return Curve{}, false
	}
	best := fitExponent(points, forms[0].exponent)
	for _, form := range forms[1:] {
		candidate := fitExponent(points, form.exponent)
		if candidate.relativeRMS(points) < form.maxErrorRatio*best.relativeRMS(points) {
			best = candidate
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

// weights returns a weight for each point: the inverse square of the point's expected value, so that
// relative errors count equally at all sizes. Expected values below a tenth of the highest expected
// value are raised to that tenth. Otherwise a value of zero, which was too small to be measured, would
// dominate the fit.
func weights(points []Point, expected func(Point) float64) []float64 {
	highest := 0.0
	for _, p := range points {
		highest = max(highest, expected(p))
	}
	weightByPoint := make([]float64, len(points))
	for i, p := range points {
		y := max(expected(p), highest/10, minExpectedValue)
		weightByPoint[i] = 1 / (y * y)
	}
	return weightByPoint
}

// minExpectedValue keeps weights finite when all values are zero.
const minExpectedValue = 1e-9

func measuredValue(p Point) float64 { return p.Y }

// reweightingRounds is the number of times that a curve is fitted again with weights computed from the
// curve's own values. Weights computed only from the measured values would pull the curve toward points
// that happen to be low.
const reweightingRounds = 4

// fitExponent fits a curve with the given exponent by iteratively reweighted least squares.
func fitExponent(points []Point, exponent float64) Curve {
	curve := leastSquares(points, exponent, weights(points, measuredValue))
	for range reweightingRounds {
		curve = leastSquares(points, exponent, weights(points, func(p Point) float64 { return curve.ValueAt(p.X) }))
	}
	return curve
}

// leastSquares fits a curve with the given exponent by weighted linear least squares. The curve is
// constant if the values do not grow, and goes through the origin if the intercept would be negative.
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
	curve := Curve{Exponent: exponent, Intercept: (wy*wxx - wx*wxy) / determinant, Coefficient: (w*wxy - wx*wy) / determinant}
	switch {
	case curve.Coefficient <= 0:
		return flat
	case curve.Intercept < 0:
		curve.Intercept, curve.Coefficient = 0, wxy/wxx
	}
	return curve
}

// relativeRMS returns the root mean square of the relative errors plus a small constant. With the
// constant, BestCurve prefers the simpler of two forms that both fit almost perfectly.
func (c Curve) relativeRMS(points []Point) (sum float64) {
	for i, w := range weights(points, measuredValue) {
		d := c.ValueAt(points[i].X) - points[i].Y
		sum += d * d * w
	}
	return math.Sqrt(sum/float64(len(points))) + 1e-3
}
