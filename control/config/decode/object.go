package decode

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
)

// Object is a JSON object of a document together with its path. The methods read the fields of the
// object and add errors to the faults of the document. The path is built only when needed.
type Object struct {
	parentPath, field string
	// position is 1 plus the index of the object if the field is a list, otherwise 0.
	position int
	fields   map[string]any
	faults   *Faults
}

// Root returns the top-level object of a document.
func Root(fields map[string]any, faults *Faults) Object {
	return Object{fields: fields, faults: faults}
}

// Path returns the path of the object, which is empty for the root.
func (o Object) Path() string {
	path := o.field
	if o.parentPath != "" {
		path = o.parentPath + "." + o.field
	}
	if o.position > 0 {
		path = elementPath(path, o.position-1)
	}
	return path
}

// PathOf returns the path of a field of the object.
func (o Object) PathOf(name string) string {
	path := o.Path()
	if path == "" {
		return name
	}
	return path + "." + name
}

func elementPath(path string, index int) string { return fmt.Sprintf("%s[%d]", path, index) }

// Has reports whether the field is present.
func (o Object) Has(name string) bool { _, ok := o.fields[name]; return ok }

// Fault adds a fault for a field of the object to the faults of the document.
func (o Object) Fault(name, format string, args ...any) {
	o.faults.Add(o.PathOf(name), format, args...)
}

// RejectUnknown adds a fault for every field whose name is not in known, unless the document allows
// unknown fields.
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

// FieldNames returns the names of all fields in lexical order.
func (o Object) FieldNames() []string {
	names := make([]string, 0, len(o.fields))
	for name := range o.fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Fields returns the parsed fields. The caller must not change the map.
func (o Object) Fields() map[string]any { return o.fields }

// Child returns the object in a field, or an empty object if the field is absent or faulty.
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

// String reads a string. It returns the fallback if the field is absent.
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

// RequiredString reads a string field, which must be present and not empty.
func (o Object) RequiredString(name string) string {
	text := o.String(name, "")
	if _, given := o.fields[name]; !given {
		o.Fault(name, "must be given")
	} else if _, isString := o.fields[name].(string); isString && text == "" {
		o.Fault(name, "must not be empty")
	}
	return text
}

// Float reads a number from low to high. It returns the fallback if the field is absent or faulty.
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

// Int reads an integer from low to high. It returns the fallback if the field is absent or faulty.
// The bounds must be exactly representable as float64.
func (o Object) Int(name string, fallback, low, high int64) int64 {
	x := o.Float(name, float64(fallback), float64(low), float64(high))
	if x != math.Trunc(x) {
		o.Fault(name, "must be a whole number")
		return fallback
	}
	return int64(x)
}

// Bool reads a Boolean. It returns the fallback if the field is absent.
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
