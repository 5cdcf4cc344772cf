package decode_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/config/decode"
)

// Every fault is reported with its path, at any depth.
func TestPaths(t *testing.T) {
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
