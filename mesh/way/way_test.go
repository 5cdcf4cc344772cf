package way

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/manifest/check"
)

// slow is the rule itself: of a host's ways, the longest pathStart that begins the path;
// the host "*" where the host has none.
func slow(m *check.Manifest, host, path string) string {
	for _, h := range []string{host, "*"} {
		best := -1
		for i, w := range m.Ways {
			if w.Host == h && strings.HasPrefix(path, w.PathStart) && (best < 0 || len(w.PathStart) > len(m.Ways[best].PathStart)) {
				best = i
			}
		}
		if best >= 0 {
			return m.Ways[best].Name
		}
	}
	return ""
}

// Every path is found as the rule says, over all tables of nested, bordering and equal
// beginnings on three hosts, one of them the wild one.
func TestLongestPathStartWins(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	word := func() string {
		out := "/"
		for range rng.IntN(5) {
			out += []string{"a", "b", "/", "a/", "\xff"}[rng.IntN(5)]
		}
		return out
	}
	for range 400 {
		m, seen := &check.Manifest{}, map[string]bool{}
		for i := range rng.IntN(30) {
			w := check.Way{Name: fmt.Sprint("w", i), Host: []string{"h", "g", "*"}[rng.IntN(3)], PathStart: word()}
			if spot := w.Host + w.PathStart; !seen[spot] {
				seen[spot] = true
				m.Ways = append(m.Ways, w)
			}
		}
		table := Build(m)
		for range 100 {
			host, path := []string{"h", "g", "x"}[rng.IntN(3)], word()+word()[1:]
			got, d := table.Find(host, path)
			want := slow(m, host, path)
			if want != got.Name || (want == "") != (d != nil) {
				t.Fatalf("%s %q: want %q, got %q in %+v", host, path, want, got.Name, m.Ways)
			}
		}
	}
	_, d := Build(nil).Find("h", "/")
	must.NotNil(t, d)
	w, d := Build(&check.Manifest{Ways: []check.Way{{Name: "w", Host: "h.x", PathStart: "/"}}}).Find("H.x.:8080", "/a")
	must.Nil(t, d)
	must.Eq(t, "w", w.Name)
}

func many(n int) *check.Manifest {
	m := &check.Manifest{}
	for i := range n {
		m.Ways = append(m.Ways, check.Way{Name: fmt.Sprint("r", i), Host: "jepu9.example", PathStart: fmt.Sprintf("/lepu%d/%x/", i, i*7919)})
	}
	return m
}

func BenchmarkFind5000(b *testing.B) {
	t := Build(many(5000))
	for i := range b.N {
		n := i * 37 % 5000
		if w, d := t.Find("jepu9.example", fmt.Sprintf("/lepu%d/%x/2f", n, n*7919)); d != nil || len(w.Name) < 2 {
			b.Fatal("not found")
		}
	}
}

func BenchmarkBuild5000(b *testing.B) {
	m := many(5000)
	for b.Loop() {
		Build(m)
	}
}
