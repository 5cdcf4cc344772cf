// Package walk is the small path reader that all manifests and boot files are read
// with: maps are walked, every fault is kept with its path.
package walk

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"unicode/utf8"

	"cottonarch.example/cottonarch/kernel/failure"
)

const faultsMax = 100

// Faults gathers what is wrong. Invariant: at most faultsMax are kept, the count is
// of all; with Loose, unknown fields are no faults.
type Faults struct {
	All   []failure.Fault
	Count int
	Loose bool
}

// Add keeps one fault.
func (f *Faults) Add(path, form string, args ...any) {
	f.Count++
	if len(f.All) < faultsMax {
		f.All = append(f.All, failure.Fault{Path: path, Note: fmt.Sprintf(form, args...)})
	}
}

// Defect is nil when nothing is wrong.
func (f *Faults) Defect(kind failure.Kind) *failure.Error {
	if f.Count == 0 {
		return nil
	}
	d := failure.New(kind, "%d faults", f.Count)
	d.Faults = f.All
	return d
}

// Parse reads one JSON object, refusing anything behind it.
func Parse(raw []byte) (map[string]any, *failure.Error) {
	// A decoder would put something else in the place of bytes that are no text.
	if !utf8.Valid(raw) {
		return nil, failure.New(failure.Malformed, "not a JSON object: not in UTF-8")
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var m map[string]any
	if err := dec.Decode(&m); err != nil {
		return nil, failure.New(failure.Malformed, "not a JSON object: %v", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, failure.New(failure.Malformed, "something stands behind the JSON object")
	}
	if m == nil {
		return nil, failure.New(failure.Malformed, "not a JSON object")
	}
	return m, nil
}

// Step is one place in the tree: a field of the object at over, or, with nth above 0,
// that element of the list which the field is. Paths are put together only when they are asked for.
type Step struct {
	over, name string
	nth        int
	m          map[string]any
	f          *Faults
}

// Top begins at the root.
func Top(m map[string]any, f *Faults) Step { return Step{m: m, f: f} }

// Path is where the step stands.
func (s Step) Path() string {
	path := s.name
	if s.over != "" {
		path = s.over + "." + s.name
	}
	if s.nth > 0 {
		path = fmt.Sprintf("%s[%d]", path, s.nth-1)
	}
	return path
}

// At is the path of a field.
func (s Step) At(name string) string {
	path := s.Path()
	if path == "" {
		return name
	}
	return path + "." + name
}

// Has tells whether the field is given.
func (s Step) Has(name string) bool { _, ok := s.m[name]; return ok }

// Fault adds a fault at a field.
func (s Step) Fault(name, form string, args ...any) { s.f.Add(s.At(name), form, args...) }

// Only faults every field that is not listed, unless the reader is loose.
func (s Step) Only(names ...string) {
	if s.f.Loose {
		return
	}
	for _, name := range s.Names() {
		if !slices.Contains(names, name) {
			s.Fault(name, "unknown field")
		}
	}
}

// Names lists the fields in order.
func (s Step) Names() []string {
	out := make([]string, 0, len(s.m))
	for name := range s.m {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// All are the fields as they were given; they are not to be changed.
func (s Step) All() map[string]any { return s.m }

// Down goes into an object; an absent one is empty.
func (s Step) Down(name string) Step {
	next := Step{over: s.Path(), name: name, f: s.f}
	v, ok := s.m[name]
	if !ok {
		return next
	}
	if next.m, ok = v.(map[string]any); !ok {
		s.Fault(name, "must be an object")
	}
	return next
}

// Text reads a string.
func (s Step) Text(name, fall string) string {
	v, ok := s.m[name]
	if !ok {
		return fall
	}
	t, ok := v.(string)
	if !ok {
		s.Fault(name, "must be a string")
	}
	return t
}

// Must reads a string that has to be there.
func (s Step) Must(name string) string {
	t := s.Text(name, "")
	if _, given := s.m[name]; !given {
		s.Fault(name, "must be given")
	} else if _, is := s.m[name].(string); is && t == "" {
		s.Fault(name, "must not be empty")
	}
	return t
}

// Real reads a number within bounds.
func (s Step) Real(name string, fall, low, high float64) float64 {
	v, ok := s.m[name]
	if !ok {
		return fall
	}
	n, ok := v.(json.Number)
	if !ok {
		s.Fault(name, "must be a number")
		return fall
	}
	x, err := n.Float64()
	if err != nil || math.IsNaN(x) || x < low || x > high {
		s.Fault(name, "must be from %v to %v", low, high)
		return fall
	}
	return x
}

// Whole reads a whole number within bounds.
func (s Step) Whole(name string, fall, low, high int64) int64 {
	x := s.Real(name, float64(fall), float64(low), float64(high))
	if x != math.Trunc(x) {
		s.Fault(name, "must be a whole number")
		return fall
	}
	return int64(x)
}

// Flag reads a truth value.
func (s Step) Flag(name string, fall bool) bool {
	v, ok := s.m[name]
	if !ok {
		return fall
	}
	b, ok := v.(bool)
	if !ok {
		s.Fault(name, "must be true or false")
	}
	return b
}

// Is tells whether the field is given as a list.
func (s Step) Is(name string) (list bool) {
	_, list = s.m[name].([]any)
	return list
}

// Each goes into every object of a list; an absent list is empty.
func (s Step) Each(name string) []Step {
	v, ok := s.m[name]
	if !ok {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		s.Fault(name, "must be a list of objects")
		return nil
	}
	out, over := make([]Step, 0, len(list)), s.Path()
	for i, e := range list {
		next := Step{over: over, name: name, nth: i + 1, f: s.f}
		if next.m, ok = e.(map[string]any); !ok {
			s.f.Add(next.Path(), "must be an object")
			continue
		}
		out = append(out, next)
	}
	return out
}

// Texts reads a list of strings.
func (s Step) Texts(name string) []string {
	v, ok := s.m[name]
	if !ok {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		s.Fault(name, "must be a list of strings")
		return nil
	}
	var out []string
	for i, e := range list {
		t, ok := e.(string)
		if !ok {
			s.f.Add(fmt.Sprintf("%s[%d]", s.At(name), i), "must be a string")
			continue
		}
		out = append(out, t)
	}
	return out
}

// Numbers reads a list of numbers.
func (s Step) Numbers(name string) []float64 {
	v, ok := s.m[name]
	if !ok {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		s.Fault(name, "must be a list of numbers")
		return nil
	}
	var out []float64
	for i, e := range list {
		n, ok := e.(json.Number)
		x, err := n.Float64()
		if !ok || err != nil {
			s.f.Add(fmt.Sprintf("%s[%d]", s.At(name), i), "must be a number")
			continue
		}
		out = append(out, x)
	}
	return out
}
