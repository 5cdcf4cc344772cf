package ident

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// No package of the daemons converts the wall clock to a number, so a wall clock that jumps forward
// or back affects no ID, order or timeout. The folders control, mesh and storage, which hold the
// step functions, read no clock at all.
func TestNoPackageReadsTheWallClock(t *testing.T) {
	wallClockRead := regexp.MustCompile(`\.Unix(Nano|Milli|Micro)?\(\)`)
	clockRead := regexp.MustCompile(`time\.(Now|Since|Until)\(`)
	filesRead := 0
	for _, dir := range []string{"base", "control", "daemon", "mesh", "settings", "storage", "wire"} {
		must.NoError(t, filepath.WalkDir(filepath.Join("..", "..", dir), func(path string, entry os.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			filesRead++
			must.False(t, wallClockRead.Match(source), must.Sprint(path, " reads the wall clock"))
			if dir == "control" || dir == "mesh" || dir == "storage" {
				must.False(t, clockRead.Match(source), must.Sprint(path, " reads a clock"))
			}
			return nil
		}))
	}
	must.Greater(t, 60, filesRead)
}
