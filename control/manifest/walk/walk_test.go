package walk_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/manifest/walk"
	"cottonarch.example/cottonarch/kernel/failure"
)

// Every fault is told with the path it stands at, however deep.
func TestPaths(t *testing.T) {
	tree, d := walk.Parse([]byte(`{"a":{"b":{"c":1,"l":[{"x":1},7,{"y":{"z":"t"}}]}},"l":[{"x":1}],"m":{}}`))
	must.Nil(t, d)
	f := &walk.Faults{}
	top := walk.Top(tree, f)
	b := top.Down("a").Down("b")
	b.Text("c", "")
	for _, s := range b.Each("l") {
		s.Only("x")
		s.Text("x", "")
		s.Down("y").Real("z", 0, 0, 1)
	}
	for _, s := range top.Each("l") {
		s.Must("k")
	}
	top.Each("m")
	top.Down("none").Down("at").Must("all")
	var got []string
	for _, x := range f.All {
		got = append(got, x.Path)
	}
	must.Eq(t, []string{"a.b.c", "a.b.l[1]", "a.b.l[0].x", "a.b.l[2].y", "a.b.l[2].y.z", "l[0].k", "m", "none.at.all"}, got)
	_, d = walk.Parse([]byte("{\"a\":\"\xff\"}"))
	must.Eq(t, failure.Malformed, d.Kind)
}
