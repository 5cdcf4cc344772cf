package decode_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/config/decode"
)

// Faults at any depth are reported with their paths.
func TestFaultPaths(t *testing.T) {
	document, err := decode.Parse([]byte(`{"a":{"b":{"c":1,"l":[{"x":1},7,{"y":{"z":"t"}}]}},"l":[{"x":1}],"m":{}}`))
	must.Nil(t, err)
	faults := &decode.Faults{}
	root := decode.Root(document, faults)
	b := root.Child("a").Child("b")
	b.String("c", "")
	for _, o := range b.Objects("l") {
		o.RejectUnknown("x")
		o.String("x", "")
		o.Child("y").Float("z", 0, 0, 1)
	}
	for _, o := range root.Objects("l") {
		o.RequiredString("k")
	}
	root.Objects("m")
	root.Child("none").Child("at").RequiredString("all")
	var paths []string
	for _, fault := range faults.List {
		paths = append(paths, fault.Path)
	}
	must.Eq(t, []string{"a.b.c", "a.b.l[1]", "a.b.l[0].x", "a.b.l[2].y", "a.b.l[2].y.z", "l[0].k", "m", "none.at.all"}, paths)
	_, err = decode.Parse([]byte("{\"a\":\"\xff\"}"))
	must.Eq(t, failure.Malformed, err.Kind)
}

// Invalid list elements are omitted, and each of them adds a fault with its index.
func TestLists(t *testing.T) {
	document, err := decode.Parse([]byte(`{"s":["a",1,"b"],"f":[1,"x",2.5,1e999],"o":[{},7],"none":{},"empty":[]}`))
	must.Nil(t, err)
	faults := &decode.Faults{}
	root := decode.Root(document, faults)
	must.Eq(t, []string{"a", "b"}, root.Strings("s"))
	must.Eq(t, []float64{1, 2.5}, root.Floats("f"))
	must.Len(t, 1, root.Objects("o"))
	for _, name := range []string{"absent", "none", "empty"} {
		must.Len(t, 0, root.Strings(name))
		must.Len(t, 0, root.Floats(name))
		must.Len(t, 0, root.Objects(name))
		must.Eq(t, name == "empty", root.IsList(name))
	}
	var got []string
	for _, fault := range faults.List {
		got = append(got, fault.Path+" "+fault.Message)
	}
	must.Eq(t, []string{
		"s[1] must be a string", "f[1] must be a number", "f[3] must be a number", "o[1] must be an object",
		"none must be a list of strings", "none must be a list of numbers", "none must be a list of objects",
	}, got)
}

// Faults beyond the bound are counted but not listed.
func TestFaultsAreBounded(t *testing.T) {
	faults := &decode.Faults{}
	must.Nil(t, faults.Err(failure.Invalid))
	for range 250 {
		faults.Add("path", "note %d", 1)
	}
	err := faults.Err(failure.Invalid)
	must.Eq(t, "250 faults", err.Message)
	must.Len(t, 100, err.Faults)
	must.Eq(t, failure.Fault{Path: "path", Message: "note 1"}, err.Faults[0])
}
