// Package fit draws a line through what was measured at a few sizes and says what it
// gives at another.
package fit

import (
	"fmt"
	"math"
)

// XY is one measured figure at a size.
type XY struct{ X, Y float64 }

// Line is Y = A + B·X^Power. Invariants: A and B are not below nought, so that no figure
// falls with the size; Power is 0 (no growth), 1 or 2.
type Line struct {
	Power float64 `json:"power"`
	A     float64 `json:"a"`
	B     float64 `json:"b"`
	Off   float64 `json:"off"`  // farthest point from the line, as a part of it
	From  float64 `json:"from"` // smallest and
	To    float64 `json:"to"`   // largest size measured
	N     int     `json:"n"`
}

// At gives the figure at a size.
func (l Line) At(x float64) float64 { return l.A + l.B*math.Pow(x, l.Power) }

// Slope is how much one more adds at a size.
func (l Line) Slope(x float64) float64 {
	if l.Power == 0 {
		return 0
	}
	return l.B * l.Power * math.Pow(x, l.Power-1)
}

// Text shows the form.
func (l Line) Text() string {
	switch l.Power {
	case 0:
		return fmt.Sprintf("%.3g", l.A)
	case 1:
		return fmt.Sprintf("%.3g + %.3g·n", l.A, l.B)
	}
	return fmt.Sprintf("%.3g + %.3g·n²", l.A, l.B)
}

// Enough is how many sizes a line needs.
const Enough = 4

// Draw fits no growth, growth with the size and growth with its square, by least squares
// of the parts by which the points are off, and keeps the simplest of which no other is
// nearer by a quarter, or for the square by half. It is false when there are fewer sizes than Enough.
func Draw(list []XY) (Line, bool) {
	if len(list) < Enough {
		return Line{}, false
	}
	var best Line
	found := false
	for _, form := range []struct{ power, nearer float64 }{{0, 1}, {1, 0.75}, {2, 0.5}} {
		l := draw(list, form.power)
		if !found || l.miss(list) < form.nearer*best.miss(list) {
			best, found = l, true
		}
	}
	best.N, best.From, best.To = len(list), list[0].X, list[0].X
	for _, p := range list {
		best.From, best.To = min(best.From, p.X), max(best.To, p.X)
		if at := best.At(p.X); at > 0 {
			best.Off = max(best.Off, math.Abs(p.Y-at)/at)
		}
	}
	return best, true
}

// weights gives each point the weight of a part, not of an amount: of what the line
// gives there, or of the point itself before there is one. A point far below the highest
// weighs no more than one of a tenth of it, so that a figure of nought, which is below
// what can be told, does not draw the line to itself.
func weights(list []XY, at func(XY) float64) []float64 {
	top := 0.0
	for _, p := range list {
		top = max(top, at(p))
	}
	out := make([]float64, len(list))
	for i, p := range list {
		y := max(at(p), top/10, 1e-9)
		out[i] = 1 / (y * y)
	}
	return out
}

func own(p XY) float64 { return p.Y }

// rounds is how often a line is drawn anew with the weights that it gives itself; without
// that, points that happen to be low would draw it down.
const rounds = 4

func draw(list []XY, power float64) Line {
	l := one(list, power, weights(list, own))
	for range rounds {
		l = one(list, power, weights(list, func(p XY) float64 { return l.At(p.X) }))
	}
	return l
}

func one(list []XY, power float64, weigh []float64) Line {
	var w, wx, wy, wxx, wxy float64
	for i, p := range list {
		k, x := weigh[i], math.Pow(p.X, power)
		w, wx, wy, wxx, wxy = w+k, wx+k*x, wy+k*p.Y, wxx+k*x*x, wxy+k*x*p.Y
	}
	flat := Line{Power: 0, A: wy / w}
	if power == 0 {
		return flat
	}
	det := w*wxx - wx*wx
	if det <= 0 {
		return flat
	}
	l := Line{Power: power, A: (wy*wxx - wx*wxy) / det, B: (w*wxy - wx*wy) / det}
	switch {
	case l.B <= 0:
		return flat
	case l.A < 0:
		l.A, l.B = 0, wxy/wxx
	}
	return l
}

func (l Line) miss(list []XY) (sum float64) {
	for i, w := range weights(list, own) {
		d := l.At(list[i].X) - list[i].Y
		sum += d * d * w
	}
	return math.Sqrt(sum/float64(len(list))) + 1e-3
}
