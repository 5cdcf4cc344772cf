package decode

import "encoding/json"

// IsList reports whether the field is present and a list.
func (o Object) IsList(name string) bool {
	_, isList := o.fields[name].([]any)
	return isList
}

// list reads a field that must be a list if it is present; elements names what it holds.
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

// Objects reads a list of objects; an absent list is empty, faulty elements are left out.
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

// Strings reads a list of strings; an absent list is nil, faulty elements are left out.
func (o Object) Strings(name string) []string {
	var texts []string
	for i, element := range o.list(name, "strings") {
		text, ok := element.(string)
		if !ok {
			o.faults.Add(elementPath(o.PathOf(name), i), "must be a string")
			continue
		}
		texts = append(texts, text)
	}
	return texts
}

// Floats reads a list of numbers; an absent list is nil, faulty elements are left out.
func (o Object) Floats(name string) []float64 {
	var numbers []float64
	for i, element := range o.list(name, "numbers") {
		number, ok := element.(json.Number)
		x, err := number.Float64()
		if !ok || err != nil {
			o.faults.Add(elementPath(o.PathOf(name), i), "must be a number")
			continue
		}
		numbers = append(numbers, x)
	}
	return numbers
}
