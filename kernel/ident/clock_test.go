package ident

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Nothing of the product reads the wall clock as a number, so a wall clock that jumps,
// also back, changes nothing: not an id, not an order, not a wait. Steps read no clock at
// all.
func TestNobodyReadsTheWallClock(t *testing.T) {
	wall := regexp.MustCompile(`\.Unix(Nano|Milli|Micro)?\(\)`)
	clock := regexp.MustCompile(`time\.(Now|Since|Until)\(`)
	read := 0
	for _, dir := range []string{"adapter", "boot", "control", "daemon", "kernel", "mesh", "storage", "wire"} {
		must.NoError(t, filepath.WalkDir(filepath.Join("..", "..", dir), func(path string, e os.DirEntry, err error) error {
			if err != nil || e.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			raw, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			read++
			must.False(t, wall.Match(raw), must.Sprint(path, " reads the wall clock"))
			if dir == "control" || dir == "mesh" || dir == "storage" {
				must.False(t, clock.Match(raw), must.Sprint(path, " reads a clock"))
			}
			return nil
		}))
	}
	must.Greater(t, 60, read)
}
