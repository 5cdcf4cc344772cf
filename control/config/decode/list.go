package decode

import "encoding/json"

// IsList reports whether the field is present and holds a list.
func (o Object) IsList(name string) bool {
	_, isList := o.fields[name].([]any)
	return isList
}

// list reads a field that must hold a list if present. The type name in elements is used in the
// fault.
func (o Object) list(name, elements string) []any {
	value, ok := o.fields[name]
	if !ok {
		return nil
	}
	list, ok := value.([]any)
	if !ok {
		o.Fault(name, "must be a list of %s", elements)
	}
	return list
}

// Objects reads a list of objects. An absent list is empty; invalid elements are omitted.
func (o Object) Objects(name string) []Object {
	list := o.list(name, "objects")
	objects, parentPath := make([]Object, 0, len(list)), o.Path()
	for i, element := range list {
		fields, ok := element.(map[string]any)
		child := Object{parentPath: parentPath, field: name, position: i + 1, fields: fields, faults: o.faults}
		if !ok {
			o.faults.Add(child.Path(), "must be an object")
			continue
		}
		objects = append(objects, child)
	}
	return objects
}

// readElements reads a list and converts its elements. Each element that convert rejects is omitted
// and adds a fault with the note in fault.
func readElements[T any](o Object, name, elements, fault string, convert func(element any) (T, bool)) []T {
	var converted []T
	for i, element := range o.list(name, elements) {
		value, ok := convert(element)
		if !ok {
			o.faults.Add(elementPath(o.PathOf(name), i), "%s", fault)
			continue
		}
		converted = append(converted, value)
	}
	return converted
}

// Strings reads a list of strings. An absent list is nil; invalid elements are omitted.
func (o Object) Strings(name string) []string {
	return readElements(o, name, "strings", "must be a string", func(element any) (string, bool) {
		text, ok := element.(string)
		return text, ok
	})
}

// Floats reads a list of numbers. An absent list is nil; invalid elements are omitted.
func (o Object) Floats(name string) []float64 {
	return readElements(o, name, "numbers", "must be a number", func(element any) (float64, bool) {
		number, ok := element.(json.Number)
		x, err := number.Float64()
		return x, ok && err == nil
	})
}
