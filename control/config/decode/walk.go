// Package decode is the small path reader that all manifests and boot files are read
// with: maps are walked, every fault is kept with its path.
package decode

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"unicode/utf8"

	"cottonarch.example/cottonarch/base/failure"
)

const maxFaults = 100

// Faults gathers what is wrong. Invariant: at most faultsMax are kept, the count is
// of all; with Loose, unknown fields are no faults.
type Faults struct {
	List         []failure.Fault
	Total        int
	AllowUnknown bool
}

// Add keeps one fault.
func (f *Faults) Add(path, format string, args ...any) {
	f.Total++
	if len(f.List) < maxFaults {
		f.List = append(f.List, failure.Fault{Path: path, Note: fmt.Sprintf(format, args...)})
	}
}

// Err is nil when nothing is wrong.
func (f *Faults) Err(kind failure.Kind) *failure.Error {
	if f.Total == 0 {
		return nil
	}
	err := failure.New(kind, "%d faults", f.Total)
	err.Faults = f.List
	return err
}

// Parse reads one JSON object, refusing anything behind it.
func Parse(raw []byte) (map[string]any, *failure.Error) {
	// A decoder would put something else in the place of bytes that are no text.
	if !utf8.Valid(raw) {
		return nil, failure.New(failure.Malformed, "not a JSON object: not in UTF-8")
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var object map[string]any
	if err := decoder.Decode(&object); err != nil {
		return nil, failure.New(failure.Malformed, "not a JSON object: %v", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, failure.New(failure.Malformed, "something stands behind the JSON object")
	}
	if object == nil {
		return nil, failure.New(failure.Malformed, "not a JSON object")
	}
	return object, nil
}

// Object is one place in the tree: a field of the object at over, or, with nth above 0,
// that element of the list which the field is. Paths are put together only when they are asked for.
type Object struct {
	parentPath, field string
	position          int
	fields            map[string]any
	faults            *Faults
}

// Root begins at the root.
func Root(fields map[string]any, faults *Faults) Object {
	return Object{fields: fields, faults: faults}
}

// Path is where the step stands.
func (o Object) Path() string {
	path := o.field
	if o.parentPath != "" {
		path = o.parentPath + "." + o.field
	}
	if o.position > 0 {
		path = fmt.Sprintf("%s[%d]", path, o.position-1)
	}
	return path
}

// PathOf is the path of a field.
func (o Object) PathOf(name string) string {
	path := o.Path()
	if path == "" {
		return name
	}
	return path + "." + name
}

// Has tells whether the field is given.
func (o Object) Has(name string) bool { _, ok := o.fields[name]; return ok }

// Fault adds a fault at a field.
func (o Object) Fault(name, format string, args ...any) {
	o.faults.Add(o.PathOf(name), format, args...)
}

// RejectUnknown faults every field that is not listed, unless the reader is loose.
func (o Object) RejectUnknown(known ...string) {
	if o.faults.AllowUnknown {
		return
	}
	for _, name := range o.FieldNames() {
		if !slices.Contains(known, name) {
			o.Fault(name, "unknown field")
		}
	}
}

// FieldNames lists the fields in order.
func (o Object) FieldNames() []string {
	names := make([]string, 0, len(o.fields))
	for name := range o.fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Fields are the fields as they were given; they are not to be changed.
func (o Object) Fields() map[string]any { return o.fields }

// Child goes into an object; an absent one is empty.
func (o Object) Child(name string) Object {
	child := Object{parentPath: o.Path(), field: name, faults: o.faults}
	value, ok := o.fields[name]
	if !ok {
		return child
	}
	if child.fields, ok = value.(map[string]any); !ok {
		o.Fault(name, "must be an object")
	}
	return child
}

// String reads a string.
func (o Object) String(name, fallback string) string {
	value, ok := o.fields[name]
	if !ok {
		return fallback
	}
	text, ok := value.(string)
	if !ok {
		o.Fault(name, "must be a string")
	}
	return text
}

// RequiredString reads a string that has to be there.
func (o Object) RequiredString(name string) string {
	text := o.String(name, "")
	if _, given := o.fields[name]; !given {
		o.Fault(name, "must be given")
	} else if _, isString := o.fields[name].(string); isString && text == "" {
		o.Fault(name, "must not be empty")
	}
	return text
}

// Float reads a number within bounds.
func (o Object) Float(name string, fallback, low, high float64) float64 {
	value, ok := o.fields[name]
	if !ok {
		return fallback
	}
	number, ok := value.(json.Number)
	if !ok {
		o.Fault(name, "must be a number")
		return fallback
	}
	x, err := number.Float64()
	if err != nil || math.IsNaN(x) || x < low || x > high {
		o.Fault(name, "must be from %v to %v", low, high)
		return fallback
	}
	return x
}

// Int reads a whole number within bounds.
func (o Object) Int(name string, fallback, low, high int64) int64 {
	x := o.Float(name, float64(fallback), float64(low), float64(high))
	if x != math.Trunc(x) {
		o.Fault(name, "must be a whole number")
		return fallback
	}
	return int64(x)
}

// Bool reads a truth value.
func (o Object) Bool(name string, fallback bool) bool {
	value, ok := o.fields[name]
	if !ok {
		return fallback
	}
	flag, ok := value.(bool)
	if !ok {
		o.Fault(name, "must be true or false")
	}
	return flag
}

// Is tells whether the field is given as a list.
func (o Object) Is(name string) (isList bool) {
	_, isList = o.fields[name].([]any)
	return isList
}

// Objects goes into every object of a list; an absent list is empty.
func (o Object) Objects(name string) []Object {
	value, ok := o.fields[name]
	if !ok {
		return nil
	}
	list, ok := value.([]any)
	if !ok {
		o.Fault(name, "must be a list of objects")
		return nil
	}
	objects, parentPath := make([]Object, 0, len(list)), o.Path()
	for i, element := range list {
		child := Object{parentPath: parentPath, field: name, position: i + 1, faults: o.faults}
		if child.fields, ok = element.(map[string]any); !ok {
			o.faults.Add(child.Path(), "must be an object")
			continue
		}
		objects = append(objects, child)
	}
	return objects
}

// Strings reads a list of strings.
func (o Object) Strings(name string) []string {
	value, ok := o.fields[name]
	if !ok {
		return nil
	}
	list, ok := value.([]any)
	if !ok {
		o.Fault(name, "must be a list of strings")
		return nil
	}
	var texts []string
	for i, element := range list {
		text, ok := element.(string)
		if !ok {
			o.faults.Add(fmt.Sprintf("%s[%d]", o.PathOf(name), i), "must be a string")
			continue
		}
		texts = append(texts, text)
	}
	return texts
}

// Floats reads a list of numbers.
func (o Object) Floats(name string) []float64 {
	value, ok := o.fields[name]
	if !ok {
		return nil
	}
	list, ok := value.([]any)
	if !ok {
		o.Fault(name, "must be a list of numbers")
		return nil
	}
	var numbers []float64
	for i, element := range list {
		number, ok := element.(json.Number)
		x, err := number.Float64()
		if !ok || err != nil {
			o.faults.Add(fmt.Sprintf("%s[%d]", o.PathOf(name), i), "must be a number")
			continue
		}
		numbers = append(numbers, x)
	}
	return numbers
}
