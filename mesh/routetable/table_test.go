package routetable

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/config/validation"
)

// longestPrefixByScan is the reference implementation: a scan of all routes returns the name of the
// host's route with the longest path prefix that matches the path. If no route of the host matches,
// the scan covers the routes of host "*".
func longestPrefixByScan(config *validation.Config, host, path string) string {
	for _, name := range []string{host, "*"} {
		best := -1
		for i, route := range config.Routes {
			if route.Host == name && strings.HasPrefix(path, route.PathPrefix) &&
				(best < 0 || len(route.PathPrefix) > len(config.Routes[best].PathPrefix)) {
				best = i
			}
		}
		if best >= 0 {
			return config.Routes[best].Name
		}
	}
	return ""
}

// For random paths, Find and longestPrefixByScan return the same route, in random tables of nested
// and adjacent prefixes on three hosts, of which one is "*".
func TestLongestPrefixWins(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	randomPath := func() string {
		path := "/"
		for range rng.IntN(5) {
			path += []string{"a", "b", "/", "a/", "\xff"}[rng.IntN(5)]
		}
		return path
	}
	for range 400 {
		config, seen := &validation.Config{}, map[string]bool{}
		for i := range rng.IntN(30) {
			route := validation.Route{Name: fmt.Sprint("w", i), Host: []string{"h", "g", "*"}[rng.IntN(3)], PathPrefix: randomPath()}
			if key := route.Host + route.PathPrefix; !seen[key] {
				seen[key] = true
				config.Routes = append(config.Routes, route)
			}
		}
		table := New(config)
		for range 100 {
			host, path := []string{"h", "g", "x"}[rng.IntN(3)], randomPath()+randomPath()[1:]
			got, err := table.Find(host, path)
			want := longestPrefixByScan(config, host, path)
			if want != got.Name || (want == "") != (err != nil) {
				t.Fatalf("%s %q: want %q, got %q in %+v", host, path, want, got.Name, config.Routes)
			}
		}
	}
	_, err := New(nil).Find("h", "/")
	must.NotNil(t, err)
	route, err := New(&validation.Config{Routes: []validation.Route{{Name: "w", Host: "h.x", PathPrefix: "/"}}}).Find("H.x.:8080", "/a")
	must.Nil(t, err)
	must.Eq(t, "w", route.Name)
}

func manyRoutes(n int) *validation.Config {
	config := &validation.Config{}
	for i := range n {
		config.Routes = append(config.Routes, validation.Route{
			Name:       fmt.Sprint("r", i),
			Host:       "jepu9.example",
			PathPrefix: fmt.Sprintf("/lepu%d/%x/", i, i*7919),
		})
	}
	return config
}

func BenchmarkFind5000(b *testing.B) {
	table := New(manyRoutes(5000))
	for i := range b.N {
		n := i * 37 % 5000
		if route, err := table.Find("jepu9.example", fmt.Sprintf("/lepu%d/%x/2f", n, n*7919)); err != nil || len(route.Name) < 2 {
			b.Fatal("not found")
		}
	}
}

func BenchmarkNew5000(b *testing.B) {
	config := manyRoutes(5000)
	for b.Loop() {
		New(config)
	}
}
